package stages

// Parameters of ShareAdjuster.
const (
	// defaultPrefillShare is the share of prefill workers at the start and under usual load. It is high because requests wait for
	// prefill, while a decode worker slows down little with a larger batch.
	defaultPrefillShare = 0.74
	minPrefillShare     = 0.30
	maxPrefillShare     = 0.80
	shareStep           = 0.06
	// maxShareDecrease limits how much one observation may lower the share, since load fluctuates and each change of stage takes
	// a worker out of service for seconds.
	maxShareDecrease = 0.12
	// Above busyDecodeOccupancy, long answers become late because of the batch size. Below idleDecodeOccupancy, decode has spare
	// slots.
	busyDecodeOccupancy = 0.45
	idleDecodeOccupancy = 0.30
	// From fullDecodeOccupancy on, workers reject requests. One observation then is enough for a step, and the load determines
	// its size.
	fullDecodeOccupancy = 0.75
	// longPrefillQueue is the mean number of queued prompts per worker above which a queue is not due to chance.
	longPrefillQueue = 1.0
	// requiredConfirmations is how many observations in a row must agree on a step, since reports are delayed and load
	// fluctuates.
	requiredConfirmations = 2
)

// Load is the mean load of the workers of an engine, by stage.
type Load struct {
	PrefillQueued   float64 // queued prompts per worker
	DecodeOccupancy float64 // running and queued jobs as a fraction of a worker's slots
}

// ShareAdjuster adjusts the share of an engine's workers that run prefill to the load of both stages. It uses no clock and no
// I/O, and is not safe for concurrent use.
type ShareAdjuster struct {
	share         float64
	lastDirection int // of the last observation: see direction
	consecutive   int // observations in a row with this direction
}

// NewShareAdjuster returns an adjuster at the default share.
func NewShareAdjuster() *ShareAdjuster { return &ShareAdjuster{share: defaultPrefillShare} }

// Share returns the share of the workers that should run prefill.
func (a *ShareAdjuster) Share() float64 { return a.share }

// Observe adjusts the share to the current load.
func (a *ShareAdjuster) Observe(load Load) {
	direction := a.direction(load)
	if direction != a.lastDirection {
		a.lastDirection, a.consecutive = direction, 0
	}
	a.consecutive++
	if direction == 0 || a.consecutive < requiredConfirmations && load.DecodeOccupancy < fullDecodeOccupancy {
		return
	}
	a.consecutive = 0
	step := float64(direction) * shareStep
	if load.DecodeOccupancy >= fullDecodeOccupancy {
		step = -a.decodeDeficit(load)
	}
	a.share = min(max(a.share+step, minPrefillShare), maxPrefillShare)
}

// decodeDeficit returns the share of the workers that decode needs in addition to get down to busyDecodeOccupancy, but at least
// shareStep and at most maxShareDecrease.
func (a *ShareAdjuster) decodeDeficit(load Load) float64 {
	deficit := (1 - a.share) * (load.DecodeOccupancy/busyDecodeOccupancy - 1)
	return min(max(deficit, shareStep), maxShareDecrease)
}

// direction returns 1 if more workers should run prefill, -1 if more should run decode, and 0 if the share should stay.
func (a *ShareAdjuster) direction(load Load) int {
	switch {
	case load.DecodeOccupancy > busyDecodeOccupancy:
		return -1
	case load.DecodeOccupancy < idleDecodeOccupancy && load.PrefillQueued > longPrefillQueue && a.share < maxPrefillShare:
		return 1
	case load.DecodeOccupancy < idleDecodeOccupancy && a.share < defaultPrefillShare:
		return 1
	default:
		return 0
	}
}
