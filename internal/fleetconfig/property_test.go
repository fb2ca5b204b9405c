package fleetconfig

import (
	"maps"
	"reflect"
	"slices"
	"strconv"
	"testing"

	"google.golang.org/protobuf/encoding/protojson"
	"pgregory.net/rapid"

	"weldscale/internal/fleetconfig/fleetconfigpb"
	"weldscale/internal/fleetwire"
)

// drawConfig draws a random valid configuration.
func drawConfig(t *rapid.T) *fleetwire.Config {
	services := make([]fleetwire.Service, rapid.IntRange(1, 5).Draw(t, "services"))
	for i := range services {
		services[i] = drawService(t, i)
	}
	routes := make([]fleetwire.Route, rapid.IntRange(1, 20).Draw(t, "routes"))
	for i := range routes {
		routes[i] = drawRoute(t, i, services)
	}
	return &fleetwire.Config{
		Version:  rapid.Int64Range(1, 1<<62).Draw(t, "version"),
		Routes:   routes,
		Services: services,
		Limits: fleetwire.Limits{
			MaxHeaderBytes:  rapid.IntRange(0, 1<<20).Draw(t, "header"),
			MaxBodyBytes:    rapid.Int64Range(0, 1<<40).Draw(t, "body"),
			HeaderTimeoutMs: rapid.Int64Range(0, 60_000).Draw(t, "header timeout"),
			IdleTimeoutMs:   rapid.Int64Range(0, 600_000).Draw(t, "idle timeout"),
		},
	}
}

func drawService(t *rapid.T, i int) fleetwire.Service {
	service := fleetwire.Service{
		Name:           "service-" + strconv.Itoa(i),
		HealthCheck:    "/" + rapid.StringMatching(`[a-z]{0,8}`).Draw(t, "health check"),
		MaxConnections: rapid.IntRange(0, 5000).Draw(t, "connections"),
	}
	if rapid.Bool().Draw(t, "engine") {
		service.Engine = &fleetwire.Engine{
			Slots:        rapid.IntRange(1, 512).Draw(t, "slots"),
			KvTokens:     rapid.Int64Range(1, 1<<50).Draw(t, "tokens"),
			KvTokenBytes: rapid.Int64Range(1, 1<<20).Draw(t, "token bytes"),
			LinkMbps:     rapid.Float64Range(0, 1e9).Draw(t, "link"),
			Stride:       rapid.IntRange(0, 100).Draw(t, "stride"),
			HandleTTLS:   rapid.Float64Range(0, 100).Draw(t, "handle"),
			SwitchS:      rapid.Float64Range(0, 100).Draw(t, "switch"),
			Models:       []string{rapid.String().Draw(t, "model")},
		}
	}
	return service
}

func drawRoute(t *rapid.T, i int, services []fleetwire.Service) fleetwire.Route {
	targets := rapid.SliceOfNDistinct(rapid.IntRange(0, len(services)-1), 1, len(services), rapid.ID[int]).Draw(t, "targets")
	route := fleetwire.Route{
		Name:            rapid.String().Draw(t, "name"),
		Hostname:        rapid.SampledFrom([]string{"a.example", "b.example"}).Draw(t, "host"),
		PathPrefix:      "/" + strconv.Itoa(i) + "/",
		RouteType:       rapid.SampledFrom([]string{"safe", "unsafe", "streaming"}).Draw(t, "type"),
		TimeoutMs:       rapid.Int64Range(1, 86_400_000).Draw(t, "timeout"),
		TargetLatencyMs: rapid.Int64Range(0, 60_000).Draw(t, "aim"),
		Priority:        rapid.IntRange(0, 9).Draw(t, "priority"),
		MaxAttempts:     rapid.IntRange(0, 9).Draw(t, "attempts"),
		Sticky:          rapid.Bool().Draw(t, "sticky"),
		Resumable:       rapid.Bool().Draw(t, "resumable"),
		GapAimMs:        rapid.Int64Range(0, 10_000).Draw(t, "gap"),
	}
	for _, target := range targets {
		weight := rapid.Int64Range(1, 1000).Draw(t, "weight")
		route.Split = append(route.Split, fleetwire.WeightedService{Service: services[target].Name, Weight: weight})
	}
	return route
}

// messageOf is the inverse of convert, except that a route with a single target gets a traffic split of one entry.
func messageOf(config *fleetwire.Config) *fleetconfigpb.Config {
	message := &fleetconfigpb.Config{
		Version: config.Version,
		Limits: &fleetconfigpb.Limits{
			MaxHeaderBytes:  int64(config.Limits.MaxHeaderBytes),
			MaxBodyBytes:    config.Limits.MaxBodyBytes,
			HeaderTimeoutMs: float64(config.Limits.HeaderTimeoutMs),
			IdleTimeoutMs:   float64(config.Limits.IdleTimeoutMs),
		},
	}
	for _, route := range config.Routes {
		message.Routes = append(message.Routes, routeMessage(route))
	}
	for _, service := range config.Services {
		message.Services = append(message.Services, serviceMessage(service))
	}
	return message
}

func routeMessage(route fleetwire.Route) *fleetconfigpb.Route {
	message := &fleetconfigpb.Route{
		Name:            route.Name,
		Hostname:        route.Hostname,
		PathPrefix:      route.PathPrefix,
		RouteType:       route.RouteType,
		TimeoutMs:       float64(route.TimeoutMs),
		TargetLatencyMs: float64(route.TargetLatencyMs),
		Priority:        int32(route.Priority),
		MaxAttempts:     int32(route.MaxAttempts),
		Sticky:          route.Sticky,
		Resumable:       route.Resumable,
		GapAimMs:        float64(route.GapAimMs),
	}
	for _, target := range route.Split {
		message.TrafficSplit = append(message.TrafficSplit,
			&fleetconfigpb.WeightedService{Service: target.Service, Weight: float64(target.Weight)})
	}
	return message
}

func serviceMessage(service fleetwire.Service) *fleetconfigpb.Service {
	message := &fleetconfigpb.Service{
		Name:           service.Name,
		HealthCheck:    service.HealthCheck,
		MaxConnections: int32(service.MaxConnections),
	}
	if engine := service.Engine; engine != nil {
		message.Engine = &fleetconfigpb.Engine{
			Slots:        int32(engine.Slots),
			KvTokens:     engine.KvTokens,
			KvTokenBytes: engine.KvTokenBytes,
			LinkMbps:     engine.LinkMbps,
			Stride:       int32(engine.Stride),
			HandleTtlS:   engine.HandleTTLS,
			SwitchS:      engine.SwitchS,
		}
		for _, model := range engine.Models {
			message.Engine.Models = append(message.Engine.Models, &fleetconfigpb.Model{Name: model})
		}
	}
	return message
}

func marshal(t *rapid.T, config *fleetwire.Config) []byte {
	body, err := protojson.Marshal(messageOf(config))
	if err != nil {
		t.Fatal(err)
	}
	return body
}

func TestParseRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := drawConfig(t)
		parsed, err := Parse(marshal(t, config))
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(config, parsed) {
			t.Fatalf("sent %+v\nread %+v", config, parsed)
		}
		if differences := Diff(config, parsed); len(differences) > 0 {
			t.Fatalf("differs from itself: %+v", differences)
		}
	})
}

func TestTruncatedConfigurationsAreRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := marshal(t, drawConfig(t))
		length := rapid.IntRange(0, len(body)-1).Draw(t, "length")
		if _, err := Parse(body[:length]); err == nil {
			t.Fatalf("the first %d of %d bytes are accepted as a complete configuration", length, len(body))
		}
	})
}

func TestTrailingBytesAreRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := marshal(t, drawConfig(t))
		extra := rapid.Byte().Filter(func(b byte) bool { return !slices.Contains([]byte(" \t\r\n"), b) }).Draw(t, "extra")
		if _, err := Parse(append(body, extra)); err == nil {
			t.Fatalf("the trailing byte %q is accepted", extra)
		}
	})
}

// TestParseRejectsAnErrorInAnyRoute makes one route of a valid configuration invalid and checks the kind of the error.
func TestParseRejectsAnErrorInAnyRoute(t *testing.T) {
	corruptions := map[Kind]func(*fleetconfigpb.Config, *fleetconfigpb.Route){
		KindTimeout:   func(_ *fleetconfigpb.Config, route *fleetconfigpb.Route) { route.TimeoutMs = 0 },
		KindNoService: func(_ *fleetconfigpb.Config, route *fleetconfigpb.Route) { route.TrafficSplit = nil },
		KindUnknownService: func(_ *fleetconfigpb.Config, route *fleetconfigpb.Route) {
			route.TrafficSplit[len(route.TrafficSplit)-1].Service = "nobody"
		},
		KindWeights: func(_ *fleetconfigpb.Config, route *fleetconfigpb.Route) {
			for _, target := range route.TrafficSplit {
				target.Weight = 0
			}
		},
		KindDuplicateRoute: func(message *fleetconfigpb.Config, route *fleetconfigpb.Route) {
			duplicate := &fleetconfigpb.Route{Hostname: route.Hostname, PathPrefix: route.PathPrefix, TimeoutMs: 1, Service: "service-0"}
			message.Routes = append(message.Routes, duplicate)
		},
	}
	rapid.Check(t, func(t *rapid.T) {
		message := messageOf(drawConfig(t))
		kind := rapid.SampledFrom(slices.Sorted(maps.Keys(corruptions))).Draw(t, "kind")
		route := rapid.SampledFrom(message.Routes).Draw(t, "route")
		corruptions[kind](message, route)
		body, err := protojson.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		_, err = Parse(body)
		invalid, ok := err.(*Error)
		if !ok || invalid.Kind != kind {
			t.Fatalf("an error of kind %v is reported as: %v", kind, err)
		}
	})
}
