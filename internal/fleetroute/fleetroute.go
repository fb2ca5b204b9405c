// Package fleetroute defines which route of the operator's configuration a request takes. Controllers reject two routes with
// one Key, and routers look requests up in a Table. A Table refuses nothing, so that it holds every route of an accepted
// configuration.
package fleetroute

import (
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"weldscale/internal/fleetwire"
)

// Key identifies a route. It is unique in a configuration.
type Key struct {
	Host       string // in lower case
	PathPrefix string
}

// NewKey returns the key of a route with the given hostname and path prefix.
func NewKey(hostname, pathPrefix string) Key {
	return Key{Host: strings.ToLower(hostname), PathPrefix: pathPrefix}
}

// Table finds the routes of requests. It is immutable.
type Table struct {
	hosts map[string]*prefixes // by host in lower case
}

// prefixes holds the routes of one host by path prefix.
type prefixes = iradix.Tree[*fleetwire.Route]

// NewTable returns a table of the routes of an accepted configuration. It refers to the given slice, which must not change.
func NewTable(routes []fleetwire.Route) *Table {
	building := map[string]*iradix.Txn[*fleetwire.Route]{}
	for i := range routes {
		key := NewKey(routes[i].Hostname, routes[i].PathPrefix)
		if building[key.Host] == nil {
			building[key.Host] = iradix.New[*fleetwire.Route]().Txn()
		}
		building[key.Host].Insert([]byte(key.PathPrefix), &routes[i])
	}
	table := &Table{hosts: make(map[string]*prefixes, len(building))}
	for host, transaction := range building {
		table.hosts[host] = transaction.CommitOnly()
	}
	return table
}

// Len returns the number of routes in the table.
func (t *Table) Len() int {
	total := 0
	for _, routes := range t.hosts {
		total += routes.Len()
	}
	return total
}

// Find returns the route of a request with the given Host header and path, or nil. Of the routes of that host it is the one with
// the longest prefix of the path, byte by byte. The path is as the client sent it.
func (t *Table) Find(host, path string) *fleetwire.Route {
	routes := t.ofHost(strings.ToLower(host))
	if routes == nil {
		return nil
	}
	_, found, _ := routes.Root().LongestPrefix([]byte(path))
	return found
}

// ofHost returns the routes of a Host header in lower case, or nil. A hostname that equals the whole header comes before one that
// equals it without its port, and that one before the bare name, which has no port, no brackets and no trailing dot.
func (t *Table) ofHost(host string) *prefixes {
	if routes := t.hosts[host]; routes != nil {
		return routes
	}
	name := withoutPort(host)
	if routes := t.hosts[name]; routes != nil {
		return routes
	}
	return t.hosts[bareName(name)]
}

// withoutPort returns a Host header without its port. The colons within the brackets of an IPv6 address start no port.
func withoutPort(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon > strings.LastIndexByte(host, ']') {
		return host[:colon]
	}
	return host
}

// bareName returns a host without the brackets of an IPv6 address and without the dot that ends an absolute domain name.
func bareName(host string) string {
	if address, found := strings.CutPrefix(host, "["); found {
		return strings.TrimSuffix(address, "]")
	}
	return strings.TrimSuffix(host, ".")
}
