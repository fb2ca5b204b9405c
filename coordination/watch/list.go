package watch

import (
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"weldscale/internal/fleetwire"
)

const (
	// maxKeptSteps bounds the steps that are kept with a list. At the rate at which the platform is read, they cover several
	// seconds of changes. A subscriber that was disconnected for longer receives the full list.
	maxKeptSteps = 16
	// maxStepsRatio is the size of steps, relative to the full list, above which the full list is sent instead.
	maxStepsRatio = 0.5
)

// ErrStepMismatch reports that steps cannot be applied to the current list or do not produce the list that they announce.
var ErrStepMismatch = eris.New("the steps do not match the list")

// packedList is an encoded list of instances: a full list at a base version, and the steps from it to newer versions. It is
// immutable. A relay needs no decoded list: it appends the steps that it receives, and builds the full list on demand.
type packedList struct {
	version     fleetwire.ListVersion
	base        fleetwire.Packed // the full list at baseVersion
	baseVersion fleetwire.ListVersion
	steps       []fleetwire.ListStep             // the most recent ones; they include all from baseVersion to version
	full        func() (fleetwire.Packed, error) // returns the full list at version, built once
}

// newPackedList returns a packed list without steps.
func newPackedList(version fleetwire.ListVersion, full fleetwire.Packed) *packedList {
	return &packedList{
		version:     version,
		base:        full,
		baseVersion: version,
		full:        func() (fleetwire.Packed, error) { return full, nil },
	}
}

// advanceVersion returns a packed list with the version after the step and no content, for a follower without a relay. It fails
// with ErrStepMismatch if the step does not lead from the current version to a newer one.
func (l *packedList) advanceVersion(step fleetwire.ListStep) (*packedList, error) {
	if step.From != l.version || !step.From.Less(step.To) {
		return nil, eris.Wrap(ErrStepMismatch, "the step does not lead from the current version to a newer one")
	}
	return &packedList{version: step.To}, nil
}

// withStep returns the list with one more step. If maxKeptSteps are kept already, it drops the oldest one. If the oldest one
// starts at the base, the full list at the current version becomes the new base.
func (l *packedList) withStep(step fleetwire.ListStep) (*packedList, error) {
	if _, err := l.advanceVersion(step); err != nil {
		return nil, err
	}
	next := &packedList{version: step.To, base: l.base, baseVersion: l.baseVersion}
	kept := l.steps
	if len(kept) == maxKeptSteps {
		if kept[0].From == l.baseVersion {
			full, err := l.full()
			if err != nil {
				return nil, err
			}
			next.base, next.baseVersion = full, l.version
		}
		kept = kept[1:]
	}
	next.steps = append(slices.Clone(kept), step)
	next.full = sync.OnceValues(next.buildFull)
	return next, nil
}

// buildFull returns the full list at the newest version, by applying the steps to the base.
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

// stepsSince returns the steps from a version to the newest one, or nil if they are not kept.
func (l *packedList) stepsSince(have fleetwire.ListVersion) []fleetwire.ListStep {
	first := slices.IndexFunc(l.steps, func(step fleetwire.ListStep) bool { return step.From == have })
	if first < 0 {
		return nil
	}
	return l.steps[first:]
}

// smallStepsSince returns the steps from a version to the newest one if they are kept and much smaller than the full list, and
// nil otherwise.
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
