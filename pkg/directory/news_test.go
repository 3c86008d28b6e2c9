package directory

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// TestNewsGetsOld: sooner at a node that the store does not answer than at one whose watch
// waits for a change, and later by a suspension of the machine than the clock shows.
func TestNewsGetsOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const newsAge = 2 * time.Second
		tested := NewFollower(nil, &observer{})
		tested.SetStalenessBound(newsAge)
		g.Expect(tested.IsFresh()).To(BeFalse(), "nothing is known yet")
		g.Expect(tested.IsFreshWithin(time.Hour)).To(BeFalse())
		tested.regained()
		tested.confirm(time.Now())
		time.Sleep(newsAge + greatestWait + watchSlack)
		g.Expect(tested.IsFresh()).To(BeTrue(), "its watch tells changes as they happen")
		g.Expect(tested.IsFreshWithin(newsAge)).To(BeFalse())
		time.Sleep(time.Millisecond)
		g.Expect(tested.IsFresh()).To(BeFalse())
		tested.confirm(time.Now())
		tested.lost(errors.New("refused"))
		time.Sleep(newsAge + watchSlack)
		g.Expect(tested.IsFresh()).To(BeTrue())
		time.Sleep(time.Millisecond)
		g.Expect(tested.IsFresh()).To(BeFalse())
		tested.confirm(time.Now())
		g.Expect(tested.IsFresh()).To(BeTrue(), "another node has told")
		tested.SetSuspensionClock(func() time.Duration { return time.Minute })
		g.Expect(tested.IsFresh()).To(BeFalse())
	})
}

// TestNewsIsConfirmedWithinItsAgeWhereAsked though nothing changes.
func TestNewsIsConfirmedWithinItsAgeWhereAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const newsAge = time.Second
		tested := NewFollower(nil, &observer{})
		tested.SetStalenessBound(newsAge)
		tested.confirm(time.Now())
		g.Expect(tested.watchWait()).To(BeNumerically(">=", leastWait))
		tested.SetConfirmWhenIdle(true)
		g.Expect(tested.watchWait()).To(Equal(newsAge))
		time.Sleep(newsAge / 2)
		g.Expect(tested.watchWait()).To(Equal(newsAge / 2))
		time.Sleep(newsAge)
		g.Expect(tested.watchWait()).To(Equal(leastWatchWait))
	})
}

// TestALossIsToldAgainWhenItsCauseChanges: a store that cannot be reached, then answers with an older
// state than is known, is two matters for whoever reads the log; a hundred lost connections are one.
func TestALossIsToldAgainWhenItsCauseChanges(t *testing.T) {
	g := NewWithT(t)
	seen := &observer{state: make(map[string]uint64)}
	tested := NewFollower(nil, seen)
	for range 3 {
		tested.lost(errors.New("connection reset"))
	}
	for range 3 {
		tested.lost(fmt.Errorf("revision 3, 4 was seen: %w", ErrStoreBehind))
	}
	lost, _ := seen.dependency()
	g.Expect(lost).To(Equal(2))
	tested.regained()
	tested.lost(fmt.Errorf("revision 3, 4 was seen: %w", ErrStoreBehind))
	lost, _ = seen.dependency()
	g.Expect(lost).To(Equal(3))
}
