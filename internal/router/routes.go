package router

import (
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"strings"

	"weldscale/coordination/watch"
	"weldscale/internal/fleetwire"
	"weldscale/internal/placement"
	"weldscale/internal/route"
)

// view is what requests are handled by: one snapshot and what is derived from it. It is immutable.
type view struct {
	snapshot  *watch.Snapshot
	table     *route.Table
	services  map[string]*fleetwire.Service
	addresses map[string]bool          // of all listed workers
	prefill   map[string]bool          // services with a ready prefill worker
	ready     map[string]readyInstance // by address
}

// readyInstance is a worker that may be called for clean-up.
type readyInstance struct{ id string }

// newView derives a view. The routing table of the previous one is kept while the configuration is the same.
func newView(previous *view, snapshot *watch.Snapshot) (*view, []error) {
	next := &view{snapshot: snapshot}
	var faults []error
	if previous != nil && previous.snapshot.Config == snapshot.Config {
		next.table, next.services = previous.table, previous.services
	} else {
		next.table, faults = newTable(snapshot.Config.Routes)
		next.services = make(map[string]*fleetwire.Service, len(snapshot.Config.Services))
		for i := range snapshot.Config.Services {
			service := &snapshot.Config.Services[i]
			next.services[service.Name] = service
		}
	}
	next.indexInstances(snapshot.Instances)
	return next, faults
}

func (v *view) indexInstances(instances []fleetwire.Instance) {
	v.addresses = make(map[string]bool, len(instances))
	v.ready = make(map[string]readyInstance, len(instances))
	v.prefill = map[string]bool{}
	for i := range instances {
		instance := &instances[i]
		v.addresses[instance.Address] = true
		if instance.State != fleetwire.InstanceReady {
			continue
		}
		v.ready[instance.Address] = readyInstance{id: instance.ID}
		if instance.Stage == fleetwire.StagePrefill {
			v.prefill[instance.Service] = true
		}
	}
}

// newTable makes the routing table. Its services are the positions of the routes in the configuration.
func newTable(routes []fleetwire.Route) (*route.Table, []error) {
	rules := make([]route.Rule, len(routes))
	for i := range routes {
		rules[i] = route.Rule{
			Service: strconv.Itoa(i),
			Host:    routes[i].Hostname,
			Path:    routes[i].PathPrefix,
			Place:   routes[i].Name,
		}
	}
	return route.New(rules)
}

// find returns the route of a request, or nil.
func (v *view) find(host, path string) *fleetwire.Route {
	// A prefix ends with a slash, so it can only begin the path up to its last slash; the table takes "/a" for "/a/".
	whole := path[:strings.LastIndexByte(path, '/')+1]
	if whole == "" {
		return nil
	}
	position, miss := v.table.Match(route.Request{Host: host, Path: whole})
	if miss != route.Matched {
		return nil
	}
	index, err := strconv.Atoi(position)
	if err != nil {
		return nil
	}
	return &v.snapshot.Config.Routes[index]
}

// service draws the service of a request by the route's weights. A sticky route draws alike for one session.
func (v *view) service(chosen *fleetwire.Route, session string) *fleetwire.Service {
	if len(chosen.Split) == 1 {
		return v.services[chosen.Split[0].Service]
	}
	var total int64
	for _, target := range chosen.Split {
		total += max(0, target.Weight)
	}
	if total <= 0 {
		return nil
	}
	var draw int64
	if chosen.Sticky && session != "" {
		draw = int64(hash(session) % uint64(total))
	} else {
		draw = rand.Int64N(total)
	}
	for _, target := range chosen.Split {
		draw -= max(0, target.Weight)
		if draw < 0 {
			return v.services[target.Service]
		}
	}
	return nil
}

func hash(text string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(text))
	return sum.Sum64()
}

// connectionLimit is this router's share of the connections that a worker takes.
func (v *view) connectionLimit(service *fleetwire.Service) int {
	if service.MaxConnections <= 0 {
		return unboundedConnections
	}
	return max(1, service.MaxConnections/v.routers()-probeConnections)
}

// routers is the number of routers that share the workers.
func (v *view) routers() int {
	if v.snapshot.Routers <= 0 {
		return placement.AssumedRouters
	}
	return v.snapshot.Routers
}

// probeConnections are those that the probes of placement may hold to the same worker.
const probeConnections = 2

// unboundedConnections stands for a service without a bound.
const unboundedConnections = 256

// hasList reports whether the workers are known.
func (v *view) hasList() bool { return v.snapshot.Version.Instances != fleetwire.ListVersion{} }
