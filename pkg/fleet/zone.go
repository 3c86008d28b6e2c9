package fleet

import (
	"math"
	"time"
)

// Network times that are assumed until they are measured.
const (
	assumedSameZone    = 500 * time.Microsecond
	assumedSameRegion  = 2 * time.Millisecond
	assumedOtherRegion = 25 * time.Millisecond
)

// zoneTimes is what is known of the network to the servers of one zone.
type zoneTimes struct {
	// roundTrip is the least time that a new connection took, or what is
	// assumed.
	roundTrip time.Duration
	measured  bool
	// handshake is the average time that a new connection took beyond the
	// round trip.
	connect time.Duration
}

func (z *zoneTimes) observeConnect(elapsed time.Duration) {
	if !z.measured || elapsed < z.roundTrip {
		z.roundTrip, z.measured = elapsed, true
	}
	if z.connect == 0 {
		z.connect = elapsed
	}
	z.connect += (elapsed - z.connect) / 8
}

// assumedTimes returns the times that are assumed for servers of a zone.
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
