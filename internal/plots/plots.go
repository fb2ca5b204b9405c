// Package plots draws the plots of the project's pages as pictures within a page, so that a page is one file that needs
// nothing else. Only programs that write reports use it: the plot library alone would cost a scheduler memory.
package plots

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// The size of a picture.
const (
	width  = 18 * vg.Centimeter
	height = 6.5 * vg.Centimeter
)

// palette holds the colours of the lines of one plot, in their order.
var palette = []color.Color{
	color.NRGBA{B: 160, A: 255}, color.NRGBA{R: 180, A: 255}, color.NRGBA{G: 130, A: 255},
	color.NRGBA{R: 150, G: 100, A: 255}, color.NRGBA{R: 120, B: 120, A: 255},
}

// Color returns the colour of the i-th line of a plot.
func Color(i int) color.Color { return palette[i%len(palette)] }

// New returns an empty plot whose vertical axis begins at 0.
func New(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Y.Min = 0
	p.Legend.Top = true
	return p
}

// Line adds a line to a plot, and to its legend unless the name is empty. A line without points adds nothing.
func Line(p *plot.Plot, name string, points plotter.XYs, c color.Color) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = c
	p.Add(line)
	if name != "" {
		p.Legend.Add(name, line)
	}
	return nil
}

// Points adds single points to a plot.
func Points(p *plot.Plot, points plotter.XYs, c color.Color) error {
	if len(points) == 0 {
		return nil
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	scatter.Color = c
	scatter.Shape = draw.CircleGlyph{}
	p.Add(scatter)
	return nil
}

// Render returns a plot as a picture within the page.
func Render(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(width, height)
	p.Draw(draw.New(c))
	var out bytes.Buffer
	if _, err := c.WriteTo(&out); err != nil {
		return "", err
	}
	_, svg, ok := bytes.Cut(out.Bytes(), []byte("<svg"))
	if !ok {
		return "", fmt.Errorf("no picture came of a plot")
	}
	return template.HTML("<svg" + string(svg)), nil // the library's own, which escapes the text given to it
}
