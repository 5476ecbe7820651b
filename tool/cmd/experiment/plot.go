package main

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"sorrelloom/tool/experiment"
)

const (
	plotWidth  = 10 * vg.Inch
	plotHeight = 4 * vg.Inch
	// windowSeconds is the length of a window of Report.Timeline.
	windowSeconds = 2
)

// writePlot plots the mean earned share of each window, with one line for each policy.
func writePlot(path string, s settings, reports []experiment.Report) error {
	picture := plot.New()
	picture.Title.Text = "Part of the worth earned, by window"
	picture.X.Label.Text = "seconds from the start of the traffic"
	picture.Y.Min, picture.Y.Max = 0, 1
	perPolicy := len(reports) / len(s.policies)
	var lines []any
	for i, policy := range s.policies {
		lines = append(lines, policy.Name, meanTimeline(reports[i*perPolicy:(i+1)*perPolicy]))
	}
	if err := plotutil.AddLinePoints(picture, lines...); err != nil {
		return err
	}
	return picture.Save(plotWidth, plotHeight, path)
}

// meanTimeline returns the mean earned share of each window over several days.
func meanTimeline(reports []experiment.Report) plotter.XYs {
	var points plotter.XYs
	for window := range reports[0].Timeline {
		var parts []float64
		for _, report := range reports {
			parts = append(parts, report.Timeline[window])
		}
		points = append(points, plotter.XY{X: float64(window * windowSeconds), Y: experiment.Mean(parts)})
	}
	return points
}
