package controller

import (
	"encoding/binary"
	"testing"

	"github.com/stretchr/testify/require"

	"weldscale/coordination/lease"
)

func TestApplyChange(t *testing.T) {
	first := newChange(0, 3, []byte("first"))
	second := newChange(3, 7, []byte("second"))
	afterFirst, err := applyChange(controlState{}, first)
	require.NoError(t, err)
	afterSecond, err := applyChange(afterFirst, second)
	require.NoError(t, err)
	cases := map[string]struct {
		state  controlState
		change change
		want   error
	}{
		"first change":                    {controlState{}, first, nil},
		"base without a configuration":    {controlState{}, second, errBaseMismatch},
		"next change":                     {afterFirst, second, nil},
		"resent change":                   {afterFirst, first, errAlreadyApplied},
		"resent after a newer change":     {afterSecond, first, errAlreadyApplied},
		"same version with another body":  {afterFirst, newChange(0, 3, []byte("other")), errBaseMismatch},
		"same body on another base":       {afterFirst, newChange(3, 3, []byte("first")), errVersionNotIncreased},
		"base of an earlier change":       {afterSecond, newChange(3, 9, []byte("late")), errBaseMismatch},
		"same version as the current one": {afterSecond, newChange(7, 7, []byte("third")), errVersionNotIncreased},
		"version below the current one":   {afterSecond, newChange(7, 2, []byte("third")), errVersionNotIncreased},
		"version 0":                       {controlState{}, newChange(0, 0, []byte("zero")), errVersionNotIncreased},
		"base above the current version":  {afterFirst, newChange(7, 9, []byte("early")), errBaseMismatch},
		"resent with an extra byte":       {afterSecond, newChange(0, 3, []byte("first ")), errBaseMismatch},
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			next, err := applyChange(each.state, each.change)
			if each.want != nil {
				require.ErrorIs(t, err, each.want)
				require.Equal(t, each.state, next)
				return
			}
			require.NoError(t, err)
			require.Equal(t, each.change.Version, next.Version)
			require.Equal(t, each.change.Body, next.Config)
			require.Equal(t, each.state.Changes+1, next.Changes)
			require.True(t, next.hasChange(each.change.Digest))
		})
	}
}

func TestStateKeepsNewestDigests(t *testing.T) {
	var state controlState
	body := func(version int64) []byte { return binary.BigEndian.AppendUint64(nil, uint64(version)) }
	const count = maxDigests + 10
	for version := range int64(count) {
		next, err := applyChange(state, newChange(version, version+1, body(version)))
		require.NoError(t, err)
		state = next
	}
	require.Len(t, state.Digests, maxDigests*digestBytes)
	require.False(t, state.hasChange(digestOf(0, body(0))))
	require.True(t, state.hasChange(digestOf(10, body(10))))
	require.True(t, state.hasChange(digestOf(count-1, body(count-1))))
}

func TestStateEncodingRoundTrip(t *testing.T) {
	state, err := applyChange(controlState{}, newChange(0, 3, []byte(`{"Version":3}`)))
	require.NoError(t, err)
	state = state.withRole(roleReader, lease.Record{Holder: lease.Member{Address: "a", Life: "1"}, Token: 4})
	data, err := state.encode()
	require.NoError(t, err)
	again, err := state.encode()
	require.NoError(t, err)
	require.Equal(t, data, again)
	decoded, err := decodeState(data)
	require.NoError(t, err)
	require.Equal(t, state, decoded)
	_, err = decodeState([]byte{0xc1})
	require.Error(t, err)
	none, err := decodeState(nil)
	require.NoError(t, err)
	require.Equal(t, controlState{}, none)
}

func TestApplyClaim(t *testing.T) {
	member := lease.Member{Address: "a", Life: "1"}
	other := lease.Member{Address: "b", Life: "1"}
	claim := lease.Claim{Key: roleReader, Previous: 0}
	taken, err := applyClaim(controlState{}, claim, member)
	require.NoError(t, err)
	require.Equal(t, lease.Record{Holder: member, Token: 1}, taken.Roles[roleReader])
	_, err = applyClaim(taken, claim, member)
	require.ErrorIs(t, err, errAlreadyApplied)
	_, err = applyClaim(taken, claim, other)
	require.ErrorIs(t, err, errTokenMismatch)
	next, err := applyClaim(taken, lease.Claim{Key: roleReader, Previous: 1}, other)
	require.NoError(t, err)
	require.Equal(t, lease.Record{Holder: other, Token: 2}, next.Roles[roleReader])
	require.Equal(t, uint64(1), taken.Roles[roleReader].Token, "the previous state must not change")
}
