package placement

import (
	"math/rand/v2"

	"github.com/samber/lo"

	"weldscale/decide"
	"weldscale/internal/fleetwire"
)

// The dispatcher compares workers by free slots. A slot of a prefill worker stands for unitTokens that are yet to be read there:
// it reads prompts one after the other, so that a short one waits behind a long one as long as that takes.

const (
	// heldPrefixWeight is what a held prefix counts in the choice of a prefill worker, in times of the reading that it saves: that
	// reading also takes the place of others', and has a price of its own.
	heldPrefixWeight = 4.0
	// nearShare is how much fuller than a far one a decode worker near the prompt's memory may be, in parts of its slots: the move
	// is shorter there and has half the price.
	nearShare = 1.0 / 16
	// Another worker than the holder is asked only where the probe may be worth its price: where the holder, with what it saves,
	// has more than this to do beyond an idle one, in units.
	worthAsking = 4.0
	// prefillCapacity is how many units may wait at a prefill worker, whatever number of requests it takes: about a second.
	prefillCapacity = 128.0
	// unreadShare of a prompt is yet to be read, on the mean, when one looks at a worker that reads it.
	unreadShare       = 0.5
	widestShare       = 4   // of a worker's capacity, one prompt takes at most that part: it must fit beside others
	decodeReadingCost = 2.0 // a decode worker reads at half the pace
	usualUnits        = 4.0 // of a prompt, until the first ones are seen
	learnRate         = 0.05
)

// capacity is what a worker has room for, in the slots of its stage.
func (p *pool) capacity() float64 {
	if p.settings.stage == fleetwire.StagePrefill {
		return prefillCapacity
	}
	return float64(p.slots)
}

// weigh sets what a job takes of a worker, and who holds part of its prompt already.
func (p *pool) weigh(job *Job, in *decide.Job) {
	switch p.settings.stage {
	case fleetwire.StagePrefill:
		p.weighReading(job, in, 1)
		in.Memory = float64(job.PromptTokens)
	case fleetwire.StageDecode:
		p.preferNear(job, in)
		if job.RunsPrefill {
			p.weighReading(job, in, decodeReadingCost)
		}
		in.Memory = float64(job.PromptTokens + job.OutputTokens)
	}
}

// preferNear lets a worker of the zone in which the prompt's memory lies join the draw, with the advantage that a shorter move
// is worth.
func (p *pool) preferNear(job *Job, in *decide.Job) {
	near := lo.Filter(p.ready, func(w fleetwire.Instance, _ int) bool { return w.Zone == job.PreferredZone })
	if len(near) == 0 {
		return
	}
	in.Holder = p.ids[near[rand.IntN(len(near))].ID]
	in.SavedSlots = float64(p.slots) * nearShare
	in.EnoughSlots = p.capacity()
}

// weighReading sets what the reading of a prompt takes where its shared prefix is held, and which worker holds it.
func (p *pool) weighReading(job *Job, in *decide.Job, cost float64) {
	prefix, tokens := sharedPrefix(job.PromptParts)
	own := max(0, job.PromptTokens-tokens)
	in.Slots = min(max(1, cost*units(own)), p.capacity()/widestShare)
	p.units += learnRate * (in.Slots - p.units)
	if holder := home(prefix, p.ready); holder != "" {
		in.Holder = p.ids[holder]
		in.SavedSlots = cost * units(tokens) * heldPrefixWeight
		in.EnoughSlots = p.capacity() - worthAsking
	}
}

// load turns a worker's report into the dispatcher's figures.
func (p *pool) load(report Report, err error) decide.Report {
	if err != nil {
		return decide.Report{}
	}
	if report.Busy || report.Stage != "" && report.Stage != p.settings.stage {
		return decide.Report{Has: decide.HasFreeSlots, FreeSlots: -1} // an order is under way: it takes nothing new
	}
	held := p.taken(report)
	load := decide.Report{Has: decide.HasFreeSlots | decide.HasInFlight, FreeSlots: p.capacity() - held, InFlight: held}
	if report.KvCapacity > 0 {
		load.Has |= decide.HasFreeMemory
		load.FreeMemory = float64(report.KvCapacity - report.KvUsed)
	}
	return load
}

// taken is how many slots of a worker's stage a report shows as taken.
func (p *pool) taken(report Report) float64 {
	switch p.settings.stage {
	case fleetwire.StagePrefill:
		return p.inReading(report)*unreadShare + float64(report.Queued)*p.units
	case fleetwire.StageDecode:
		return float64(report.Running) + float64(report.Queued)*p.units
	default:
		return float64(report.Running + report.Queued)
	}
}

// inReading is the size, in units, of the prompts that a prefill worker is reading. KvUsed holds these whole, and those that were
// read and are not taken yet; what waits has none of it. Where it isn't told, each counts like one that waits.
func (p *pool) inReading(report Report) float64 {
	if report.Running == 0 {
		return 0
	}
	if report.KvUsed == 0 {
		return float64(report.Running) * p.units / unreadShare
	}
	return units(int(report.KvUsed)) * float64(report.Running) / float64(report.Running+report.KvHandles)
}
