package controller

import (
	"github.com/rotisserie/eris"

	"weldscale/coordination/lease"
)

// Verdicts on a change that is not taken. They hold for the state that was looked at.
var (
	errAlreadyApplied      = eris.New("exactly this change was taken before")
	errBaseMismatch        = eris.New("another version is current")
	errVersionNotIncreased = eris.New("the version is not above the current one")
	errTokenMismatch       = eris.New("the role has another token")
)

// change is a configuration that the operator wants, checked as far as it can be by itself.
type change struct {
	Base    int64
	Version int64
	Body    []byte
	Digest  digest
}

func newChange(base, version int64, body []byte) change {
	return change{Base: base, Version: version, Body: body, Digest: digestOf(base, body)}
}

// applyChange decides what a change does to a state: it returns the state after it, or one of the verdicts.
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

// applyClaim decides what the claim of a role does to a state. The same claim made again is taken to be done.
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
