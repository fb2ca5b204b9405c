// Package plots renders plots as inline SVG, so that an HTML report is a single file without external resources. Only programs
// that write reports import it, because linking the plot library would raise the memory use of a scheduler.
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

// Size of a rendered plot.
const (
	pictureWidth  = 18 * vg.Centimeter
	pictureHeight = 6.5 * vg.Centimeter
)

// palette holds the line colours of a plot in the order of use.
var palette = []color.Color{
	color.NRGBA{B: 160, A: 255}, color.NRGBA{R: 180, A: 255}, color.NRGBA{G: 130, A: 255},
	color.NRGBA{R: 150, G: 100, A: 255}, color.NRGBA{R: 120, B: 120, A: 255},
}

// Color returns the colour of line i of a plot, counted from 0. Colours repeat after the end of the palette.
func Color(i int) color.Color { return palette[i%len(palette)] }

// New returns an empty plot with the given title and axis labels, a vertical axis that starts at 0 and the legend at the top.
func New(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Y.Min = 0
	p.Legend.Top = true
	return p
}

// Line adds a line to a plot, and a legend entry unless name is empty. Without points it adds nothing.
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

// Points adds points to a plot as unconnected dots. Without points it adds nothing.
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

// Render returns a plot as an SVG element to embed in an HTML page.
func Render(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(pictureWidth, pictureHeight)
	p.Draw(draw.New(c))
	var out bytes.Buffer
	if _, err := c.WriteTo(&out); err != nil {
		return "", err
	}
	_, svg, ok := bytes.Cut(out.Bytes(), []byte("<svg"))
	if !ok {
		return "", fmt.Errorf("the plot library wrote no svg element")
	}
	return template.HTML("<svg" + string(svg)), nil // safe as HTML: the library escapes all text in its SVG output
}
