package fleetconfig

import (
	"math"

	"github.com/samber/lo"

	"weldscale/internal/fleetconfig/fleetconfigpb"
	"weldscale/internal/fleetwire"
)

// convert converts a validated configuration to the type that the fleet's programs use.
func convert(message *fleetconfigpb.Config) *fleetwire.Config {
	return &fleetwire.Config{
		Version:  message.GetVersion(),
		Routes:   convertAll(message.GetRoutes(), convertRoute),
		Services: convertAll(lastOfEachName(message.GetServices()), convertService),
		Limits:   convertLimits(message.GetLimits()),
	}
}

// convertAll converts each item of a list. It returns nil for an empty list.
func convertAll[From, To any](from []From, convertItem func(From) To) []To {
	if len(from) == 0 {
		return nil
	}
	return lo.Map(from, func(item From, _ int) To { return convertItem(item) })
}

func convertRoute(route *fleetconfigpb.Route) fleetwire.Route {
	return fleetwire.Route{
		Name:            route.GetName(),
		Hostname:        route.GetHostname(),
		PathPrefix:      route.GetPathPrefix(),
		RouteType:       route.GetRouteType(),
		TimeoutMs:       ceilMs(route.GetTimeoutMs()),
		TargetLatencyMs: ceilMs(route.GetTargetLatencyMs()),
		Priority:        int(route.GetPriority()),
		Split:           convertSplit(route),
		MaxAttempts:     int(route.GetMaxAttempts()),
		Sticky:          route.GetSticky(),
		Resumable:       route.GetResumable(),
		GapAimMs:        ceilMs(route.GetGapAimMs()),
	}
}

// convertSplit returns the weighted targets of a route. A traffic split takes precedence over a single service. Targets of
// weight 0 are omitted, because they get no requests.
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

// fractionScale is the sum to which fractional weights are scaled before they are rounded to integers.
const fractionScale = 1e6

// weightScale returns the factor by which the weights are multiplied: 1 if all are integers, and otherwise the factor that
// scales their sum to fractionScale.
func weightScale(split []*fleetconfigpb.WeightedService) float64 {
	sum, integers := 0.0, true
	for _, target := range split {
		weight := target.GetWeight()
		sum += weight
		integers = integers && weight == math.Trunc(weight)
	}
	if integers && sum <= math.MaxInt32 {
		return 1
	}
	return fractionScale / sum
}

// lastOfEachName returns the services without those that a later one of the same name replaces. The protocol allows them, and
// all programs must read the same one.
func lastOfEachName(services []*fleetconfigpb.Service) []*fleetconfigpb.Service {
	last := make(map[string]int, len(services))
	for i, service := range services {
		last[service.GetName()] = i
	}
	return lo.Filter(services, func(service *fleetconfigpb.Service, i int) bool { return last[service.GetName()] == i })
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
		HeaderTimeoutMs: ceilMs(limits.GetHeaderTimeoutMs()),
		IdleTimeoutMs:   ceilMs(limits.GetIdleTimeoutMs()),
	}
}

// ceilMs rounds up to integer milliseconds, so that a time above 0 stays above 0. It caps times at one day, which is
// practically unlimited.
func ceilMs(value float64) int64 {
	const dayMs = 86_400_000
	if !(value > 0) {
		return 0
	}
	return int64(math.Ceil(min(value, dayMs)))
}
