package soak

import (
	"fmt"
	"slices"
	"time"

	"weldscale/internal/standin/client"
	"weldscale/internal/standin/fleet"
	"weldscale/internal/standin/operator"
)

// longDeadline is longer than the grace period of a process: a request that takes this long can't finish in a router that is
// stopped right after it accepted the request.
const longDeadline = 10 * time.Second

// longStreams are streams that last about two, five and eight seconds, as set by their number of tokens.
var longStreams = []struct {
	tokens    int
	perSecond float64
}{{600, 1}, {1500, 1}, {2300, 0.6}}

// unusualRoutes are hosts and prefixes that a routing table might normalize, reserve or refuse.
var unusualRoutes = []struct{ name, hostname, prefix string }{
	{"below-dash", fleet.Host, "/-/below/"}, {"two-slashes", fleet.Host, "/two//"}, {"host-with-port", fleet.Host + ":8080", "/-/port/"},
}

// unusualPerSecond is the rate of each unusual route.
const unusualPerSecond = 1

// Kinds returns the request kinds of the small site, plain ones on unusual routes, and streams of several seconds.
func Kinds() []*client.Kind {
	kinds := fleet.SmallSiteKinds()
	for _, kind := range kinds {
		if kind.Route.Service == fleet.ServicePlain {
			kind.Services = []string{fleet.ServicePlain, fleet.ServiceOther}
		}
	}
	for _, unusual := range unusualRoutes {
		kind := *kindNamed(kinds, fleet.KindPlainUnsafe)
		kind.Name, kind.PerSecond = unusual.name, unusualPerSecond
		kind.Route.Name, kind.Route.Hostname, kind.Route.PathPrefix = "r-"+unusual.name, unusual.hostname, unusual.prefix
		kinds = append(kinds, &kind)
	}
	for _, long := range longStreams {
		name := fmt.Sprintf("stream-%d", long.tokens)
		kinds = append(kinds, &client.Kind{
			Name: name,
			Route: operator.Route{Name: "r-" + name, Hostname: fleet.Host, PathPrefix: "/" + name + "/", RouteType: "streaming",
				TimeoutMs: longDeadline.Milliseconds(), TargetLatencyMs: 500, Priority: 1, Service: fleet.ServiceModel, MaxAttempts: 1,
				Sticky: true, GapAimMs: 300},
			PerSecond: long.perSecond, Deadline: longDeadline, Retries: 1, Body: 1000, Output: long.tokens, SharedTokens: 64, SubjectTokens: 64,
			Subjects: 10, OwnTokens: 200,
		})
	}
	return kinds
}

// kindNamed returns the kind with the given name, which must be among the kinds.
func kindNamed(kinds []*client.Kind, name string) *client.Kind {
	return kinds[slices.IndexFunc(kinds, func(kind *client.Kind) bool { return kind.Name == name })]
}

// baseConfig returns the first configuration.
func baseConfig() operator.Config {
	config := fleet.SmallSiteConfig(1)
	config.Routes = nil
	for _, kind := range Kinds() {
		config.Routes = append(config.Routes, kind.Route)
	}
	return config
}

// variants is the number of variants of a configuration. They change what configurations change in production: here the
// timeout of the plain routes, the service that these lead to, or how they are split over services.
const variants = 4

// newConfig returns a configuration of the given version and variant. Configurations of one version differ by their variant;
// the version also sets an idle timeout.
func newConfig(version int64, variant int) operator.Config {
	config := baseConfig()
	config.Version = version
	config.Limits.IdleTimeoutMs += version
	config.Routes = slices.Clone(config.Routes)
	for i := range config.Routes {
		route := &config.Routes[i]
		if route.Service != fleet.ServicePlain {
			continue
		}
		switch variant % variants {
		case 1:
			route.Service = fleet.ServiceOther
		case 2:
			route.TimeoutMs -= 500
		case 3:
			route.Service = ""
			route.TrafficSplit = []operator.Weight{{Service: fleet.ServicePlain, Weight: 70}, {Service: fleet.ServiceOther, Weight: 30}}
		}
	}
	return config
}

// withProbe adds a route that no earlier configuration had, and returns the request kind that uses it.
func withProbe(config operator.Config) (operator.Config, *client.Kind) {
	probe := *kindNamed(Kinds(), fleet.KindPlainSafe)
	probe.Name, probe.Retries = "probe", 0
	probe.Route.Name, probe.Route.PathPrefix = "r-probe", "/probe/"
	config.Routes = append(config.Routes, probe.Route)
	return config, &probe
}
