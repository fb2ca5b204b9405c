package plots

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"gonum.org/v1/plot/plotter"
)

// Render returns an svg element and escapes markup in titles and line names.
func TestRender(t *testing.T) {
	p := New("<b>title", "x", "y")
	require.NoError(t, Line(p, "<i>line", plotter.XYs{{X: 1, Y: 2}, {X: 2, Y: 3}}, Color(0)))
	require.NoError(t, Points(p, plotter.XYs{{X: 1, Y: 2}}, Color(7)))
	svg, err := Render(p)
	require.NoError(t, err)
	assert.True(t, strings.HasPrefix(string(svg), "<svg"))
	assert.NotContains(t, string(svg), "<b>")
	assert.NotContains(t, string(svg), "<i>")
}

// Line and Points without data add nothing, and the empty plot can still be rendered.
func TestRenderEmptyPlot(t *testing.T) {
	p := New("", "", "")
	require.NoError(t, Line(p, "none", nil, Color(0)))
	require.NoError(t, Points(p, nil, Color(0)))
	_, err := Render(p)
	require.NoError(t, err)
}
