package router

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"pgregory.net/rapid"

	"weldscale/coordination/watch"
	"weldscale/internal/fleetconfig"
	"weldscale/internal/fleetwire"
)

// TestAppliedConfigurationIsLogged guards against a configuration that takes effect in a router, or in part, without a trace.
func TestAppliedConfigurationIsLogged(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	router := New(Options{Placer: &fakePlacer{}, Log: zap.New(core)})
	config := &fleetwire.Config{Version: 7, Routes: []fleetwire.Route{{Hostname: "a.example", PathPrefix: "/a/"}}}
	router.Update(&watch.Snapshot{Version: fleetwire.Version{ConfigRevision: 1}, Config: config})
	router.Update(&watch.Snapshot{
		Version: fleetwire.Version{ConfigRevision: 1, Instances: fleetwire.ListVersion{Token: 1}}, Config: config,
	})
	applied := logs.FilterMessage("configuration applied")
	require.Equal(t, 1, applied.Len(), "a new list of instances is no new configuration")
	fields := applied.All()[0].ContextMap()
	require.EqualValues(t, 7, fields["version"])
	require.EqualValues(t, 1, fields["routes"])
}

// acceptedSnapshot returns a snapshot of the routes as the controllers publish it: they must accept the configuration.
func acceptedSnapshot(t require.TestingT, routes []acceptedRoute) *watch.Snapshot {
	body, err := json.Marshal(map[string]any{
		"Version": 1, "Routes": routes, "Services": []map[string]any{{"Name": "s"}}, "Limits": map[string]any{},
	})
	require.NoError(t, err)
	config, err := fleetconfig.Parse(body)
	require.NoError(t, err)
	return &watch.Snapshot{Version: fleetwire.Version{ConfigRevision: 1}, Config: config}
}

// acceptedRoute is a route in the operator's encoding.
type acceptedRoute struct {
	Name, Hostname, PathPrefix, Service string
	TimeoutMs                           int
}

// routerOf returns a router that has been updated with the routes, each given as a host and a prefix.
func routerOf(t require.TestingT, hostsAndPrefixes ...[2]string) *Router {
	routes := make([]acceptedRoute, 0, len(hostsAndPrefixes))
	for i, each := range hostsAndPrefixes {
		routes = append(routes, acceptedRoute{Name: itoa(i), Hostname: each[0], PathPrefix: each[1], Service: "s", TimeoutMs: 1000})
	}
	router := New(Options{Placer: &fakePlacer{}})
	router.Update(acceptedSnapshot(t, routes))
	return router
}

// foundRoute returns the host and the prefix of the route that a request takes, or "none".
func (r *Router) foundRoute(host, path string) [2]string {
	found := r.view.Load().findRoute(host, path)
	if found == nil {
		return [2]string{"none"}
	}
	return [2]string{found.Hostname, found.PathPrefix}
}

// TestEveryAcceptedRouteIsServed guards against routes that controllers acknowledge and routers leave out: those below /-/,
// those of hosts that the scheduler's own table refuses, and prefixes that differ only in their trailing slashes.
func TestEveryAcceptedRouteIsServed(t *testing.T) {
	for _, route := range [][2]string{
		{"shop.example", "/-/orders/"}, {"shop.example", "/-/"}, {"shop.example:8080", "/orders/"}, {"shop.example.", "/orders/"},
		{"[fd00::1]", "/orders/"}, {"*", "/orders/"}, {"shop.example", "/orders//"}, {"shop.example", "//"},
		{"shop.example", "/a(b)[c]/"}, {"shop~1.example", "/orders/"},
	} {
		// The route of the shorter prefix must not take the requests of the longer one.
		router := routerOf(t, [2]string{route[0], "/"}, route)
		require.Equal(t, route, router.foundRoute(route[0], route[1]+"5"))
		require.Equal(t, [2]string{route[0], "/"}, router.foundRoute(route[0], "/other/5"))
		alone := routerOf(t, route)
		require.Equal(t, route, alone.foundRoute(route[0], route[1]+"5"))
		require.Equal(t, [2]string{"none"}, alone.foundRoute("elsewhere.example", route[1]+"5"))
	}
	both := routerOf(t, [2]string{"shop.example", "/orders/"}, [2]string{"shop.example", "/orders//"})
	require.Equal(t, [2]string{"shop.example", "/orders/"}, both.foundRoute("shop.example", "/orders/5"))
	require.Equal(t, [2]string{"shop.example", "/orders//"}, both.foundRoute("shop.example", "/orders//5"))
}

// TestRouteIsOfTheRequestedHost guards against routes that take the requests of hosts that they don't name.
func TestRouteIsOfTheRequestedHost(t *testing.T) {
	router := routerOf(t, [2]string{"", "/"}, [2]string{"*.example", "/"}, [2]string{"Shop.example", "/"},
		[2]string{"shop.example:8080", "/"}, [2]string{"fd00::1", "/"})
	for host, want := range map[string]string{
		"shop.example": "Shop.example", "SHOP.EXAMPLE": "Shop.example", "shop.example:80": "Shop.example",
		"shop.example.:80": "Shop.example", "shop.example:8080": "shop.example:8080", "[fd00::1]:80": "fd00::1",
		"": "", "*.example": "*.example",
	} {
		require.Equal(t, [2]string{want, "/"}, router.foundRoute(host, "/x"), host)
	}
	for _, host := range []string{"a.example", "example", "other.org"} {
		require.Equal(t, [2]string{"none"}, router.foundRoute(host, "/x"), host)
	}
}

// TestRoutingOfAcceptedConfigurations compares the router with the protocol's rule on any configuration that is accepted.
func TestRoutingOfAcceptedConfigurations(t *testing.T) {
	bareHosts := map[string]string{"a.example.": "a.example", "b.example:80": "b.example"}
	hosts := []string{"a.example", "b.example:80", "b.example", "*.example", "", "[::1]", "a.example."}
	segments := rapid.SliceOfN(rapid.SampledFrom([]string{"-", "a", "ab", "", "%2D", "..", "a?b", "a b"}), 0, 3)
	rapid.Check(t, func(t *rapid.T) {
		seen := map[[2]string]bool{}
		var routes [][2]string
		for range rapid.IntRange(1, 8).Draw(t, "routes") {
			route := [2]string{rapid.SampledFrom(hosts).Draw(t, "host"), prefixOf(segments.Draw(t, "prefix"))}
			if !seen[route] {
				seen[route] = true
				routes = append(routes, route)
			}
		}
		host := rapid.SampledFrom(hosts).Draw(t, "requested")
		path := prefixOf(segments.Draw(t, "path")) + rapid.SampledFrom([]string{"", "a", "-"}).Draw(t, "last")
		routedHost := host
		if bare := bareHosts[host]; bare != "" && !slices.ContainsFunc(routes, func(route [2]string) bool { return route[0] == host }) {
			routedHost = bare
		}
		want := [2]string{"none"}
		for _, route := range routes {
			if route[0] == routedHost && strings.HasPrefix(path, route[1]) && (want[0] == "none" || len(route[1]) > len(want[1])) {
				want = route
			}
		}
		require.Equal(t, want, routerOf(t, routes...).foundRoute(host, path), path)
	})
}

// prefixOf returns a path prefix, which begins and ends with a slash.
func prefixOf(segments []string) string {
	prefix := "/"
	for _, segment := range segments {
		prefix += segment + "/"
	}
	return prefix
}
