package report

import (
	"bytes"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"github.com/bramblemast/bramblemast/internal/lab/experiment"
)

// Sizes of a plot.
const (
	chartWidth  = 9 * vg.Inch
	chartHeight = 5 * vg.Inch
	titleSize   = font.Length(14)
	labelSize   = font.Length(12)
	tickSize    = font.Length(11)
	lineWidth   = vg.Length(1.5)
	margin      = vg.Length(12)
)

// comparison is a plot of some metrics over the arms.
type comparison struct {
	name, title, unit string
	metrics           []experiment.Metric
	// fromZero makes the axis begin at zero.
	fromZero bool
	// isShare means that no value is above 1.
	isShare bool
}

var comparisons = []comparison{
	{
		name: "latency_quantiles", title: "Latency of answers", unit: "milliseconds", fromZero: true,
		metrics: []experiment.Metric{experiment.MetricP50, experiment.MetricP99, experiment.MetricP999},
	},
	{
		name: "coverage", title: "Coverage of answers", unit: "share", isShare: true,
		metrics: []experiment.Metric{experiment.MetricCoverageMean, experiment.MetricCoverageMin, experiment.MetricCompleteShare},
	},
	{
		name: "extra_load", title: "Extra load on back ends", unit: "extra sub-requests for each primary one", fromZero: true,
		metrics: []experiment.Metric{experiment.MetricExtraLoad},
	},
	{
		name: "goodput", title: "Useful answers", unit: "answers per second", fromZero: true,
		metrics: []experiment.Metric{experiment.MetricGoodput},
	},
	{
		name: "refusals", title: "Refused and failed requests", unit: "share of requests", fromZero: true, isShare: true,
		metrics: []experiment.Metric{experiment.MetricRefusedShare, experiment.MetricFailedShare},
	},
}

// drawAll makes every plot that the output has figures for.
func drawAll(output *experiment.Output) ([]chart, error) {
	var charts []chart
	add := func(name, title string, drawing *plot.Plot, err error) error {
		if err != nil || drawing == nil {
			return errors.Wrapf(err, "draw %s", name)
		}
		encoded, err := encode(drawing)
		if err != nil {
			return errors.Wrapf(err, "draw %s", name)
		}
		charts = append(charts, chart{Name: name, Title: title, PNG: encoded})
		return nil
	}
	for _, each := range comparisons {
		drawing, err := compareArms(output, each)
		if err := add(each.name, each.title, drawing, err); err != nil {
			return nil, err
		}
	}
	drawing, err := latencyTail(output)
	if err := add("latency_tail", tailTitle, drawing, err); err != nil {
		return nil, err
	}
	drawing, err = latencyOverTime(output)
	if err := add("latency_over_time", timeTitle, drawing, err); err != nil {
		return nil, err
	}
	return charts, nil
}

// newPlot makes a plot with the common look.
func newPlot(title, x, y string) *plot.Plot {
	drawing := plot.New()
	drawing.Title.Text = title
	drawing.Title.TextStyle.Font.Size = titleSize
	drawing.Title.Padding = vg.Points(8)
	drawing.X.Label.Text = x
	drawing.Y.Label.Text = y
	drawing.X.Label.TextStyle.Font.Size = labelSize
	drawing.Y.Label.TextStyle.Font.Size = labelSize
	drawing.X.Tick.Label.Font.Size = tickSize
	drawing.Y.Tick.Label.Font.Size = tickSize
	drawing.Legend.TextStyle.Font.Size = tickSize
	drawing.Legend.Top = true
	drawing.Legend.Padding = vg.Points(3)
	drawing.Legend.ThumbnailWidth = vg.Points(26)
	return drawing
}

// encode draws with a margin, because axes and lines may end at the very edge.
func encode(drawing *plot.Plot) ([]byte, error) {
	canvas := vgimg.New(chartWidth, chartHeight)
	inner := draw.Crop(draw.New(canvas), margin, -margin, margin, -margin)
	drawing.Draw(inner)
	var buffer bytes.Buffer
	_, err := vgimg.PngCanvas{Canvas: canvas}.WriteTo(&buffer)
	return buffer.Bytes(), err
}
