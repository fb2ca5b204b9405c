package watch

import (
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"weldscale/internal/fleetwire"
)

const (
	// maxSteps bounds the steps that a list keeps. At the pace of the platform's reader it is several seconds of changes: a
	// watcher that was away longer gets the whole list.
	maxSteps = 16
	// stepsShare is the part of the whole list from which steps save too little to be sent.
	stepsShare = 0.5
)

// ErrSteps means that steps don't lead from a list to the one that they name.
var ErrSteps = eris.New("the steps don't fit the list")

// packedList is a list of instances as it is passed on: a whole list, and the steps that lead from it to newer ones. It is
// immutable. A relay needs no decoded list: it adds the steps that it was given and makes the whole list when one is asked for.
type packedList struct {
	version     fleetwire.ListVersion
	base        fleetwire.Packed // the whole list at baseVersion
	baseVersion fleetwire.ListVersion
	steps       []fleetwire.ListStep             // the last ones; with base they lead to version
	whole       func() (fleetwire.Packed, error) // the whole list at version, made once
}

func newPackedList(version fleetwire.ListVersion, whole fleetwire.Packed) *packedList {
	return &packedList{
		version:     version,
		base:        whole,
		baseVersion: version,
		whole:       func() (fleetwire.Packed, error) { return whole, nil },
	}
}

// past returns the version after one more step and nothing else, for a watcher that passes no list on.
func (l *packedList) past(step fleetwire.ListStep) (*packedList, error) {
	if step.From != l.version || !step.From.Less(step.To) {
		return nil, eris.Wrap(ErrSteps, "not the next step")
	}
	return &packedList{version: step.To}, nil
}

// with returns the list with one more step.
func (l *packedList) with(step fleetwire.ListStep) (*packedList, error) {
	if _, err := l.past(step); err != nil {
		return nil, err
	}
	next := &packedList{version: step.To, base: l.base, baseVersion: l.baseVersion}
	kept := l.steps
	if len(kept) == maxSteps {
		if kept[0].From == l.baseVersion {
			whole, err := l.whole()
			if err != nil {
				return nil, err
			}
			next.base, next.baseVersion = whole, l.version
		}
		kept = kept[1:]
	}
	next.steps = append(slices.Clone(kept), step)
	next.whole = sync.OnceValues(next.makeWhole)
	return next, nil
}

// makeWhole leads the base to the version.
func (l *packedList) makeWhole() (fleetwire.Packed, error) {
	var list []fleetwire.Instance
	if err := unpack(l.base, &list); err != nil {
		return nil, err
	}
	steps := l.since(l.baseVersion)
	list, _, err := applySteps(list, digestOf(list), steps)
	if err != nil {
		return nil, err
	}
	return pack(list)
}

// since returns the steps from a version to the newest, or nothing if they aren't known.
func (l *packedList) since(have fleetwire.ListVersion) []fleetwire.ListStep {
	first := slices.IndexFunc(l.steps, func(step fleetwire.ListStep) bool { return step.From == have })
	if first < 0 {
		return nil
	}
	return l.steps[first:]
}

// shortSince returns the steps from a version to the newest if they are known and much smaller than the whole list.
func (l *packedList) shortSince(have fleetwire.ListVersion) []fleetwire.ListStep {
	steps := l.since(have)
	size := 0
	for _, step := range steps {
		size += len(step.Body)
	}
	if float64(size) > stepsShare*float64(len(l.base)) {
		return nil
	}
	return steps
}
