package fleet

import (
	"math"
	"time"
)

// Profile is the typical time that servers need for one kind of request,
// without the network. The mutex of the Fleet guards it.
type Profile struct {
	mean      time.Duration
	deviation time.Duration
	samples   int
}

// ProfileView is a Profile at one moment.
type ProfileView struct {
	Mean time.Duration
	// Deviation is the mean deviation from the mean.
	Deviation time.Duration
}

// Quantile estimates a quantile (0 to 1) of the times, as if they were
// distributed normally.
func (v ProfileView) Quantile(quantile float64) time.Duration {
	sigma := float64(v.Deviation) * math.Sqrt(math.Pi/2)
	return max(0, v.Mean+time.Duration(sigma*math.Sqrt2*math.Erfinv(2*quantile-1)))
}

// Constants of profiles.
const (
	// profileWindow is the share of a new sample in the averages.
	profileWindow = 32
	// warmUpSamples are averaged plainly.
	warmUpSamples = 16
	// maxSampleRatio bounds a sample in relation to the mean, so that a pause
	// does not count as typical.
	maxSampleRatio = 3
)

// newProfile begins with an assumed mean.
func newProfile(assumedMean time.Duration) *Profile {
	return &Profile{mean: max(assumedMean, time.Millisecond), deviation: max(assumedMean, time.Millisecond) / 3}
}

func (p *Profile) typical() time.Duration { return max(p.mean, 100*time.Microsecond) }

func (p *Profile) observe(sample time.Duration) {
	sample = min(sample, maxSampleRatio*p.mean+time.Millisecond)
	p.samples++
	gain := time.Duration(min(p.samples+1, profileWindow))
	if p.samples > warmUpSamples {
		gain = profileWindow
	}
	difference := sample - p.mean
	p.mean += difference / gain
	p.deviation += (difference.Abs() - p.deviation) / gain
}
