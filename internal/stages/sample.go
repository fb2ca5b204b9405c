package stages

import (
	"context"
	"math/rand/v2"
	"sync"

	"weldscale/internal/fleetwire"
	"weldscale/internal/placement"
)

// maxSampledWorkers limits how many workers of a stage are probed for one sample: each probe has a cost, and a mean needs no
// more.
const maxSampledWorkers = 8

// sampleLoad probes some workers of each stage and returns their mean load. It returns false if a stage has no report, or if
// slots is not positive.
func sampleLoad(ctx context.Context, prober placement.Prober, workers []fleetwire.Instance, slots int) (Load, bool) {
	prefill := sampleReports(ctx, prober, workers, fleetwire.StagePrefill)
	decode := sampleReports(ctx, prober, workers, fleetwire.StageDecode)
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

// sampleReports probes a random sample of the ready workers of a stage. It leaves out failed probes and workers that execute an
// order.
func sampleReports(ctx context.Context, prober placement.Prober, workers []fleetwire.Instance, stage string) []placement.Report {
	var sample []fleetwire.Instance
	for _, worker := range workers {
		if worker.Stage == stage && worker.State == fleetwire.InstanceReady {
			sample = append(sample, worker)
		}
	}
	rand.Shuffle(len(sample), func(i, j int) { sample[i], sample[j] = sample[j], sample[i] })
	sample = sample[:min(len(sample), maxSampledWorkers)]
	var (
		mutex   sync.Mutex
		reports []placement.Report
		probes  sync.WaitGroup
	)
	for _, worker := range sample {
		probes.Go(func() {
			report, err := prober.Probe(ctx, worker)
			if err != nil || report.Busy {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			reports = append(reports, report)
		})
	}
	probes.Wait()
	return reports
}
