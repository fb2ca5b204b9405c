package soak

import (
	"fmt"
	"slices"
	"time"

	"weldscale/internal/standin/client"
	"weldscale/internal/standin/fleet"
	"weldscale/internal/standin/operator"
)

// longDeadline lies beyond the grace of a process: what takes as long can't outlive the router that took it last.
const longDeadline = 10 * time.Second

// longStreams are streams that run for two, five and eight seconds, by their tokens.
var longStreams = []struct {
	tokens    int
	perSecond float64
}{{600, 1}, {1500, 1}, {2300, 0.6}}

// Kinds are the small site's kinds of requests and streams of several seconds.
func Kinds() []*client.Kind {
	kinds := fleet.SmallKinds()
	for _, kind := range kinds {
		if kind.Route.Service == fleet.ServicePlain {
			kind.Services = []string{fleet.ServicePlain, fleet.ServiceOther}
		}
	}
	for _, long := range longStreams {
		name := fmt.Sprintf("stream-%d", long.tokens)
		kinds = append(kinds, &client.Kind{
			Name: name,
			Route: operator.Route{Name: "r-" + name, Hostname: fleet.Host, PathPrefix: "/" + name + "/", RouteType: "streaming",
				TimeoutMs: longDeadline.Milliseconds(), TargetLatencyMs: 500, Priority: 1, Service: fleet.ServiceModel, MaxAttempts: 1,
				Sticky: true, GapAimMs: 300},
			PerSecond: long.perSecond, Deadline: longDeadline, Retries: 1, Body: 1000, Output: long.tokens, Shared: 64, Subject: 64,
			Subjects: 10, Own: 200,
		})
	}
	return kinds
}

// baseConfig is the first configuration.
func baseConfig() operator.Config {
	config := fleet.SmallConfig(1)
	config.Routes = nil
	for _, kind := range Kinds() {
		config.Routes = append(config.Routes, kind.Route)
	}
	return config
}

// variant tells two configurations of one version apart. Variants change what a configuration changes in service: limits,
// time-outs of plain routes, the service that routes lead to, how they are split.
const variants = 4

// configOf is a configuration of a version. Configurations of different variants differ.
func configOf(version int64, variant int) operator.Config {
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

// withProbe adds a route that no earlier configuration had.
func withProbe(config operator.Config) (operator.Config, *client.Kind) {
	var probe client.Kind
	for _, kind := range Kinds() {
		if kind.Name == fleet.KindCard {
			probe = *kind
		}
	}
	probe.Name, probe.Retries = "probe", 0
	probe.Route.Name, probe.Route.PathPrefix = "r-probe", "/probe/"
	config.Routes = append(config.Routes, probe.Route)
	return config, &probe
}
