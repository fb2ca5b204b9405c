package watch

import (
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"weldscale/internal/fleetwire"
)

const (
	// maxKeptSteps bounds the steps that a list keeps. At the pace of the platform's reader it is several seconds of changes: a
	// watcher that was away longer gets the whole list.
	maxKeptSteps = 16
	// maxStepsRatio is the part of the whole list from which steps save too little to be sent.
	maxStepsRatio = 0.5
)

// ErrStepMismatch means that steps don't lead from a list to the one that they name.
var ErrStepMismatch = eris.New("the steps don't fit the list")

// packedList is a list of instances as it is passed on: a whole list, and the steps that lead from it to newer ones. It is
// immutable. A relay needs no decoded list: it adds the steps that it was given and makes the whole list when one is asked for.
type packedList struct {
	version     fleetwire.ListVersion
	base        fleetwire.Packed // the whole list at baseVersion
	baseVersion fleetwire.ListVersion
	steps       []fleetwire.ListStep             // the last ones; with base they lead to version
	full        func() (fleetwire.Packed, error) // the whole list at version, made once
}

func newPackedList(version fleetwire.ListVersion, whole fleetwire.Packed) *packedList {
	return &packedList{
		version:     version,
		base:        whole,
		baseVersion: version,
		full:        func() (fleetwire.Packed, error) { return whole, nil },
	}
}

// advanceVersion returns the version after one more step and nothing else, for a watcher that passes no list on.
func (l *packedList) advanceVersion(step fleetwire.ListStep) (*packedList, error) {
	if step.From != l.version || !step.From.Less(step.To) {
		return nil, eris.Wrap(ErrStepMismatch, "not the next step")
	}
	return &packedList{version: step.To}, nil
}

// withStep returns the list withStep one more step.
func (l *packedList) withStep(step fleetwire.ListStep) (*packedList, error) {
	if _, err := l.advanceVersion(step); err != nil {
		return nil, err
	}
	next := &packedList{version: step.To, base: l.base, baseVersion: l.baseVersion}
	kept := l.steps
	if len(kept) == maxKeptSteps {
		if kept[0].From == l.baseVersion {
			whole, err := l.full()
			if err != nil {
				return nil, err
			}
			next.base, next.baseVersion = whole, l.version
		}
		kept = kept[1:]
	}
	next.steps = append(slices.Clone(kept), step)
	next.full = sync.OnceValues(next.buildFull)
	return next, nil
}

// buildFull leads the base to the version.
func (l *packedList) buildFull() (fleetwire.Packed, error) {
	var list []fleetwire.Instance
	if err := unpack(l.base, &list); err != nil {
		return nil, err
	}
	steps := l.stepsSince(l.baseVersion)
	list, _, err := applySteps(list, listDigest(list), steps)
	if err != nil {
		return nil, err
	}
	return pack(list)
}

// stepsSince returns the steps from a version to the newest, or nothing if they aren't known.
func (l *packedList) stepsSince(have fleetwire.ListVersion) []fleetwire.ListStep {
	first := slices.IndexFunc(l.steps, func(step fleetwire.ListStep) bool { return step.From == have })
	if first < 0 {
		return nil
	}
	return l.steps[first:]
}

// smallStepsSince returns the steps from a version to the newest if they are known and much smaller than the whole list.
func (l *packedList) smallStepsSince(have fleetwire.ListVersion) []fleetwire.ListStep {
	steps := l.stepsSince(have)
	size := 0
	for _, step := range steps {
		size += len(step.Body)
	}
	if float64(size) > maxStepsRatio*float64(len(l.base)) {
		return nil
	}
	return steps
}
