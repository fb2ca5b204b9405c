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
	// settle is the time from the acknowledgement to the first request. It is above ConfigPropagationMs (2,000) and above
	// LivenessMs (3,000), after which a machine counts as in touch.
	settle = 4 * time.Second
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
	rest := orderKind("rest", "/", fleet.ServicePlain)
	orders := orderKind("orders", "/orders/", fleet.ServiceOther)
	below := orderKind("below", "/-/orders/", fleet.ServiceOther)
	alone := orderKind("alone", "/-/orders/", fleet.ServiceOther)
	alone.Route.Hostname = otherHost
	added := []client.Kind{rest, orders, below, alone}
	if harness.Trouble() {
		config.Version = 2
		for _, kind := range added {
			config.Routes = append(config.Routes, kind.Route)
		}
		if err := replace(ctx, record, f, 1, config); err != nil {
			return 0, err
		}
	}
	time.Sleep(settle)
	read, err := f.Operator.Read(ctx)
	if err != nil {
		return 0, err
	}
	record.Line("read back: version %d, routes %s", read.Version, describe(read.Routes))
	var found counts
	found.send(record, f, notice, true)
	for _, kind := range added {
		found.send(record, f, kind, harness.Trouble())
	}
	return found.verdict(record, f.Judge.Violations()), nil
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

// counts are the requests that were handled against the rules.
type counts struct{ wrongService, denied int }

// send sends requests of a kind to each router, and records and counts each. configured says whether a configuration has the
// route of the kind. If none has, no service may run the request, and 404 is the right answer.
func (c *counts) send(record *harness.Record, f *fleet.Fleet, kind client.Kind, configured bool) {
	allowed := "no service"
	if configured {
		allowed = kind.Route.Service
	}
	for router, frontend := range f.FrontendAddresses() {
		group := &client.Group{Name: "g", Seed: 1, SelectRouter: func(string, uint64, int) string { return frontend }, Judge: f.Judge}
		for n := range requestsPerRouter {
			id := fmt.Sprintf("%s-%d-%d", kind.Name, router+1, n)
			result := group.Send(&kind, id, uint64(n))
			ran := "nowhere"
			for _, each := range f.Judge.Runs(id + ".0") {
				ran = each.Worker + " of " + each.Service
				if each.Service != allowed {
					c.wrongService++
				}
			}
			if configured && result.Status == http.StatusNotFound {
				c.denied++
			}
			record.Line("POST %s%s%s to router %d, may run at %s: answered %d, ran at %s", kind.Route.Hostname, kind.Route.PathPrefix, id,
				router+1, allowed, result.Status, ran)
		}
		group.Close()
	}
}

// verdict records what was counted, and what the stand-ins' judge saw of other rules, which does not count here.
func (c *counts) verdict(record *harness.Record, violations []judge.Violation) int {
	for _, violation := range violations {
		if violation.Rule != judge.WrongService {
			record.Line("not counted: %s", violation)
		}
	}
	record.Line("%d runs at a service that no configuration ever sent names for them (ROUTE)", c.wrongService)
	record.Line("%d answers 404 to requests sent %v after the acknowledgement of their route (CONFIG)", c.denied, settle)
	if c.wrongService > 0 || c.denied > 0 {
		return harness.Broken
	}
	return harness.Held
}
