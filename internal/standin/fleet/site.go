package fleet

import (
	"time"

	"weldscale/internal/standin/client"
	"weldscale/internal/standin/engine"
	"weldscale/internal/standin/llmworker"
	"weldscale/internal/standin/operator"
)

// The services of the small site.
const (
	ServiceModel = "proof-lm"
	ServicePlain = "notices"
	ServiceOther = "notices-b" // a second plain service, to which configuration changes move routes
)

// The names of the small site's request kinds.
const (
	KindStream          = "draft"   // a long prompt, prefilled by a prefill worker, and a stream that can't be resumed
	KindResumableStream = "verdict" // a short prompt, and a stream that can be resumed
	KindPlainUnsafe     = "notice"  // to a plain service; must not run twice
	KindPlainSafe       = "card"    // to a plain service; may be repeated
)

// Host is the host name of the small site's routes.
const Host = "press.example"

// SmallSiteEngine configures the engine of the small site's model workers: a hundredth of a real engine's size, at its speed.
var SmallSiteEngine = engine.Config{
	Slots: 16, Queue: 48, Step: 3 * time.Millisecond, StepPerSlot: 50 * time.Microsecond, TokensPerMs: 100, Stride: 4,
	KvTokens: 60_000, LinkMbps: 1e6, TransferSetup: time.Millisecond, HandleLifetime: 5 * time.Second, StageSwitch: time.Second, Fencing: true,
}

// SmallSiteConfig returns the initial configuration of the small site, under the given version.
func SmallSiteConfig(version int64) operator.Config {
	modelEngine := operator.Engine{Slots: SmallSiteEngine.Slots, KvTokens: SmallSiteEngine.KvTokens, KvTokenBytes: 35_136,
		LinkMbps: SmallSiteEngine.LinkMbps,
		Stride:   SmallSiteEngine.Stride, HandleTTLS: SmallSiteEngine.HandleLifetime.Seconds(), SwitchS: SmallSiteEngine.StageSwitch.Seconds(),
		Models: []operator.ModelName{{Name: "m"}}}
	plain := func(name string) operator.Service {
		return operator.Service{Name: name, HealthCheck: "/healthz", MaxConnections: 350, Protocol: "h1"}
	}
	config := operator.Config{Version: version, Limits: operator.DefaultLimits,
		Services: []operator.Service{
			{Name: ServiceModel, HealthCheck: "/healthz", MaxConnections: 350, Protocol: "h1", Engine: &modelEngine},
			plain(ServicePlain), plain(ServiceOther),
		}}
	for _, kind := range SmallSiteKinds() {
		config.Routes = append(config.Routes, kind.Route)
	}
	return config
}

// SmallSiteKinds returns the small site's request kinds, with their routes.
func SmallSiteKinds() []*client.Kind {
	streaming := func(name string, targetLatency, timeout, priority int64, resumable bool) operator.Route {
		return operator.Route{Name: "r-" + name, Hostname: Host, PathPrefix: "/" + name + "/", RouteType: "streaming",
			TimeoutMs: timeout, TargetLatencyMs: targetLatency, Priority: int(priority), Service: ServiceModel, MaxAttempts: 2,
			Sticky: true, Resumable: resumable, GapAimMs: 300}
	}
	plain := func(name, routeType string) operator.Route {
		return operator.Route{Name: "r-" + name, Hostname: Host, PathPrefix: "/" + name + "/", RouteType: routeType, TimeoutMs: 3000,
			TargetLatencyMs: 300, Priority: 2, Service: ServicePlain, MaxAttempts: 2}
	}
	return []*client.Kind{
		{Name: KindStream, Route: streaming(KindStream, 500, 8000, 1, false), PerSecond: 5, Deadline: 8 * time.Second,
			Retries: 1, Body: 4000,
			Output: 36, SharedTokens: 512, SubjectTokens: 1600, Subjects: 10, OwnTokens: 4000},
		{Name: KindResumableStream, Route: streaming(KindResumableStream, 300, 5000, 0, true), PerSecond: 10, Deadline: 5 * time.Second,
			Retries: 1, Body: 1000,
			Output: 6, SharedTokens: 256, SubjectTokens: 240, Subjects: 20, OwnTokens: 300},
		{Name: KindPlainUnsafe, Route: plain(KindPlainUnsafe, "unsafe"), PerSecond: 8, Deadline: 3 * time.Second, Retries: 1, Body: 600},
		{Name: KindPlainSafe, Route: plain(KindPlainSafe, "safe"), PerSecond: 8, Deadline: 3 * time.Second, Retries: 1, Body: 100},
	}
}

// SmallSiteWorkers holds the workers that AddSmallSiteWorkers started.
type SmallSiteWorkers struct {
	Prefill, Decode, Plain, Other []*llmworker.Worker
}

// AddSmallSiteWorkers starts two workers for each stage of the model and two for each plain service.
func (f *Fleet) AddSmallSiteWorkers() (SmallSiteWorkers, error) {
	const workersPerGroup = 2
	var out SmallSiteWorkers
	model, err := f.AddModelWorkers(ServiceModel, workersPerGroup, workersPerGroup, SmallSiteEngine)
	if err != nil {
		return out, err
	}
	out.Prefill, out.Decode = model[:workersPerGroup], model[workersPerGroup:]
	for i := range 2 * workersPerGroup {
		service, list := ServicePlain, &out.Plain
		if i >= workersPerGroup {
			service, list = ServiceOther, &out.Other
		}
		worker, err := f.AddWorker(llmworker.Config{Name: service, Service: service, TellsLoad: true, Slots: 6, Queue: 24,
			Work: 15 * time.Millisecond, AnswerBytes: 800}, i)
		if err != nil {
			return out, err
		}
		*list = append(*list, worker)
	}
	return out, nil
}
