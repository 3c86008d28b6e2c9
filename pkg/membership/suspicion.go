package membership

import (
	"math"
	"time"

	"github.com/bramblemast/bramblemast/pkg/target"
)

const (
	// minSuspicionPeriods is the minimum time to refute, in probe periods for each factor of ten in
	// the number of members.
	minSuspicionPeriods = 2
	// maxSuspicionFactor is the time to refute while there is only one accuser, as a multiple of
	// the minimum time.
	maxSuspicionFactor = 3
	// maxConfirmations is the number of further accusers that reduce the time to refute to its
	// minimum.
	maxConfirmations = 3
)

// suspicion holds when a member was suspected and which members accuse it.
type suspicion struct {
	since    time.Time
	accusers []target.NodeID
}

// confirm adds an accuser. It returns false if that member is already an accuser or no more are
// needed.
func (s *suspicion) confirm(accuser target.NodeID) bool {
	if len(s.accusers) > maxConfirmations {
		return false
	}
	for _, known := range s.accusers {
		if known == accuser {
			return false
		}
	}
	s.accusers = append(s.accusers, accuser)
	return true
}

// timeout returns the time to refute in a zone with the given number of members. It falls from a
// maximum to a minimum as independent accusers are added, so that one node with a bad link cannot
// remove a member quickly. In a zone too small to have further accusers it is the minimum.
func (s *suspicion) timeout(members int, probePeriod time.Duration) time.Duration {
	scale := math.Max(1, math.Log10(float64(members+1)))
	minimum := time.Duration(minSuspicionPeriods * scale * float64(probePeriod))
	possible := min(maxConfirmations, members-2)
	if possible <= 0 {
		return minimum
	}
	confirmed := min(len(s.accusers)-1, possible)
	share := math.Log(float64(confirmed+1)) / math.Log(float64(possible+1))
	maximum := maxSuspicionFactor * minimum
	return maximum - time.Duration(share*float64(maximum-minimum))
}

// retransmits returns how often a node sends one item of gossip to random members in a zone with
// the given number of members, besides the deliveries to its successors. It grows with the logarithm
// of the zone, as does the number of rounds that an item needs to spread.
func retransmits(members int) int {
	return int(math.Ceil(retransmitFactor * math.Log10(float64(members+1))))
}

// retransmitFactor is the number of times for each factor of ten in the number of members.
const retransmitFactor = 4
