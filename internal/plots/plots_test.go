package plots

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"gonum.org/v1/plot/plotter"
)

// A plot becomes one picture, and names that are markup stay text.
func TestRender(t *testing.T) {
	p := New("<b>title", "x", "y")
	require.NoError(t, Line(p, "<i>line", plotter.XYs{{X: 1, Y: 2}, {X: 2, Y: 3}}, Color(0)))
	require.NoError(t, Points(p, plotter.XYs{{X: 1, Y: 2}}, Color(7)))
	picture, err := Render(p)
	require.NoError(t, err)
	assert.True(t, strings.HasPrefix(string(picture), "<svg"))
	assert.NotContains(t, string(picture), "<b>")
	assert.NotContains(t, string(picture), "<i>")
}

// Lines and points without any point leave the plot as it is.
func TestNothingToDraw(t *testing.T) {
	p := New("", "", "")
	require.NoError(t, Line(p, "none", nil, Color(0)))
	require.NoError(t, Points(p, nil, Color(0)))
	_, err := Render(p)
	require.NoError(t, err)
}
