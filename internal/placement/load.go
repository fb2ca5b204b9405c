package placement

import (
	"math/rand/v2"

	"github.com/samber/lo"

	"weldscale/decide"
	"weldscale/internal/fleetwire"
)

// The dispatcher compares workers by free slots. A slot of a prefill worker stands for a unit of tokensPerUnit tokens that it
// has yet to process: it processes prompts one after the other, so a short prompt waits until the long ones ahead of it are
// done.

const (
	// cachedPrefixWeight multiplies the units that a cached prefix saves in the choice of a prefill worker. It is above 1 since
	// processing the prefix again also delays other prompts and has a cost of its own.
	cachedPrefixWeight = 4.0
	// nearZoneAdvantage is how much more load a decode worker in the zone of the prompt's KV cache may have than one in another
	// zone, as a fraction of its slots: the transfer within the zone is shorter and costs half.
	nearZoneAdvantage = 1.0 / 16
	// secondProbeThreshold is the load of the prefix holder above which a second worker is probed, in units and less what the
	// cached prefix saves. Below it, even an idle worker isn't better by more than the probe costs.
	secondProbeThreshold = 4.0
	// prefillCapacity is how many units may wait at a prefill worker, whatever its request slots: about one second of work.
	prefillCapacity = 128.0
	// meanUnprocessedShare is the mean share of a running prompt that is not processed yet at the time of a report.
	meanUnprocessedShare    = 0.5
	promptCapacityDivisor   = 4    // a prompt takes at most this part of a worker's capacity, so that it fits beside others
	decodePrefillCost       = 2.0  // a decode worker processes prompts at half the speed
	initialPromptUnits      = 4.0  // assumed mean units of a prompt before the first ones arrive
	promptUnitsLearningRate = 0.05 // weight of the newest prompt in the moving mean
)

// capacity returns the capacity of one worker, in the slots of its stage.
func (p *pool) capacity() float64 {
	if p.settings.stage == fleetwire.StagePrefill {
		return prefillCapacity
	}
	return float64(p.slotsPerWorker)
}

// setDemand sets the slots and memory that a job needs, and the worker that is preferred for it because of what it has cached.
func (p *pool) setDemand(job *Job, in *decide.Job) {
	switch p.settings.stage {
	case fleetwire.StagePrefill:
		p.setPrefillDemand(job, in, 1)
		in.Memory = float64(job.PromptTokens)
	case fleetwire.StageDecode:
		p.preferNearZone(job, in)
		if job.RunsPrefill {
			p.setPrefillDemand(job, in, decodePrefillCost)
		}
		in.Memory = float64(job.PromptTokens + job.OutputTokens)
	}
}

// preferNearZone adds a random worker of the zone that holds the prompt's KV cache to the candidates, and credits it with the
// slots that the shorter transfer is worth.
func (p *pool) preferNearZone(job *Job, in *decide.Job) {
	near := lo.Filter(p.readyWorkers, func(w fleetwire.Instance, _ int) bool { return w.Zone == job.PreferredZone })
	if len(near) == 0 {
		return
	}
	in.Holder = p.workerIDs[near[rand.IntN(len(near))].ID]
	in.SavedSlots = float64(p.slotsPerWorker) * nearZoneAdvantage
	in.EnoughSlots = p.capacity()
}

// setPrefillDemand sets the slots that prefill takes on the holder of the prompt's shared prefix, and names this holder.
func (p *pool) setPrefillDemand(job *Job, in *decide.Job, cost float64) {
	prefix, tokens := sharedPrefix(job.PromptParts)
	ownTokens := max(0, job.PromptTokens-tokens)
	in.Slots = min(max(1, cost*prefillUnits(ownTokens)), p.capacity()/promptCapacityDivisor)
	p.meanPromptUnits += promptUnitsLearningRate * (in.Slots - p.meanPromptUnits)
	if holder := prefixHolder(prefix, p.readyWorkers); holder != "" {
		in.Holder = p.workerIDs[holder]
		in.SavedSlots = cost * prefillUnits(tokens) * cachedPrefixWeight
		in.EnoughSlots = p.capacity() - secondProbeThreshold
	}
}

// dispatchReport converts a worker's load report to the dispatcher's form. A failed probe gives a report without figures.
func (p *pool) dispatchReport(report Report, err error) decide.Report {
	if err != nil {
		return decide.Report{}
	}
	if report.Busy || report.Stage != "" && report.Stage != p.settings.stage {
		return decide.Report{Has: decide.HasFreeSlots, FreeSlots: -1} // it executes an order or changed its stage: no new work
	}
	used := p.usedSlots(report)
	load := decide.Report{Has: decide.HasFreeSlots | decide.HasInFlight, FreeSlots: p.capacity() - used, InFlight: used}
	if report.KvCapacity > 0 {
		load.Has |= decide.HasFreeMemory
		load.FreeMemory = float64(report.KvCapacity - report.KvUsed)
	}
	return load
}

// usedSlots returns how many slots are in use according to a report, in the slots of the worker's stage.
func (p *pool) usedSlots(report Report) float64 {
	switch p.settings.stage {
	case fleetwire.StagePrefill:
		return p.unitsInPrefill(report)*meanUnprocessedShare + float64(report.Queued)*p.meanPromptUnits
	case fleetwire.StageDecode:
		return float64(report.Running) + float64(report.Queued)*p.meanPromptUnits
	default:
		return float64(report.Running + report.Queued)
	}
}

// unitsInPrefill returns the size of the prompts that a prefill worker is processing, in units. KvUsed includes these prompts
// whole and the processed ones that no decode worker has fetched yet; queued prompts use no memory. If KvUsed is missing, each
// running prompt counts as much as a queued one.
func (p *pool) unitsInPrefill(report Report) float64 {
	if report.Running == 0 {
		return 0
	}
	if report.KvUsed == 0 {
		return float64(report.Running) * p.meanPromptUnits / meanUnprocessedShare
	}
	return prefillUnits(int(report.KvUsed)) * float64(report.Running) / float64(report.Running+report.KvHandles)
}
