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

// ledger is a store that all guards of a test share and hear of at once. It is safe for
// concurrent use.
type ledger struct {
	mutex sync.Mutex
	// The fields below are guarded by mutex.
	notes  map[quarantine.Note]bool
	guards []*quarantine.Guard
	broken bool
	calls  int
}

var errBroken = errors.New("the ledger is broken")

func (l *ledger) change(apply func() []quarantine.Note, isGone bool) error {
	l.mutex.Lock()
	l.calls++
	if l.broken {
		l.mutex.Unlock()
		return errBroken
	}
	changed, told := apply(), l.guards
	l.mutex.Unlock()
	for _, guard := range told {
		for _, note := range changed {
			guard.ApplyNote(note, isGone, time.Now())
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

func (l *ledger) held() map[quarantine.Note]bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return maps.Clone(l.notes)
}

func (l *ledger) count() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.calls
}

func (l *ledger) setBroken(broken bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.broken = broken
}

// recorder keeps the standings that guards told.
type recorder struct {
	mutex sync.Mutex
	// told is guarded by mutex.
	told []quarantine.State
}

func (r *recorder) StateChanged(_ exchange.Fingerprint, standing quarantine.State, _ []fleet.Incarnation) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.told = append(r.told, standing)
}

func (r *recorder) LedgerFailed(string, error) {}

// world is some guards with one ledger, and servers that they can reach.
type world struct {
	ledger  *ledger
	network *exchangetest.Network
	events  *recorder
	guards  []*quarantine.Guard
	lost    atomic.Bool
}

// in runs a test with guards in virtual time.
func in(t *testing.T, count int, test func(g *WithT, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{ledger: &ledger{notes: make(map[quarantine.Note]bool)}, network: exchangetest.NewNetwork(), events: &recorder{}}
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for range count {
			guard := quarantine.New(quarantine.Options{
				Ledger: w.ledger, LedgerUnavailable: w.lost.Load, Dialer: w.network, Events: w.events,
			})
			w.guards = append(w.guards, guard)
			running.Go(func() { _ = guard.Run(ctx) })
		}
		w.ledger.guards = w.guards
		test(NewWithT(t), w)
		cancel()
		running.Wait()
	})
}

// end lets servers end under a request at one node.
func (w *world) end(guard *quarantine.Guard, request exchange.Fingerprint, servers ...string) {
	for _, server := range servers {
		guard.RecordBrokenConnection(request, fleet.Incarnation{ID: server}, server, time.Now())
	}
	synctest.Wait()
}

// noteMany notes servers that ended under many requests in the ledger, as other nodes do.
func (w *world) noteMany(requests, servers int) {
	for number := range requests {
		var notes []quarantine.Note
		for server := range servers {
			notes = append(notes, quarantine.Note{
				Fingerprint: exchange.Fingerprint{7, byte(number), byte(number >> 8)}, Server: fleet.Incarnation{ID: string(rune('a' + server))},
			})
		}
		_ = w.ledger.AddNotes(context.Background(), notes)
	}
}

var deadly, other = exchange.Fingerprint{1}, exchange.Fingerprint{2}

// news is longer than a node takes to write what it found.
const news = 1500 * time.Millisecond
