package edge

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/directory"
)

// acceptingRegistry accepts every entry.
type acceptingRegistry struct{}

func (acceptingRegistry) Register(context.Context, directory.Node, time.Duration) (directory.Lease, error) {
	return directory.Lease{ID: 7}, nil
}

func (acceptingRegistry) Renew(context.Context, directory.Lease) (bool, error) { return true, nil }

// settledStore is a store that has been read and lacks nothing.
type settledStore struct{ era atomic.Uint64 }

func (s *settledStore) FirstLoad() <-chan struct{} {
	loaded := make(chan struct{})
	close(loaded)
	return loaded
}

func (s *settledStore) Position() directory.Position {
	return directory.Position{Era: s.era.Load(), Revision: 1}
}
func (*settledStore) SettlesIn() time.Duration { return 0 }

// TestANodeKnowsWhetherItWasListedBeforeItStarted: only an entry found before the node
// wrote its own shows that the entries of other nodes are still listed.
func TestANodeKnowsWhetherItWasListedBeforeItStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		node, other := directory.Node{Name: "n", Zone: "z"}, directory.Node{Name: "other", Zone: "z"}
		wasListed := func(before directory.Node) bool {
			tested := newRegistration(acceptingRegistry{}, node, hclog.NewNullLogger(), &settledStore{}, func() int { return 2 })
			tested.noteEntry(directory.Entry{Node: &before})
			ctx, stop := context.WithCancel(t.Context())
			ended := make(chan error)
			go func() { ended <- tested.run(ctx) }()
			synctest.Wait()
			tested.noteEntry(directory.Entry{Node: &node, Lease: 7})
			stop()
			g.Expect(<-ended).To(Succeed())
			return tested.wasListed.Load()
		}
		g.Expect(wasListed(node)).To(BeTrue())
		moved := node
		moved.PeerAddress = "elsewhere:1"
		g.Expect(wasListed(moved)).To(BeTrue(), "the address must not matter: coordinators are chosen by name")
		g.Expect(wasListed(other)).To(BeFalse())
	})
}

// settlingStore is a store that was restored and has everything back at settlesAt.
type settlingStore struct {
	settledStore
	settlesAt atomic.Pointer[time.Time]
}

func (s *settlingStore) SettlesIn() time.Duration { return max(0, time.Until(*s.settlesAt.Load())) }

// settleWithin makes the store settle after a span, and returns the time at which it does.
func (s *settlingStore) settleWithin(span time.Duration) time.Time {
	at := time.Now().Add(span)
	s.settlesAt.Store(&at)
	return at
}

// recordingRegistry records when entries were written.
type recordingRegistry struct {
	acceptingRegistry
	store *settledStore

	mutex sync.Mutex
	// written is guarded by mutex.
	written []time.Time
}

// times returns when entries were written.
func (r *recordingRegistry) times() []time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.written)
}

func (r *recordingRegistry) Register(context.Context, directory.Node, time.Duration) (directory.Lease, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.written = append(r.written, time.Now())
	return directory.Lease{ID: 7, Era: r.store.era.Load()}, nil
}

// TestANodeRegistersInANewEraOnceItHasSettled: a node's entry of a new era tells starting nodes that
// everything lost in a restore is back. The node must therefore wait for that, whether it starts in
// the meantime or was running, with a lease of the previous era.
func TestANodeRegistersInANewEraOnceItHasSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := &settlingStore{}
		settlesAt := store.settleWithin(3 * time.Second)
		store.era.Store(2)
		registry := &recordingRegistry{store: &store.settledStore}
		tested := newRegistration(registry, directory.Node{Name: "n"}, hclog.NewNullLogger(), store, func() int { return 2 })
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- tested.run(ctx) }()
		time.Sleep(3*time.Second + minRestoreSpread)
		g.Expect(registry.times()).To(HaveLen(1))
		g.Expect(registry.times()[0]).To(BeTemporally(">=", settlesAt))
		time.Sleep(time.Second)
		settlesAt = store.settleWithin(2 * time.Second)
		store.era.Store(3)
		tested.notifyEraChange()
		time.Sleep(2*time.Second + minRestoreSpread)
		g.Expect(registry.times()).To(HaveLen(2), "the node must not wait for the next renewal")
		g.Expect(registry.times()[1]).To(BeTemporally(">=", settlesAt))
		stop()
		g.Expect(<-ended).To(Succeed())
	})
}
