// Package fleetconfig decodes and validates the operator's configuration. It rejects exactly what the protocol defines as
// invalid: unknown keys are ignored and missing ones have their zero value.
package fleetconfig

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"

	"weldscale/internal/fleetconfig/fleetconfigpb"
	"weldscale/internal/fleetroute"
	"weldscale/internal/fleetwire"
)

// MaxBytes is the maximum size of a configuration in bytes.
const MaxBytes = 4 << 20

// Parse decodes and validates a configuration. All errors are of type *Error.
func Parse(body []byte) (*fleetwire.Config, error) {
	if len(body) > MaxBytes {
		return nil, &Error{Kind: KindTooLarge, Detail: "more than " + strconv.Itoa(MaxBytes) + " bytes"}
	}
	var message fleetconfigpb.Config
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(body, &message); err != nil {
		return nil, &Error{Kind: KindUnreadable, Detail: trimPrefix(err)}
	}
	if err := check(body, &message); err != nil {
		return nil, err
	}
	return convert(&message), nil
}

// CheckVersion returns an *Error of KindVersionNotNew if the version of config is not above the current one.
func CheckVersion(config *fleetwire.Config, current int64) error {
	if config.Version > current {
		return nil
	}
	return &Error{Kind: KindVersionNotNew, Field: "Version", Detail: "not above the current one"}
}

// trimPrefix removes the prefix of protojson's error messages.
func trimPrefix(err error) string {
	detail := err.Error()
	if _, rest, found := strings.Cut(detail, "proto:"); found {
		detail = strings.TrimLeft(rest, " \u00a0")
	}
	return detail
}

// check returns nil for a valid configuration and an *Error otherwise.
func check(body []byte, message *fleetconfigpb.Config) error {
	if message.GetVersion() <= 0 {
		return &Error{Kind: KindVersion, Field: "Version", Detail: "missing or not above 0"}
	}
	if err := checkLists(body, message); err != nil {
		return err
	}
	return checkRoutes(message)
}

// checkLists rejects a configuration without a list of routes or services, because it must be incomplete. Empty lists are
// allowed.
func checkLists(body []byte, message *fleetconfigpb.Config) error {
	if len(message.GetRoutes()) > 0 && len(message.GetServices()) > 0 {
		return nil
	}
	var lists struct{ Routes, Services json.RawMessage }
	if err := json.Unmarshal(body, &lists); err != nil {
		return &Error{Kind: KindUnreadable, Detail: err.Error()}
	}
	if absent(lists.Routes) {
		return &Error{Kind: KindUnreadable, Field: "Routes", Detail: "missing"}
	}
	if absent(lists.Services) {
		return &Error{Kind: KindUnreadable, Field: "Services", Detail: "missing"}
	}
	return nil
}

// absent reports whether a JSON value is missing or null.
func absent(value json.RawMessage) bool { return len(value) == 0 || string(value) == "null" }

func checkRoutes(message *fleetconfigpb.Config) error {
	services := make(map[string]bool, len(message.GetServices()))
	for _, service := range message.GetServices() {
		services[service.GetName()] = true
	}
	routeNames := make(map[fleetroute.Key]string, len(message.GetRoutes()))
	for _, route := range message.GetRoutes() {
		if err := checkRoute(route, services); err != nil {
			return err
		}
		key := fleetroute.NewKey(route.GetHostname(), route.GetPathPrefix())
		if other, found := routeNames[key]; found {
			return routeError(KindDuplicateRoute, route, "PathPrefix", "host and prefix are those of route "+other)
		}
		routeNames[key] = route.GetName()
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
