package controller

import (
	"github.com/rotisserie/eris"

	"weldscale/coordination/lease"
)

// Verdicts on a change that is not taken. They hold for the state that was looked at.
var (
	errAlreadyTaken = eris.New("exactly this change was taken before")
	errOtherBase    = eris.New("another version is current")
	errNotAbove     = eris.New("the version is not above the current one")
	errRoleMoved    = eris.New("the role has another token")
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
func applyChange(state controlState, wanted change) (controlState, error) {
	switch {
	case state.taken(wanted.Digest):
		return state, errAlreadyTaken
	case wanted.Base != state.Version:
		return state, errOtherBase
	case wanted.Version <= state.Version:
		return state, errNotAbove
	}
	state.Digests = state.withDigest(wanted.Digest)
	state.Changes++
	state.Version = wanted.Version
	state.Config = wanted.Body
	return state, nil
}

// applyClaim decides what the claim of a role does to a state. The same claim made again is taken to be done.
func applyClaim(state controlState, claim lease.Claim, claimant lease.Member) (controlState, error) {
	record := state.Roles[claim.Key]
	if record.Holder == claimant && record.Token > claim.Previous {
		return state, errAlreadyTaken
	}
	if record.Token != claim.Previous {
		return state, errRoleMoved
	}
	return state.withRole(claim.Key, lease.Record{Holder: claimant, Token: claim.Previous + 1}), nil
}
