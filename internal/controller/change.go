package controller

import (
	"github.com/rotisserie/eris"

	"weldscale/coordination/lease"
)

// Reasons why a change or a claim is not applied: it was applied before, or it is rejected. Each holds for the state that was
// examined.
var (
	errAlreadyApplied      = eris.New("the same change was already applied")
	errBaseMismatch        = eris.New("another version is current")
	errVersionNotIncreased = eris.New("the version is not above the current one")
	errTokenMismatch       = eris.New("the token of the role differs from the expected one")
)

// change is a configuration sent by the operator. Its body was validated, but not yet compared with the current state.
type change struct {
	Base    int64
	Version int64
	Body    []byte
	Digest  digest
}

func newChange(base, version int64, body []byte) change {
	return change{Base: base, Version: version, Body: body, Digest: digestOf(base, body)}
}

// applyChange returns the state after a change, or the unchanged state and the reason why the change is not applied.
func applyChange(state controlState, requested change) (controlState, error) {
	switch {
	case state.hasChange(requested.Digest):
		return state, errAlreadyApplied
	case requested.Base != state.Version:
		return state, errBaseMismatch
	case requested.Version <= state.Version:
		return state, errVersionNotIncreased
	}
	state.Digests = state.withDigest(requested.Digest)
	state.Changes++
	state.Version = requested.Version
	state.Config = requested.Body
	return state, nil
}

// applyClaim returns the state after a member has claimed a role. A repeated claim returns errAlreadyApplied, since the member
// has the role by the first one.
func applyClaim(state controlState, claim lease.Claim, claimant lease.Member) (controlState, error) {
	record := state.Roles[claim.Key]
	if record.Holder == claimant && record.Token > claim.Previous {
		return state, errAlreadyApplied
	}
	if record.Token != claim.Previous {
		return state, errTokenMismatch
	}
	return state.withRole(claim.Key, lease.Record{Holder: claimant, Token: claim.Previous + 1}), nil
}
