package fleet

import (
	"math"
	"time"
)

// Network round trips that are assumed until one is measured.
const (
	assumedSameZone    = 500 * time.Microsecond
	assumedSameRegion  = 2 * time.Millisecond
	assumedOtherRegion = 25 * time.Millisecond
)

// zoneTimes holds the network times between this node and the servers of one zone.
type zoneTimes struct {
	// roundTrip is the minimum time that opening a connection took, or the assumed round trip.
	roundTrip time.Duration
	measured  bool
	// connect is the moving average of the time that opening a connection took; zero until one is
	// measured.
	connect time.Duration
}

// observeConnect adds the time that opening a connection took.
func (z *zoneTimes) observeConnect(elapsed time.Duration) {
	if !z.measured || elapsed < z.roundTrip {
		z.roundTrip, z.measured = elapsed, true
	}
	if z.connect == 0 {
		z.connect = elapsed
	}
	z.connect += (elapsed - z.connect) / 8
}

// assumedTimes returns the network times that are assumed for the servers of a zone.
func assumedTimes(local Place, zone, region string) *zoneTimes {
	switch {
	case zone == local.Zone:
		return &zoneTimes{roundTrip: assumedSameZone}
	case region != "" && region == local.Region:
		return &zoneTimes{roundTrip: assumedSameRegion}
	default:
		return &zoneTimes{roundTrip: assumedOtherRegion}
	}
}

func exp2(value float64) float64 { return math.Exp2(value) }
