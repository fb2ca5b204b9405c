// Package fleetconfig reads the operator's configuration and checks it. It refuses what the protocol calls invalid and
// nothing else: unknown keys are discarded and missing ones take their zero value.
package fleetconfig

import (
	"encoding/json"
	"math"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"

	"weldscale/internal/fleetconfig/fleetconfigpb"
	"weldscale/internal/fleetwire"
)

// Parse reads a whole configuration. An error is always an *Error.
func Parse(body []byte) (*fleetwire.Config, error) {
	var message fleetconfigpb.Config
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(body, &message); err != nil {
		return nil, &Error{Kind: KindUnreadable, Detail: plainDetail(err)}
	}
	if err := check(body, &message); err != nil {
		return nil, err
	}
	return convert(&message), nil
}

// CheckVersion reports the fault of a configuration whose version is not above the current one.
func CheckVersion(config *fleetwire.Config, current int64) error {
	if config.Version > current {
		return nil
	}
	return &Error{Kind: KindVersionNotNew, Field: "Version", Detail: "not above the current one"}
}

// plainDetail strips the prefix that protojson puts before its messages.
func plainDetail(err error) string {
	detail := err.Error()
	if _, rest, found := strings.Cut(detail, "proto:"); found {
		detail = strings.TrimLeft(rest, " \u00a0")
	}
	return detail
}

// check returns a nil error for a valid configuration and an *Error for any other.
func check(body []byte, message *fleetconfigpb.Config) error {
	if message.GetVersion() <= 0 {
		return &Error{Kind: KindVersion, Field: "Version", Detail: "missing or not above 0"}
	}
	if err := checkParts(body, message); err != nil {
		return err
	}
	return checkRoutes(message)
}

// checkParts refuses a configuration without its list of routes or of services, which can't be the whole one. Lists that
// are there but empty are allowed.
func checkParts(body []byte, message *fleetconfigpb.Config) error {
	if len(message.GetRoutes()) > 0 && len(message.GetServices()) > 0 {
		return nil
	}
	var parts struct{ Routes, Services json.RawMessage }
	if err := json.Unmarshal(body, &parts); err != nil {
		return &Error{Kind: KindUnreadable, Detail: err.Error()}
	}
	if absent(parts.Routes) {
		return &Error{Kind: KindUnreadable, Field: "Routes", Detail: "missing"}
	}
	if absent(parts.Services) {
		return &Error{Kind: KindUnreadable, Field: "Services", Detail: "missing"}
	}
	return nil
}

func absent(value json.RawMessage) bool { return len(value) == 0 || string(value) == "null" }

// place is what no two routes may share.
type place struct{ hostname, pathPrefix string }

func checkRoutes(message *fleetconfigpb.Config) error {
	services := make(map[string]bool, len(message.GetServices()))
	for _, service := range message.GetServices() {
		services[service.GetName()] = true
	}
	taken := make(map[place]string, len(message.GetRoutes()))
	for _, route := range message.GetRoutes() {
		if err := checkRoute(route, services); err != nil {
			return err
		}
		at := place{strings.ToLower(route.GetHostname()), route.GetPathPrefix()}
		if other, found := taken[at]; found {
			return routeError(KindDuplicateRoute, route, "PathPrefix", "host and prefix are those of route "+other)
		}
		taken[at] = route.GetName()
	}
	return nil
}

func checkRoute(route *fleetconfigpb.Route, services map[string]bool) error {
	if !(route.GetTimeoutMs() > 0) { // also true of NaN
		return routeError(KindTimeout, route, "TimeoutMs", "missing or not above 0")
	}
	if route.GetService() == "" && len(route.GetTrafficSplit()) == 0 {
		return routeError(KindNoService, route, "Service", "neither Service nor TrafficSplit")
	}
	if name := route.GetService(); name != "" && !services[name] {
		return routeError(KindUnknownService, route, "Service", name)
	}
	return checkSplit(route, services)
}

func checkSplit(route *fleetconfigpb.Route, services map[string]bool) error {
	if len(route.GetTrafficSplit()) == 0 {
		return nil
	}
	sum := 0.0
	for _, target := range route.GetTrafficSplit() {
		if !services[target.GetService()] {
			return routeError(KindUnknownService, route, "TrafficSplit", target.GetService())
		}
		if weight := target.GetWeight(); !(weight >= 0 && weight <= math.MaxFloat64) { // also true of NaN
			return routeError(KindWeights, route, "TrafficSplit", "a weight below 0 or without end")
		}
		sum += target.GetWeight()
	}
	if sum == 0 {
		return routeError(KindWeights, route, "TrafficSplit", "the weights sum to 0")
	}
	return nil
}

func routeError(kind Kind, route *fleetconfigpb.Route, field, detail string) error {
	return &Error{Kind: kind, Route: route.GetName(), Field: field, Detail: detail}
}
