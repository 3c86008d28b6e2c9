package quarantine_test

import (
	"context"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/exchange/exchangetest"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
)

// ledger is a store that all guards of a test share. It passes each change to all of them at once.
// It is safe for concurrent use.
type ledger struct {
	mutex sync.Mutex
	// The fields below are guarded by mutex.
	notes   map[quarantine.Note]bool
	guards  []*quarantine.Guard
	failing bool
	calls   int
}

var errFailing = errors.New("the ledger is failing")

func (l *ledger) change(apply func() []quarantine.Note, isDeleted bool) error {
	l.mutex.Lock()
	l.calls++
	if l.failing {
		l.mutex.Unlock()
		return errFailing
	}
	changed, notified := apply(), l.guards
	l.mutex.Unlock()
	for _, guard := range notified {
		for _, note := range changed {
			guard.ApplyNote(note, isDeleted, time.Now())
		}
	}
	return nil
}

func (l *ledger) AddNotes(_ context.Context, notes []quarantine.Note) error {
	return l.change(func() []quarantine.Note {
		for _, note := range notes {
			l.notes[note] = true
		}
		return notes
	}, false)
}

func (l *ledger) ClaimNote(_ context.Context, note quarantine.Note) (bool, error) {
	isClaimed := false
	err := l.change(func() []quarantine.Note {
		if l.notes[note] {
			return nil
		}
		isClaimed, l.notes[note] = true, true
		return []quarantine.Note{note}
	}, false)
	return isClaimed, err
}

func (l *ledger) RemoveNotes(_ context.Context, notes []quarantine.Note) error {
	return l.change(func() []quarantine.Note {
		for _, note := range notes {
			delete(l.notes, note)
		}
		return notes
	}, true)
}

func (l *ledger) stored() map[quarantine.Note]bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return maps.Clone(l.notes)
}

func (l *ledger) callCount() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.calls
}

func (l *ledger) setFailing(failing bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.failing = failing
}

// recorder keeps the states that guards reported.
type recorder struct {
	mutex sync.Mutex
	// states is guarded by mutex.
	states []quarantine.State
}

func (r *recorder) StateChanged(_ exchange.Fingerprint, state quarantine.State, _ []fleet.Incarnation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.states = append(r.states, state)
}

func (r *recorder) LedgerFailed(string, error) {}

// cluster holds the guards of a test with their common ledger, and the servers that they can reach.
type cluster struct {
	ledger            *ledger
	network           *exchangetest.Network
	events            *recorder
	guards            []*quarantine.Guard
	ledgerUnavailable atomic.Bool
}

// withGuards runs a test with guards, in virtual time.
func withGuards(t *testing.T, count int, test func(g *WithT, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{ledger: &ledger{notes: make(map[quarantine.Note]bool)}, network: exchangetest.NewNetwork(), events: &recorder{}}
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for range count {
			guard := quarantine.New(quarantine.Options{
				Ledger: c.ledger, LedgerUnavailable: c.ledgerUnavailable.Load, Dialer: c.network, Events: c.events,
			})
			c.guards = append(c.guards, guard)
			running.Go(func() { _ = guard.Run(ctx) })
		}
		c.ledger.guards = c.guards
		test(NewWithT(t), c)
		cancel()
		running.Wait()
	})
}

// crash reports broken connections of a request to one guard. Probes find that the servers crashed,
// unless they were added to the network.
func (c *cluster) crash(guard *quarantine.Guard, request exchange.Fingerprint, servers ...string) {
	for _, server := range servers {
		guard.RecordBrokenConnection(request, fleet.Incarnation{ID: server}, server, time.Now())
	}
	synctest.Wait()
}

// addNotes writes crashes of servers under many requests to the ledger, as other nodes do.
func (c *cluster) addNotes(requests, servers int) {
	for number := range requests {
		var notes []quarantine.Note
		for server := range servers {
			notes = append(notes, quarantine.Note{
				Fingerprint: exchange.Fingerprint{7, byte(number), byte(number >> 8)}, Server: fleet.Incarnation{ID: string(rune('a' + server))},
			})
		}
		_ = c.ledger.AddNotes(context.Background(), notes)
	}
}

var deadly, other = exchange.Fingerprint{1}, exchange.Fingerprint{2}

// storeDelay is longer than it takes until what a node detects is in the ledger.
const storeDelay = 1500 * time.Millisecond
