package hollow

import (
	"fmt"
	"strconv"

	"weldscale/internal/standin/operator"
	"weldscale/internal/standin/platform"
)

// prefillShare is the fraction of workers in the prefill stage.
const prefillShare = 0.36

// deployment generates the configurations and the worker list of a deployment of a given size.
type deployment struct {
	models, tenants, workers int
	zones                    []string
	subnet                   string
}

// config returns a configuration with a route for each tenant. One route, chosen by the version, has a timeout that depends on
// it.
func (d deployment) config(version int64) operator.Config {
	config := operator.Config{Version: version, Limits: operator.DefaultLimits}
	for model := range d.models {
		config.Services = append(config.Services, operator.Service{
			Name: serviceName(model), HealthCheck: "/healthz", MaxConnections: 4000, Protocol: "h1",
			Engine: &operator.Engine{Slots: 128, KvTokens: 940_121, KvTokenBytes: 35_136, LinkMbps: 1.1e6, Stride: 11, HandleTTLS: 5,
				SwitchS: 2.6, Models: []operator.ModelName{{Name: modelName(model)}}},
		})
	}
	for tenant := range d.tenants {
		timeout := int64(8000)
		if int64(tenant) == version%int64(d.tenants) {
			timeout += version % 1000
		}
		config.Routes = append(config.Routes, operator.Route{
			Name: fmt.Sprintf("r-tenant-%04d", tenant), Hostname: fmt.Sprintf("tenant-%04d.press.example", tenant),
			PathPrefix: "/v1/completions/", RouteType: "streaming", TimeoutMs: timeout, TargetLatencyMs: 310, Priority: 1,
			Service: serviceName(tenant % d.models), MaxAttempts: 2, Sticky: true, GapAimMs: 62,
		})
	}
	return config
}

func serviceName(model int) string { return fmt.Sprintf("model-%02d-llm", model) }

func modelName(model int) string { return fmt.Sprintf("model-%02d", model) }

// list returns all workers in the platform's format.
func (d deployment) list() []platform.Instance {
	list := make([]platform.Instance, 0, d.workers)
	for worker := range d.workers {
		list = append(list, d.worker(worker))
	}
	return list
}

func (d deployment) worker(i int) platform.Instance {
	const portsPerIP, firstPort, firstIP = 200, 9000, 100
	stage := "decode"
	if float64(i%100) < 100*prefillShare {
		stage = "prefill"
	}
	return platform.Instance{
		ID: workerID(i), Service: serviceName(i % d.models),
		Address: fmt.Sprintf("%s.%d:%d", d.subnet, firstIP+i/portsPerIP, firstPort+i%portsPerIP),
		Zone:    d.zones[i%len(d.zones)], Version: "v1", Slots: 128, State: platform.StateReady, Stage: stage,
		Models: []platform.Model{{Name: modelName(i % d.models), Version: 1}},
	}
}

func workerID(i int) string { return fmt.Sprintf("w-%04d-%08x", i, uint32(i)*2654435761) }

// changedWorker returns the worker that the given change of the list updates. The worker drains after even changes and is ready
// after odd ones, and its version contains the number of the change.
func (d deployment) changedWorker(change int) platform.Instance {
	worker := d.worker(change * 37 % d.workers)
	worker.Version = "c" + strconv.Itoa(change)
	if change%2 == 0 {
		worker.State = platform.StateDraining
	}
	return worker
}
