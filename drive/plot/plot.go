// Package plot draws results as bar charts and line charts, as PNG or SVG depending on the
// file name.
package plot

import (
	"image/color"

	gonum "gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Dimensions of a chart.
const (
	width    = 24 * vg.Centimeter
	height   = 12 * vg.Centimeter
	barWidth = 9 * vg.Length(1)
)

// Plot is a chart. Its fields are set before Bars or Curve is called.
type Plot struct {
	Title string
	// XLabel and YLabel are the labels of the axes, with units.
	XLabel, YLabel string
	// Groups are the labels of the groups of bars.
	Groups []string
	Series []Series
}

// Series is one line, or one bar in each group.
type Series struct {
	Name string
	// X is empty for bars.
	X, Y []float64
}

func (p *Plot) newPlot() *gonum.Plot {
	pic := gonum.New()
	pic.Title.Text = p.Title
	pic.X.Label.Text = p.XLabel
	pic.Y.Label.Text = p.YLabel
	pic.Legend.Top = true
	pic.BackgroundColor = color.White
	pic.Add(plotter.NewGrid())
	return pic
}

// Bars writes a bar chart to a file, with one bar of each series in each group.
func (p *Plot) Bars(file string) error {
	pic := p.newPlot()
	for i, s := range p.Series {
		bars, err := plotter.NewBarChart(plotter.Values(s.Y), barWidth)
		if err != nil {
			return err
		}
		bars.LineStyle.Width = 0
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(float64(i)-float64(len(p.Series)-1)/2)
		pic.Add(bars)
		pic.Legend.Add(s.Name, bars)
	}
	pic.Y.Min = 0
	pic.NominalX(p.Groups...)
	return pic.Save(width, height, file)
}

// Curve writes a line chart to a file.
func (p *Plot) Curve(file string) error {
	pic := p.newPlot()
	for i, s := range p.Series {
		points := make(plotter.XYs, len(s.X))
		for j := range points {
			points[j] = plotter.XY{X: s.X[j], Y: s.Y[j]}
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return err
		}
		line.Color, dots.Color = plotutil.Color(i), plotutil.Color(i)
		dots.Shape = plotutil.Shape(i)
		pic.Add(line, dots)
		pic.Legend.Add(s.Name, line, dots)
	}
	return pic.Save(width, height, file)
}
