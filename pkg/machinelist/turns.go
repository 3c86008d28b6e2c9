package machinelist

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/bramblemast/bramblemast/pkg/rendezvous"
	"github.com/bramblemast/bramblemast/pkg/target"
)

const (
	// pollersAtOnce is the number of nodes of a zone that together fetch as
	// often as one that is alone would fetch in as many intervals.
	pollersAtOnce = 2
	// maxBroadcastServers bounds the servers that are told of after one fetch.
	// Of a greater change the next readers tell the rest.
	maxBroadcastServers = 200
	// differencesToFetch is the number of announcements in a row that differ
	// from the held list after which a node fetches before its turn.
	differencesToFetch = 2
	// earlyShare divides the mean time between two fetches of a node to give
	// the time over which such early fetches are spread.
	earlyShare = 4
)

// Turns has the nodes of a zone fetch the list by turns and tell each other
// what changed, so that the cost of a node does not grow with the list times
// the nodes. After each fetch the reader announces it with a random number, and
// the node that ranks first for that number fetches next, half an interval
// later. A node that fails is followed by the next in rank, after another half.
type Turns struct {
	// Self is this node.
	Self target.NodeID
	// Living returns the living nodes of the zone that poll, this one included.
	Living func() []target.NodeID
	// Broadcast sends a message of at most MaxMessageBytes to all other nodes
	// of the zone, which give it to Poller.Receive. It must not block. Messages
	// may be lost, repeated or late.
	Broadcast func(message []byte) error
}

// schedule decides when a node fetches. It is not safe for concurrent use.
type schedule struct {
	interval time.Duration
	turns    *Turns
	random   *rand.Rand

	// attemptedAt is when this node's last fetch ended, and listed whether one
	// has ever given a list.
	attemptedAt time.Time
	listed      bool
	// heardAt and turn are those of the last fetch that was announced, by this
	// node or another. attempted is set if this node has failed since.
	heardAt   time.Time
	turn      uint64
	attempted bool
	// jitter is the random factor of the present wait, about 1.
	jitter float64
	// differences counts the announcements in a row that differ from the list.
	differences int
	// earlyAt is when to fetch before the turn; zero for not. It is not set
	// again before noEarlyBefore.
	earlyAt       time.Time
	noEarlyBefore time.Time
}

// shared reports whether there are other nodes to take turns with.
func (t *Turns) shared() bool { return t != nil && len(t.Living()) > 1 }

// step is the time between two fetches in the zone.
func (s *schedule) step() time.Duration { return s.interval / pollersAtOnce }

// round is the mean time between two fetches of one node.
func (s *schedule) round(nodes int) time.Duration { return s.step() * time.Duration(nodes) }

// due returns when to fetch next.
func (s *schedule) due() time.Time {
	var living []target.NodeID
	if s.turns != nil {
		living = s.turns.Living()
	}
	if len(living) <= 1 || !s.listed {
		return s.attemptedAt.Add(scale(s.interval, s.jitter))
	}
	due := s.attemptedAt.Add(scale(s.round(len(living)), s.jitter))
	if !s.attempted {
		due = s.heardAt.Add(scale(s.step(), float64(s.rank(living))+s.jitter))
	}
	if !s.earlyAt.IsZero() && s.earlyAt.Before(due) {
		return s.earlyAt
	}
	return due
}

func scale(duration time.Duration, factor float64) time.Duration {
	return time.Duration(float64(duration) * factor)
}

// rank returns how many nodes come before this one for the present turn.
func (s *schedule) rank(living []target.NodeID) int {
	key := strconv.FormatUint(s.turn, 16)
	own := rendezvous.Score(key, string(s.turns.Self))
	rank := 0
	for _, node := range living {
		if node != s.turns.Self && rendezvous.Score(key, string(node)) > own {
			rank++
		}
	}
	return rank
}

// fetched notes the end of a fetch of this node.
func (s *schedule) fetched(now time.Time, usable bool) {
	s.attemptedAt = now
	s.attempted = true
	s.draw()
	if !s.earlyAt.IsZero() {
		s.noEarlyBefore = now.Add(s.round(len(s.turns.Living())))
		s.earlyAt = time.Time{}
	}
	if !usable {
		return
	}
	s.differences = 0
	if !s.listed {
		s.listed = true
		s.heardAt = now
		s.attempted = false
	}
}

func (s *schedule) draw() { s.jitter = 1 + jitterShare*(2*s.random.Float64()-1) }

// announced notes that a node has fetched. Of two at about the same time the
// one with the greater number stands, so that all nodes follow the same one.
func (s *schedule) announced(now time.Time, turn uint64) {
	s.attempted = false
	if now.Sub(s.heardAt) < s.step()/2 && turn < s.turn {
		return
	}
	s.heardAt = now
	s.turn = turn
	s.draw()
}

// compared notes whether the held list is the announced one. If it was not
// twice in a row, messages were lost or the change was too large to be told:
// the node then fetches before its turn, at most once in a round.
func (s *schedule) compared(now time.Time, same bool) {
	if same {
		s.differences = 0
		s.earlyAt = time.Time{}
		return
	}
	s.differences++
	if s.differences < differencesToFetch || !s.earlyAt.IsZero() || now.Before(s.noEarlyBefore) {
		return
	}
	spread := s.round(len(s.turns.Living())) / earlyShare
	s.earlyAt = now.Add(scale(spread, s.random.Float64()))
}
