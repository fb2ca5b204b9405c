package watch

import (
	"hash/fnv"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"weldscale/internal/fleetwire"
)

// sortedByID reports whether a list is sorted by ID without duplicates. Steps are only computed between such lists.
func sortedByID(list []fleetwire.Instance) bool {
	for i := 1; i < len(list); i++ {
		if list[i-1].ID >= list[i].ID {
			return false
		}
	}
	return true
}

// diffLists returns the delta from one list to another. Both must be sorted by ID without duplicates.
func diffLists(from, to []fleetwire.Instance) fleetwire.ListDelta {
	var delta fleetwire.ListDelta
	for len(from) > 0 || len(to) > 0 {
		switch {
		case len(to) == 0 || len(from) > 0 && from[0].ID < to[0].ID:
			delta.Removed = append(delta.Removed, from[0].ID)
			from = from[1:]
		case len(from) == 0 || to[0].ID < from[0].ID:
			delta.Put = append(delta.Put, to[0])
			to = to[1:]
		default:
			if !equalInstances(&from[0], &to[0]) {
				delta.Put = append(delta.Put, to[0])
			}
			from, to = from[1:], to[1:]
		}
	}
	return delta
}

// equalInstances reports whether two instances are equal in all fields.
func equalInstances(a, b *fleetwire.Instance) bool {
	return a.ID == b.ID && a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Version == b.Version &&
		a.Slots == b.Slots && a.State == b.State && a.ColdRemainingMs == b.ColdRemainingMs && a.Stage == b.Stage &&
		slices.Equal(a.Models, b.Models)
}

// applyDelta applies a delta to a list with the given digest and returns the new list and its digest. It fails with
// ErrStepMismatch if the delta is not sorted by ID or removes an instance that is not in the list.
func applyDelta(list []fleetwire.Instance, digest uint64, delta fleetwire.ListDelta) ([]fleetwire.Instance, uint64, error) {
	next := make([]fleetwire.Instance, 0, max(0, len(list)+len(delta.Put)-len(delta.Removed)))
	if !sortedByID(delta.Put) || !slices.IsSorted(delta.Removed) {
		return nil, 0, eris.Wrap(ErrStepMismatch, "the delta is not sorted by ID")
	}
	put, removed := delta.Put, delta.Removed
	for i := range list {
		entry := &list[i]
		for len(put) > 0 && put[0].ID < entry.ID {
			next, digest = append(next, put[0]), digest+instanceDigest(&put[0])
			put = put[1:]
		}
		switch {
		case len(removed) > 0 && removed[0] == entry.ID:
			digest -= instanceDigest(entry)
			removed = removed[1:]
		case len(put) > 0 && put[0].ID == entry.ID:
			next, digest = append(next, put[0]), digest-instanceDigest(entry)+instanceDigest(&put[0])
			put = put[1:]
		default:
			next = append(next, *entry)
		}
	}
	for i := range put {
		next, digest = append(next, put[i]), digest+instanceDigest(&put[i])
	}
	if len(removed) > 0 {
		return nil, 0, eris.Wrap(ErrStepMismatch, "a removed instance is not in the list")
	}
	return next, digest, nil
}

// applySteps applies steps in order to a list with the given digest and returns the new list and its digest. It fails with
// ErrStepMismatch if the digest after a step differs from the one in the step.
func applySteps(list []fleetwire.Instance, digest uint64, steps []fleetwire.ListStep) ([]fleetwire.Instance, uint64, error) {
	for _, step := range steps {
		var delta fleetwire.ListDelta
		if err := unpack(step.Body, &delta); err != nil {
			return nil, 0, err
		}
		var err error
		if list, digest, err = applyDelta(list, digest, delta); err != nil {
			return nil, 0, err
		}
		if digest != step.Digest {
			return nil, 0, eris.Wrap(ErrStepMismatch, "the digest after the step differs")
		}
	}
	return list, digest, nil
}

// listDigest returns the sum of the digests of all instances. The digest can be updated for a changed instance without hashing
// the others.
func listDigest(list []fleetwire.Instance) uint64 {
	var sum uint64
	for i := range list {
		sum += instanceDigest(&list[i])
	}
	return sum
}

// instanceDigest returns the FNV-1a hash of the encoded instance.
func instanceDigest(instance *fleetwire.Instance) uint64 {
	sum := fnv.New64a()
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(sum)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(instance); err != nil {
		return 0 // unreachable: writes to the hash do not fail, and every Instance can be encoded
	}
	return sum.Sum64()
}

// newStep returns the step from the current list to a newer one, and the new list as subscribers will hold it. Both lists must
// be sorted by ID without duplicates.
func newStep(from *state, version fleetwire.ListVersion, list []fleetwire.Instance) (fleetwire.ListStep, []fleetwire.Instance, error) {
	delta := diffLists(from.snapshot.Instances, list)
	next, digest, err := applyDelta(from.snapshot.Instances, from.digest, delta)
	if err != nil {
		return fleetwire.ListStep{}, nil, err
	}
	body, err := pack(&delta)
	if err != nil {
		return fleetwire.ListStep{}, nil, err
	}
	return fleetwire.ListStep{From: from.snapshot.Version.Instances, To: version, Digest: digest, Body: body}, next, nil
}
