package kwloadtest

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"knapweedproxy/core/kwcode"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// WritePlot plots the served load of the recovery run; the file extension selects SVG, PNG or PDF.
func (r Report) WritePlot(path string) error {
	p := plot.New()
	p.Title.Text = "served load when a VM is lost, profile " + r.Profile
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "tokens per second"
	p.Y.Min = 0
	var served, fault plotter.XYs
	top := 0.0
	for _, point := range r.Recovery.Samples {
		served = append(served, plotter.XY{X: point.Seconds, Y: point.TokensPerSecond})
		top = max(top, point.TokensPerSecond)
	}
	fault = plotter.XYs{{X: r.Recovery.FaultSeconds}, {X: r.Recovery.FaultSeconds, Y: top}}
	for i, xys := range []plotter.XYs{served, fault} {
		line, err := plotter.NewLine(xys)
		if err != nil {
			return kwcode.New(kwcode.OperationFailed, "%v", err)
		}
		if i > 0 {
			line.Color = color.RGBA{R: 200, A: 255}
		}
		p.Add(line)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return kwcode.New(kwcode.OperationFailed, "%v", err)
	}
	return nil
}
