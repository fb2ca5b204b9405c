package controller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"weldscale/internal/fleetwire"
)

func TestAMissedListIsHandedOverOnce(t *testing.T) {
	h := newHints()
	first, second := fleetwire.ListVersion{Token: 1, Sequence: 1}, fleetwire.ListVersion{Token: 1, Sequence: 2}
	h.missed("a", first)
	h.missed("a", second)
	require.False(t, h.take("b", fleetwire.ListVersion{}))
	require.True(t, h.take("a", first))
	require.False(t, h.take("a", first))
	h.missed("a", second)
	require.False(t, h.take("a", second), "it has got it in another way")
	require.False(t, h.take("a", first))
}
