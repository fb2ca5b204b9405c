package router

import (
	"hash/fnv"
	"math/rand/v2"

	"weldscale/coordination/watch"
	"weldscale/internal/fleetroute"
	"weldscale/internal/fleetwire"
	"weldscale/internal/placement"
)

// view is one snapshot with the lookup tables derived from it. Each request is handled with one view. It is immutable.
type view struct {
	snapshot   *watch.Snapshot
	table      *fleetroute.Table
	services   map[string]*fleetwire.Service
	addresses  map[string]bool          // addresses of all listed workers
	hasPrefill map[string]bool          // services with a ready prefill worker
	ready      map[string]readyInstance // by address
}

// readyInstance is a ready worker that may be asked to free a KV cache.
type readyInstance struct{ id string }

// newView derives a view from a snapshot. It reuses the routing table of the previous view if the configuration is the same.
func newView(previous *view, snapshot *watch.Snapshot) *view {
	next := &view{snapshot: snapshot}
	if previous != nil && previous.snapshot.Config == snapshot.Config {
		next.table, next.services = previous.table, previous.services
	} else {
		next.table = fleetroute.NewTable(snapshot.Config.Routes)
		next.services = make(map[string]*fleetwire.Service, len(snapshot.Config.Services))
		for i := range snapshot.Config.Services {
			service := &snapshot.Config.Services[i]
			next.services[service.Name] = service
		}
	}
	next.indexInstances(snapshot.Instances)
	return next
}

func (v *view) indexInstances(instances []fleetwire.Instance) {
	v.addresses = make(map[string]bool, len(instances))
	v.ready = make(map[string]readyInstance, len(instances))
	v.hasPrefill = map[string]bool{}
	for i := range instances {
		instance := &instances[i]
		v.addresses[instance.Address] = true
		if instance.State != fleetwire.InstanceReady {
			continue
		}
		v.ready[instance.Address] = readyInstance{id: instance.ID}
		if instance.Stage == fleetwire.StagePrefill {
			v.hasPrefill[instance.Service] = true
		}
	}
}

// findRoute returns the route for a request's host and path, or nil.
func (v *view) findRoute(host, path string) *fleetwire.Route { return v.table.Find(host, path) }

// pickService picks the service of a request at random by the route's weights. A sticky route picks the same service for all
// requests of a session. A route with one service ignores the weight. pickService returns nil if none of several services has
// a positive weight, or if the picked service is not configured.
func (v *view) pickService(chosen *fleetwire.Route, session string) *fleetwire.Service {
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
		draw = int64(hashString(session) % uint64(total))
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

func hashString(text string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(text))
	return sum.Sum64()
}

// connectionLimit returns this router's share of the connections that a worker of the service accepts.
func (v *view) connectionLimit(service *fleetwire.Service) int {
	if service.MaxConnections <= 0 {
		return defaultConnectionLimit
	}
	return max(1, service.MaxConnections/v.routerCount()-reservedProbeConnections)
}

// routerCount returns the number of routers that share the workers, or placement.AssumedRouters if it is unknown.
func (v *view) routerCount() int {
	if v.snapshot.Routers <= 0 {
		return placement.AssumedRouters
	}
	return v.snapshot.Routers
}

// reservedProbeConnections is the number of connections that the probes of placement may hold to the same worker.
const reservedProbeConnections = 2

// defaultConnectionLimit applies to a service without a connection limit.
const defaultConnectionLimit = 256

// hasInstanceList reports whether the snapshot has an instance list.
func (v *view) hasInstanceList() bool { return v.snapshot.Version.Instances != fleetwire.ListVersion{} }
