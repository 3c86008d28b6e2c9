package report

import (
	imagecolor "image/color"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"github.com/bramblemast/bramblemast/internal/lab/experiment"
)

const (
	// spread is the distance between the metrics of one arm, where the arms
	// are one apart.
	spread      = 0.16
	pointRadius = vg.Length(4)
	// headroom is the space above the highest point, as a share of the axis,
	// which keeps the legend clear of the points.
	headroom = 0.3
)

// shapes tell the metrics apart without colours.
var shapes = []draw.GlyphDrawer{draw.CircleGlyph{}, draw.BoxGlyph{}, draw.PyramidGlyph{}}

// color returns the colour of a series.
func color(index int) imagecolor.Color {
	return plotutil.DarkColors[index%len(plotutil.DarkColors)]
}

// bars holds points with their intervals.
type bars struct {
	plotter.XYs
	plotter.YErrors
}

// compareArms draws metrics over the arms, with 95% intervals; nil if nothing
// was measured.
func compareArms(output *experiment.Output, wanted comparison) (*plot.Plot, error) {
	drawing := newPlot(wanted.title+" (mean and 95% interval)", "", wanted.unit)
	drawn := 0
	for index, metric := range wanted.metrics {
		offset := (float64(index) - float64(len(wanted.metrics)-1)/2) * spread
		points := intervals(output, wanted, metric, offset)
		if len(points.XYs) == 0 {
			continue
		}
		if err := addBars(drawing, points, string(metric), index); err != nil {
			return nil, err
		}
		drawn++
	}
	if drawn == 0 {
		return nil, nil
	}
	finishComparison(drawing, output, wanted.fromZero)
	return drawing, nil
}

// intervals returns the points of a metric. Intervals are cut where no figure
// can lie, below zero and above the greatest value of a share.
func intervals(output *experiment.Output, wanted comparison, metric experiment.Metric, offset float64) bars {
	var points bars
	for index := range output.Arms {
		figure := output.Arms[index].Figure(metric)
		if figure == nil {
			continue
		}
		value := figure.Value
		low := math.Max(value.Low, 0)
		high := value.High
		if wanted.isShare {
			high = math.Min(high, 1)
		}
		points.XYs = append(points.XYs, plotter.XY{X: float64(index) + offset, Y: value.Mean})
		points.YErrors = append(points.YErrors, struct{ Low, High float64 }{value.Mean - low, high - value.Mean})
	}
	return points
}

func addBars(drawing *plot.Plot, points bars, label string, index int) error {
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	scatter.Color = color(index)
	scatter.Shape = shapes[index%len(shapes)]
	scatter.Radius = pointRadius
	whiskers, err := plotter.NewYErrorBars(points)
	if err != nil {
		return err
	}
	whiskers.Color = color(index)
	whiskers.Width = lineWidth
	drawing.Add(scatter, whiskers)
	drawing.Legend.Add(label, scatter)
	return nil
}

// finishComparison names the arms and sets the axes. The names come last,
// because they set the range of the axis.
func finishComparison(drawing *plot.Plot, output *experiment.Output, fromZero bool) {
	names := make([]string, 0, len(output.Arms))
	for _, arm := range output.Arms {
		names = append(names, arm.Name)
	}
	drawing.NominalX(names...)
	drawing.X.Min = -0.5
	drawing.X.Max = float64(len(names)) - 0.5
	if fromZero {
		drawing.Y.Min = math.Min(0, drawing.Y.Min)
	}
	height := drawing.Y.Max - drawing.Y.Min
	if height == 0 {
		height = math.Max(math.Abs(drawing.Y.Max), 1)
	}
	drawing.Y.Max += headroom * height
	grid := plotter.NewGrid()
	grid.Vertical.Width = 0
	drawing.Add(grid)
}
