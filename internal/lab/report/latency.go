package report

import (
	"math"
	"sort"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/bramblemast/bramblemast/internal/lab/experiment"
	"github.com/bramblemast/bramblemast/internal/lab/load"
)

// Titles of the plots of latencies.
const (
	tailTitle = "Latency tail: share of answers that take longer"
	timeTitle = "Latency over time: p50 (thin) and p99 (thick), mean of the repeats"
)

const (
	// leastShare is the bottom of the tail plot.
	leastShare = 0.001
	// thinning makes the line of the median thinner than that of p99.
	thinning = 0.4
)

// latencyTail draws, for each arm, the share of answers that are slower than a
// latency, both on logarithmic axes.
func latencyTail(output *experiment.Output) (*plot.Plot, error) {
	drawing := newPlot(tailTitle, "milliseconds from the intended send time", "share of answers")
	drawn := 0
	for index, arm := range output.Arms {
		points := tailOf(output, arm.Name)
		if len(points) == 0 {
			continue
		}
		if err := addLine(drawing, points, arm.Name, index, 1); err != nil {
			return nil, err
		}
		drawn++
	}
	if drawn == 0 {
		return nil, nil
	}
	logarithmic(&drawing.X)
	logarithmic(&drawing.Y)
	drawing.Add(plotter.NewGrid())
	drawing.Y.Min = leastShare
	drawing.Y.Max = 1
	return drawing, nil
}

func logarithmic(axis *plot.Axis) {
	axis.Scale = plot.LogScale{}
	axis.Tick.Marker = logTicks{}
}

// logTicks marks 1, 2 and 5 in each power of ten.
type logTicks struct{}

// Ticks implements plot.Ticker.
func (logTicks) Ticks(low, high float64) []plot.Tick {
	var ticks []plot.Tick
	for power := math.Pow(10, math.Floor(math.Log10(low))); power <= high; power *= 10 {
		for _, step := range []float64{1, 2, 5} {
			value := power * step
			if value >= low*(1-1e-9) && value <= high*(1+1e-9) {
				ticks = append(ticks, plot.Tick{Value: value, Label: tickLabel(value)})
			}
		}
	}
	return ticks
}

// tickLabel writes a tick without an exponent.
func tickLabel(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }

// tailOf averages the distribution of an arm over the repeats, quantile by
// quantile.
func tailOf(output *experiment.Output, arm string) plotter.XYs {
	sums := make(map[float64]float64)
	repeats := 0
	for _, run := range output.Runs {
		summary, found := run.Load.Arm(arm)
		if !found || len(summary.Latency.Curve) == 0 {
			continue
		}
		repeats++
		for _, point := range summary.Latency.Curve {
			sums[point.Quantile] += point.Value
		}
	}
	var points plotter.XYs
	for quantile, sum := range sums {
		if slower := 1 - quantile; slower >= leastShare-1e-9 && sum > 0 {
			points = append(points, plotter.XY{X: sum / float64(repeats), Y: math.Max(slower, leastShare)})
		}
	}
	sort.Slice(points, func(i, j int) bool { return points[i].Y > points[j].Y })
	return points
}

// latencyOverTime draws p50 and p99 of each second.
func latencyOverTime(output *experiment.Output) (*plot.Plot, error) {
	drawing := newPlot(timeTitle, "seconds since the end of the warm-up", "milliseconds")
	drawn := 0
	for index, arm := range output.Arms {
		p99 := overTime(output, arm.Name, func(second load.Second) float64 { return second.P99 })
		p50 := overTime(output, arm.Name, func(second load.Second) float64 { return second.P50 })
		if len(p99) == 0 {
			continue
		}
		if err := addLine(drawing, p99, arm.Name, index, 1); err != nil {
			return nil, err
		}
		if err := addLine(drawing, p50, "", index, thinning); err != nil {
			return nil, err
		}
		drawn++
	}
	if drawn == 0 {
		return nil, nil
	}
	drawing.Y.Min = 0
	drawing.Y.Max *= 1 + headroom
	drawing.Add(plotter.NewGrid())
	return drawing, nil
}

func overTime(output *experiment.Output, arm string, pick func(load.Second) float64) plotter.XYs {
	sums := make(map[int]float64)
	counts := make(map[int]int)
	for _, run := range output.Runs {
		for _, second := range run.Load.Timeline {
			if second.Arm == arm && second.Answered > 0 {
				sums[second.Second] += pick(second)
				counts[second.Second]++
			}
		}
	}
	var points plotter.XYs
	for second, sum := range sums {
		points = append(points, plotter.XY{X: float64(second), Y: sum / float64(counts[second])})
	}
	sort.Slice(points, func(i, j int) bool { return points[i].X < points[j].X })
	return points
}

// addLine adds a line, with an entry in the legend if it has a label.
func addLine(drawing *plot.Plot, points plotter.XYs, label string, index int, width float64) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = color(index)
	line.Width = lineWidth * vg.Length(width)
	drawing.Add(line)
	if label != "" {
		drawing.Legend.Add(label, line)
	}
	return nil
}
