// Command route plays case 1: a change of the configuration adds three routes, one of them below /-/, and clients send requests
// on each of them to each router, later than ConfigPropagationMs after the acknowledgement.
package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"weldscale/internal/standin/client"
	"weldscale/internal/standin/fleet"
	"weldscale/internal/standin/judge"
	"weldscale/internal/standin/operator"
	"weldscale/review/harness"
)

const (
	routers           = 3
	requestsPerRouter = 10
	// otherHost has one route only.
	otherHost = "orders.example"
	// propagation is ConfigPropagationMs of the small deployments.
	propagation = 2 * time.Second
)

func main() {
	harness.Main(fleet.Options{Zones: []string{"a", "b", "c"}, Controllers: 3, Routers: routers}, run)
}

// orderKind is a kind of request that must not run twice.
func orderKind(name, prefix, service string) client.Kind {
	return client.Kind{Name: name, Deadline: 3 * time.Second, Body: 600, Route: operator.Route{Name: "r-" + name, Hostname: fleet.Host,
		PathPrefix: prefix, RouteType: "unsafe", TimeoutMs: 3000, TargetLatencyMs: 300, Priority: 2, Service: service, MaxAttempts: 2}}
}

func run(record *harness.Record, f *fleet.Fleet) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	if _, err := f.AddSmallSiteWorkers(); err != nil {
		return 0, err
	}
	config := fleet.SmallSiteConfig(1)
	if err := replace(ctx, record, f, 0, config); err != nil {
		return 0, err
	}
	if err := f.AwaitReady(ctx, routers); err != nil {
		return 0, err
	}
	notice := orderKind("notice", "/"+fleet.KindPlainUnsafe+"/", fleet.ServicePlain)
	kinds := []client.Kind{notice}
	if harness.Trouble() {
		rest := orderKind("rest", "/", fleet.ServicePlain)
		orders := orderKind("orders", "/orders/", fleet.ServiceOther)
		below := orderKind("below", "/-/orders/", fleet.ServiceOther)
		alone := orderKind("alone", "/-/orders/", fleet.ServiceOther)
		alone.Route.Hostname = otherHost
		kinds = append(kinds, rest, orders, below, alone)
		config.Version = 2
		config.Routes = append(config.Routes, rest.Route, orders.Route, below.Route, alone.Route)
		if err := replace(ctx, record, f, 1, config); err != nil {
			return 0, err
		}
	}
	time.Sleep(propagation + propagation/2)
	read, err := f.Operator.Read(ctx)
	if err != nil {
		return 0, err
	}
	record.Line("read back: version %d, routes %s", read.Version, describe(read.Routes))
	denied := 0
	for i := range kinds {
		denied += send(record, f, &kinds[i])
	}
	return verdict(record, f.Judge.Violations(), denied), nil
}

func replace(ctx context.Context, record *harness.Record, f *fleet.Fleet, base int64, config operator.Config) error {
	status, err := f.Operator.Replace(ctx, base, config)
	if err != nil {
		return err
	}
	record.Line("configuration %d on top of %d: answered %d; routes %s", config.Version, base, status, describe(config.Routes))
	if status != http.StatusOK {
		return fmt.Errorf("configuration %d was answered %d", config.Version, status)
	}
	return nil
}

func describe(routes []operator.Route) string {
	var texts []string
	for _, route := range routes {
		texts = append(texts, route.Hostname+route.PathPrefix+" to "+route.Service)
	}
	return strings.Join(texts, ", ")
}

// send sends requests of a kind to each router and records each with its answer and its runs. It returns how many were answered
// with 404.
func send(record *harness.Record, f *fleet.Fleet, kind *client.Kind) (denied int) {
	for router, frontend := range f.FrontendAddresses() {
		group := &client.Group{Name: "g", Seed: 1, SelectRouter: func(string, uint64, int) string { return frontend }, Judge: f.Judge}
		for n := range requestsPerRouter {
			id := fmt.Sprintf("%s-%d-%d", kind.Name, router+1, n)
			result := group.Send(kind, id, uint64(n))
			if result.Status == http.StatusNotFound {
				denied++
			}
			ran := "nowhere"
			for _, each := range f.Judge.Runs(id + ".0") {
				ran = each.Worker + " of " + each.Service
			}
			record.Line("POST %s%s%s to router %d, route to %s: answered %d, ran at %s", kind.Route.Hostname, kind.Route.PathPrefix, id, router+1,
				kind.Route.Service, result.Status, ran)
		}
		group.Close()
	}
	return denied
}

func verdict(record *harness.Record, violations []judge.Violation, denied int) int {
	for _, violation := range violations {
		record.Line("%s", violation)
	}
	record.Line("%d runs at a service that no configuration names for them (ROUTE)", len(violations))
	record.Line("%d answers 404 to requests whose route was acknowledged over %v before (CONFIG)", denied, propagation)
	if len(violations) > 0 || denied > 0 {
		return harness.Broken
	}
	return harness.Held
}
