package experiment

import (
	"fmt"
	"math"
)

// Interval is the mean over the repeats with its 95% confidence interval by
// Student's t distribution. With one repeat there is no interval: Low and High
// are the mean.
type Interval struct {
	Mean    float64 `json:"mean"`
	Low     float64 `json:"low"`
	High    float64 `json:"high"`
	Repeats int     `json:"repeats"`
}

// studentT holds the two-sided 95% quantile for 1 to 30 degrees of freedom.
var studentT = [...]float64{
	12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228,
	2.201, 2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086,
	2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
}

// normalT is the quantile for more degrees of freedom.
const normalT = 1.960

func newInterval(values []float64) Interval {
	count := len(values)
	if count == 0 {
		return Interval{}
	}
	mean := 0.0
	for _, value := range values {
		mean += value / float64(count)
	}
	half := halfWidth(values, mean)
	return Interval{Mean: mean, Low: mean - half, High: mean + half, Repeats: count}
}

func halfWidth(values []float64, mean float64) float64 {
	count := len(values)
	if count < 2 {
		return 0
	}
	squares := 0.0
	for _, value := range values {
		squares += (value - mean) * (value - mean)
	}
	deviation := math.Sqrt(squares / float64(count-1))
	quantile := normalT
	if count-1 <= len(studentT) {
		quantile = studentT[count-2]
	}
	return quantile * deviation / math.Sqrt(float64(count))
}

// String formats the mean with half of the interval's width.
func (i Interval) String() string {
	half := (i.High - i.Low) / 2
	return fmt.Sprintf("%s±%s", formatFigure(i.Mean), formatFigure(half))
}

// formatFigure keeps about three significant digits.
func formatFigure(value float64) string {
	magnitude := math.Abs(value)
	switch {
	case value == 0:
		return "0"
	case magnitude >= 100:
		return fmt.Sprintf("%.0f", value)
	case magnitude >= 10:
		return fmt.Sprintf("%.1f", value)
	case magnitude >= 1:
		return fmt.Sprintf("%.2f", value)
	default:
		return fmt.Sprintf("%.4f", value)
	}
}
