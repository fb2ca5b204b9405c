package controller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"weldscale/internal/fleetwire"
)

func TestMissedListIsSentOnce(t *testing.T) {
	h := newHints()
	first, second := fleetwire.ListVersion{Token: 1, Sequence: 1}, fleetwire.ListVersion{Token: 1, Sequence: 2}
	h.add("a", first)
	h.add("a", second)
	require.False(t, h.takeMissed("b", fleetwire.ListVersion{}))
	require.True(t, h.takeMissed("a", first))
	require.False(t, h.takeMissed("a", first))
	h.add("a", second)
	require.False(t, h.takeMissed("a", second), "the controller already holds the list")
	require.False(t, h.takeMissed("a", first))
}
