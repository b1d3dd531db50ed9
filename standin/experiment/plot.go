package experiment

import (
	"fmt"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of the plot.
const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// Plot draws a scatter plot of mean slowdown against wasted messages per task, with
// one point for each result.
func Plot(file string, results []Result) error {
	p := plot.New()
	p.Title.Text = "Response time against messages"
	p.X.Label.Text = "messages without useful work, per task"
	p.Y.Label.Text = "mean slowdown"
	points := plotter.XYLabels{}
	for _, r := range results {
		points.XYs = append(points.XYs, plotter.XY{
			X: r.WastedPerTask(),
			Y: r.Report.MeanSlowdown(),
		})
		points.Labels = append(points.Labels, fmt.Sprintf(" %s at %.2f", r.Variant, r.Load))
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return errors.Annotate(err, "plot results")
	}
	labels, err := plotter.NewLabels(points)
	if err != nil {
		return errors.Annotate(err, "label results")
	}
	p.Add(scatter, labels, plotter.NewGrid())
	return errors.Annotate(p.Save(plotWidth, plotHeight, file), "save plot")
}
