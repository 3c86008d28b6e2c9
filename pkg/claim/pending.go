package claim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// maxPending bounds the writes that wait for the store. Above it the
	// oldest is given up: its claim then stays as it is until the retention
	// ends, which is safe.
	maxPending = 4096
	// pendingPeriod is the time between two rounds of waiting writes while the
	// store answers. After each failure it doubles, up to pendingPeriodMax, so
	// that a store that answers again is not overrun by all nodes.
	pendingPeriod    = time.Second
	pendingPeriodMax = 32 * time.Second
	// removalRounds is the number of rounds in which a removal looks for its
	// claim, because a write that was held up may still create it.
	removalRounds = 30
	// roundLimit bounds the writes in one round, for the store's sake.
	roundLimit = 20
	// finalTimeout bounds the last round when the node stops.
	finalTimeout = 2 * time.Second
)

// pendingWrite is a write to a claim that is done later: its removal, or its
// change to document.
type pendingWrite struct {
	key      string
	claimID  string
	document *Document
	// rounds is the number of rounds in which a removal is still tried.
	rounds int
}

func pendingRemoval(claim *Claim) *pendingWrite {
	return &pendingWrite{key: claim.key, claimID: claim.document.ClaimID, rounds: removalRounds}
}

func pendingUpdate(claim *Claim, document Document) *pendingWrite {
	return &pendingWrite{key: claim.key, claimID: claim.document.ClaimID, document: &document}
}

// pendingQueue holds the writes that wait for the store. It is safe for
// concurrent use.
type pendingQueue struct {
	mutex sync.Mutex
	// writes is guarded by mutex; oldest first.
	writes []*pendingWrite
}

func newPendingQueue() *pendingQueue { return &pendingQueue{} }

func (q *pendingQueue) add(write *pendingWrite) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.writes) == maxPending {
		q.writes = q.writes[1:]
	}
	q.writes = append(q.writes, write)
}

// take removes and returns the oldest writes, at most limit.
func (q *pendingQueue) take(limit int) []*pendingWrite {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	count := min(limit, len(q.writes))
	taken := q.writes[:count:count]
	q.writes = q.writes[count:]
	return taken
}

func (q *pendingQueue) len() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.writes)
}

// Pending returns the number of writes that wait for the store.
func (c *Claimer) Pending() int { return c.pending.len() }

// Run settles what waits for the store, and sweeps expired claims if this node
// is to, until ctx ends. Then it makes one last attempt.
func (c *Claimer) Run(ctx context.Context) error {
	period := pendingPeriod
	rounds := time.NewTimer(period)
	defer rounds.Stop()
	sweeps := time.NewTicker(c.options.SweepPeriod)
	defer sweeps.Stop()
	observed := make(observations)
	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalTimeout)
			defer cancel()
			c.settleRound(last, maxPending)
			return nil
		case <-rounds.C:
			period = nextPeriod(period, c.settleRound(ctx, roundLimit))
			rounds.Reset(period/2 + rand.N(period))
		case <-sweeps.C:
			if c.options.IsSweeper() {
				c.sweep(ctx, observed)
			} else {
				clear(observed)
			}
		}
	}
}

// nextPeriod returns the time until the next round.
func nextPeriod(period time.Duration, answered bool) time.Duration {
	if answered {
		return pendingPeriod
	}
	return min(2*period, pendingPeriodMax)
}

// settleRound tries the oldest waiting writes once. It ends at the first one
// that the store does not take, and reports whether the store took them all.
func (c *Claimer) settleRound(ctx context.Context, limit int) bool {
	taken := c.pending.take(limit)
	failed := false
	for _, write := range taken {
		if !failed {
			failed = c.apply(ctx, write) != nil
		}
		if failed || c.lookAgain(write) {
			c.pending.add(write)
		}
	}
	return !failed
}

// lookAgain reports whether a removal must be tried once more although the
// store answered.
func (c *Claimer) lookAgain(write *pendingWrite) bool {
	write.rounds--
	return write.document == nil && write.rounds > 0
}
