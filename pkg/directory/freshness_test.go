package directory

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// TestNewsGetsOld checks when a replica stops being fresh: sooner without the store than with a
// pending watch, and at once after a suspension of the machine, which the clock does not show.
func TestNewsGetsOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const stalenessBound = 2 * time.Second
		tested := NewFollower(nil, &observer{})
		tested.SetStalenessBound(stalenessBound)
		g.Expect(tested.IsFresh()).To(BeFalse(), "nothing has been read yet")
		g.Expect(tested.IsFreshWithin(time.Hour)).To(BeFalse())
		tested.noteStoreRegained()
		tested.confirm(time.Now())
		time.Sleep(stalenessBound + maxWatchWait + watchSlack)
		g.Expect(tested.IsFresh()).To(BeTrue(), "a pending watch reports changes as they happen")
		g.Expect(tested.IsFreshWithin(stalenessBound)).To(BeFalse())
		time.Sleep(time.Millisecond)
		g.Expect(tested.IsFresh()).To(BeFalse())
		tested.confirm(time.Now())
		tested.noteStoreLost(errors.New("refused"))
		time.Sleep(stalenessBound + watchSlack)
		g.Expect(tested.IsFresh()).To(BeTrue())
		time.Sleep(time.Millisecond)
		g.Expect(tested.IsFresh()).To(BeFalse())
		tested.confirm(time.Now())
		g.Expect(tested.IsFresh()).To(BeTrue(), "another node has confirmed it")
		tested.SetSuspensionClock(func() time.Duration { return time.Minute })
		g.Expect(tested.IsFresh()).To(BeFalse())
	})
}

// TestUnchangedStateIsConfirmedWithinTheStalenessBound checks that SetConfirmWhenIdle shortens the
// watches, so that the replica is confirmed in time even when nothing changes.
func TestUnchangedStateIsConfirmedWithinTheStalenessBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const stalenessBound = time.Second
		tested := NewFollower(nil, &observer{})
		tested.SetStalenessBound(stalenessBound)
		tested.confirm(time.Now())
		g.Expect(tested.watchWait()).To(BeNumerically(">=", minWatchWait))
		tested.SetConfirmWhenIdle(true)
		g.Expect(tested.watchWait()).To(Equal(stalenessBound))
		time.Sleep(stalenessBound / 2)
		g.Expect(tested.watchWait()).To(Equal(stalenessBound / 2))
		time.Sleep(stalenessBound)
		g.Expect(tested.watchWait()).To(Equal(immediateWatchWait))
	})
}

// TestALossIsReportedAgainWhenItsCauseChanges checks that repeated failures of one kind are
// reported once. A store that cannot be reached and then answers with an older state than is known
// has to be reported twice, since operators treat these as two problems.
func TestALossIsReportedAgainWhenItsCauseChanges(t *testing.T) {
	g := NewWithT(t)
	seen := &observer{state: make(map[string]uint64)}
	tested := NewFollower(nil, seen)
	for range 3 {
		tested.noteStoreLost(errors.New("connection reset"))
	}
	for range 3 {
		tested.noteStoreLost(fmt.Errorf("revision 3, 4 was seen: %w", ErrStoreBehind))
	}
	lost, _ := seen.dependencyEvents()
	g.Expect(lost).To(Equal(2))
	tested.noteStoreRegained()
	tested.noteStoreLost(fmt.Errorf("revision 3, 4 was seen: %w", ErrStoreBehind))
	lost, _ = seen.dependencyEvents()
	g.Expect(lost).To(Equal(3))
}
