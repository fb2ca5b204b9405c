package fleetconfig

import (
	"math"

	"github.com/samber/lo"

	"weldscale/internal/fleetconfig/fleetconfigpb"
	"weldscale/internal/fleetwire"
)

// convert brings a checked configuration into the form that the fleet's programs share.
func convert(message *fleetconfigpb.Config) *fleetwire.Config {
	return &fleetwire.Config{
		Version:  message.GetVersion(),
		Routes:   convertAll(message.GetRoutes(), convertRoute),
		Services: convertAll(message.GetServices(), convertService),
		Limits:   convertLimits(message.GetLimits()),
	}
}

func convertAll[From, To any](from []From, one func(From) To) []To {
	if len(from) == 0 {
		return nil
	}
	return lo.Map(from, func(item From, _ int) To { return one(item) })
}

func convertRoute(route *fleetconfigpb.Route) fleetwire.Route {
	return fleetwire.Route{
		Name:            route.GetName(),
		Hostname:        route.GetHostname(),
		PathPrefix:      route.GetPathPrefix(),
		RouteType:       route.GetRouteType(),
		TimeoutMs:       wholeMs(route.GetTimeoutMs()),
		TargetLatencyMs: wholeMs(route.GetTargetLatencyMs()),
		Priority:        int(route.GetPriority()),
		Split:           convertSplit(route),
		MaxAttempts:     int(route.GetMaxAttempts()),
		Sticky:          route.GetSticky(),
		Resumable:       route.GetResumable(),
		GapAimMs:        wholeMs(route.GetGapAimMs()),
	}
}

// convertSplit returns the targets of a route. A split goes before a single service where both are given. Targets without
// weight are left out, since they get no requests.
func convertSplit(route *fleetconfigpb.Route) []fleetwire.WeightedService {
	split := route.GetTrafficSplit()
	if len(split) == 0 {
		return []fleetwire.WeightedService{{Service: route.GetService(), Weight: 1}}
	}
	scale := weightScale(split)
	targets := make([]fleetwire.WeightedService, 0, len(split))
	for _, target := range split {
		if target.GetWeight() == 0 {
			continue
		}
		weight := max(1, int64(math.Round(target.GetWeight()*scale)))
		targets = append(targets, fleetwire.WeightedService{Service: target.GetService(), Weight: weight})
	}
	return targets
}

// fractionScale is the precision that is kept of weights with fractions.
const fractionScale = 1e6

// weightScale returns what the weights are multiplied by: 1 for whole numbers, and otherwise what brings their sum to
// fractionScale.
func weightScale(split []*fleetconfigpb.WeightedService) float64 {
	sum, whole := 0.0, true
	for _, target := range split {
		weight := target.GetWeight()
		sum += weight
		whole = whole && weight == math.Trunc(weight)
	}
	if whole && sum <= math.MaxInt32 {
		return 1
	}
	return fractionScale / sum
}

func convertService(service *fleetconfigpb.Service) fleetwire.Service {
	return fleetwire.Service{
		Name:           service.GetName(),
		HealthCheck:    service.GetHealthCheck(),
		MaxConnections: int(service.GetMaxConnections()),
		Engine:         convertEngine(service.GetEngine()),
	}
}

func convertEngine(engine *fleetconfigpb.Engine) *fleetwire.Engine {
	if engine == nil {
		return nil
	}
	return &fleetwire.Engine{
		Slots:        int(engine.GetSlots()),
		KvTokens:     engine.GetKvTokens(),
		KvTokenBytes: engine.GetKvTokenBytes(),
		LinkMbps:     engine.GetLinkMbps(),
		Stride:       int(engine.GetStride()),
		HandleTTLS:   engine.GetHandleTtlS(),
		SwitchS:      engine.GetSwitchS(),
		Models:       convertAll(engine.GetModels(), (*fleetconfigpb.Model).GetName),
	}
}

func convertLimits(limits *fleetconfigpb.Limits) fleetwire.Limits {
	return fleetwire.Limits{
		MaxHeaderBytes:  int(limits.GetMaxHeaderBytes()),
		MaxBodyBytes:    limits.GetMaxBodyBytes(),
		HeaderTimeoutMs: wholeMs(limits.GetHeaderTimeoutMs()),
		IdleTimeoutMs:   wholeMs(limits.GetIdleTimeoutMs()),
	}
}

// wholeMs rounds up, so that a time above 0 stays above 0. What is too long to be told from forever is held to a day.
func wholeMs(value float64) int64 {
	const dayMs = 86_400_000
	if !(value > 0) {
		return 0
	}
	return int64(math.Ceil(min(value, dayMs)))
}
