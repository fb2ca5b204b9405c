package stages

import (
	"context"
	"math/rand/v2"
	"sync"

	"weldscale/internal/fleetwire"
	"weldscale/internal/placement"
)

// surveySample bounds the workers of a stage that are asked at once: each report has a price, and a mean needs no more.
const surveySample = 8

// survey asks some workers of each stage for their load. It reports false where too few answered to tell.
func survey(ctx context.Context, prober placement.Prober, workers []fleetwire.Instance, slots int) (Load, bool) {
	prefill := askSome(ctx, prober, workers, fleetwire.StagePrefill)
	decode := askSome(ctx, prober, workers, fleetwire.StageDecode)
	if len(prefill) == 0 || len(decode) == 0 || slots <= 0 {
		return Load{}, false
	}
	var load Load
	for _, report := range prefill {
		load.PrefillQueued += float64(report.Queued) / float64(len(prefill))
	}
	for _, report := range decode {
		load.DecodeOccupancy += float64(report.Running+report.Queued) / float64(slots*len(decode))
	}
	return load, true
}

// askSome returns the reports of a random sample of the workers of a stage.
func askSome(ctx context.Context, prober placement.Prober, workers []fleetwire.Instance, stage string) []placement.Report {
	var asked []fleetwire.Instance
	for _, worker := range workers {
		if worker.Stage == stage && worker.State == fleetwire.InstanceReady {
			asked = append(asked, worker)
		}
	}
	rand.Shuffle(len(asked), func(i, j int) { asked[i], asked[j] = asked[j], asked[i] })
	asked = asked[:min(len(asked), surveySample)]
	var (
		mutex   sync.Mutex
		reports []placement.Report
		asking  sync.WaitGroup
	)
	for _, worker := range asked {
		asking.Go(func() {
			report, err := prober.Probe(ctx, worker)
			if err != nil || report.Busy {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			reports = append(reports, report)
		})
	}
	asking.Wait()
	return reports
}
