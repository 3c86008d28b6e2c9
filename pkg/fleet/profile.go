package fleet

import (
	"math"
	"time"
)

// Profile is the typical service time of one kind of request, without the network. The mutex of the
// Fleet guards it.
type Profile struct {
	mean      time.Duration
	deviation time.Duration
	samples   int
}

// ProfileView is a snapshot of a Profile.
type ProfileView struct {
	Mean time.Duration
	// Deviation is the mean absolute deviation from the mean.
	Deviation time.Duration
}

// Quantile estimates a quantile (0 to 1) of the service times, assuming a normal distribution.
func (v ProfileView) Quantile(quantile float64) time.Duration {
	sigma := float64(v.Deviation) * math.Sqrt(math.Pi/2)
	return max(0, v.Mean+time.Duration(sigma*math.Sqrt2*math.Erfinv(2*quantile-1)))
}

// Constants of profiles.
const (
	// profileWindow is the reciprocal of a new sample's weight in the averages.
	profileWindow = 32
	// warmUpSamples is the number of first samples that are averaged with equal weights.
	warmUpSamples = 16
	// maxSampleRatio bounds a sample relative to the mean, so that a pause does not count as a
	// typical time.
	maxSampleRatio = 3
)

// newProfile returns a profile that starts with an assumed mean.
func newProfile(assumedMean time.Duration) *Profile {
	return &Profile{mean: max(assumedMean, time.Millisecond), deviation: max(assumedMean, time.Millisecond) / 3}
}

// typical returns the mean, but at least 100 µs.
func (p *Profile) typical() time.Duration { return max(p.mean, 100*time.Microsecond) }

// observe adds a sample to the averages.
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
