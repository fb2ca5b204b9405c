package fleetconfig

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"weldscale/internal/fleetroute"
	"weldscale/internal/fleetwire"
)

// Difference is one difference between two configurations.
type Difference struct {
	Part string // "version", "route", "service" or "limits"
	Name string // name of the service, or hostname and path prefix of the route
	What string // "added", "removed", or the key that changed
	Old  string // empty for an addition
	New  string // empty for a removal
}

// Diff returns the differences between two configurations in the order version, limits, services and routes. Services and
// routes are sorted by name. A route is identified by its hostname and path prefix, which are unique in a configuration.
func Diff(old, next *fleetwire.Config) []Difference {
	differences := diffFields("version", "", versionOnly{old.Version}, versionOnly{next.Version})
	differences = append(differences, diffFields("limits", "", old.Limits, next.Limits)...)
	serviceName := func(name string) string { return name }
	differences = append(differences, diffItems("service", servicesByName(old), servicesByName(next), serviceName)...)
	return append(differences, diffItems("route", routesByKey(old), routesByKey(next), routeName)...)
}

// versionOnly wraps a version for diffFields. The field name appears in the output.
type versionOnly struct{ Version int64 }

func servicesByName(config *fleetwire.Config) map[string]fleetwire.Service {
	byName := make(map[string]fleetwire.Service, len(config.Services))
	for _, service := range config.Services {
		byName[service.Name] = service
	}
	return byName
}

func routesByKey(config *fleetwire.Config) map[fleetroute.Key]fleetwire.Route {
	byKey := make(map[fleetroute.Key]fleetwire.Route, len(config.Routes))
	for _, route := range config.Routes {
		byKey[fleetroute.NewKey(route.Hostname, route.PathPrefix)] = route
	}
	return byKey
}

func routeName(key fleetroute.Key) string { return key.Host + key.PathPrefix }

// diffItems compares the items of equal key and reports items that exist on one side only. nameOf returns the name of an item in
// the differences.
func diffItems[Key comparable, Item any](part string, old, next map[Key]Item, nameOf func(Key) string) []Difference {
	var differences []Difference
	for key, item := range old {
		if other, found := next[key]; found {
			differences = append(differences, diffFields(part, nameOf(key), item, other)...)
		} else {
			differences = append(differences, Difference{Part: part, Name: nameOf(key), What: "removed"})
		}
	}
	for key := range next {
		if _, found := old[key]; !found {
			differences = append(differences, Difference{Part: part, Name: nameOf(key), What: "added"})
		}
	}
	slices.SortStableFunc(differences, func(a, b Difference) int { return strings.Compare(a.Name, b.Name) })
	return differences
}

// diffFields compares two structs of one type, field by field.
func diffFields(part, name string, old, next any) []Difference {
	var differences []Difference
	before, after := reflect.ValueOf(old), reflect.ValueOf(next)
	for i := range before.NumField() {
		was, is := before.Field(i).Interface(), after.Field(i).Interface()
		if reflect.DeepEqual(was, is) {
			continue
		}
		field := before.Type().Field(i).Name
		differences = append(differences, Difference{Part: part, Name: name, What: field, Old: text(was), New: text(is)})
	}
	return differences
}

// text returns the JSON encoding of a value.
func text(value any) string {
	line, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(line)
}
