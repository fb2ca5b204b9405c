package stages

// Figures of Balance, each with its reason.
const (
	// usualShare of the workers of an engine read prompts. Reading is what requests wait for, while a worker that makes tokens
	// loses little by a larger batch.
	usualShare = 0.74
	leastShare = 0.30
	mostShare  = 0.80
	shareStep  = 0.06
	// largestStep bounds what one look may take from those that read: load swings, and each change costs seconds of a worker.
	largestStep = 0.12
	// A batch that fills more than busyDecode of a worker's slots makes long answers late; below idleDecode there is room.
	busyDecode = 0.45
	idleDecode = 0.30
	// fullDecode is so full that workers turn requests away: one look is enough, and the step goes by the load.
	fullDecode = 0.75
	// longQueue prompts that wait at a worker, on the mean, are more than bad luck.
	longQueue = 1.0
	// confirmations in a row are needed for a step, since reports are a moment old and load swings.
	confirmations = 2
)

// Load is the mean load of the workers of an engine, by stage.
type Load struct {
	PrefillQueued   float64 // prompts that wait at a worker
	DecodeOccupancy float64 // part of a worker's slots that are taken, what waits there included
}

// ShareAdjuster decides which share of an engine's workers reads prompts, by the load of both stages. It is pure.
type ShareAdjuster struct {
	share  float64
	wanted int // sign of the step that the last loads asked for
	times  int // in a row
}

// NewShareAdjuster returns a balance at the usual share.
func NewShareAdjuster() *ShareAdjuster { return &ShareAdjuster{share: usualShare} }

// Share is the share of the workers that is to read prompts.
func (b *ShareAdjuster) Share() float64 { return b.share }

// Observe takes in the load of a moment.
func (b *ShareAdjuster) Observe(load Load) {
	wanted := b.direction(load)
	if wanted != b.wanted {
		b.wanted, b.times = wanted, 0
	}
	b.times++
	if wanted == 0 || b.times < confirmations && load.DecodeOccupancy < fullDecode {
		return
	}
	b.times = 0
	step := float64(wanted) * shareStep
	if load.DecodeOccupancy >= fullDecode {
		step = -b.needed(load)
	}
	b.share = min(max(b.share+step, leastShare), mostShare)
}

// needed is the part of the workers that the making of tokens lacks to be no more than busy.
func (b *ShareAdjuster) needed(load Load) float64 {
	lacking := (1 - b.share) * (load.DecodeOccupancy/busyDecode - 1)
	return min(max(lacking, shareStep), largestStep)
}

// direction is 1 where more workers are to read prompts, -1 where more are to make tokens.
func (b *ShareAdjuster) direction(load Load) int {
	switch {
	case load.DecodeOccupancy > busyDecode:
		return -1
	case load.DecodeOccupancy < idleDecode && load.PrefillQueued > longQueue && b.share < mostShare:
		return 1
	case load.DecodeOccupancy < idleDecode && b.share < usualShare:
		return 1
	default:
		return 0
	}
}
