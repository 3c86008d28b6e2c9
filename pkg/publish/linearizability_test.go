package publish

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/configstore"
)

// operation is what a client asked: to read, or to publish over a revision.
type operation struct {
	read     bool
	expected uint64
	author   string
}

// verdict is how a publication ended.
type verdict int

const (
	wasAccepted verdict = iota
	wasRefused
	wasNotRun
	wasUnknown
)

// observation is what the client got: a verdict, or the template read.
type observation struct {
	verdict  verdict
	revision uint64
	author   string
}

// register is the oracle's state: the template in force.
type register struct {
	revision uint64
	author   string
}

// firstAuthor published the revision that every history begins with.
const firstAuthor = "first"

// oracle is the sequential specification of one template.
var oracle = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{revision: 1, author: firstAuthor}} },
	Step: func(state, input, output any) []any {
		before, asked, got := state.(register), input.(operation), output.(observation)
		after := register{revision: before.revision + 1, author: asked.author}
		matches := before.revision == asked.expected
		switch {
		case asked.read && before == (register{got.revision, got.author}):
			return []any{before}
		case asked.read:
			return nil
		case got.verdict == wasAccepted && matches && got.revision == after.revision:
			return []any{after}
		case got.verdict == wasRefused && !matches, got.verdict == wasNotRun:
			return []any{before}
		case got.verdict == wasUnknown && matches:
			return []any{before, after}
		case got.verdict == wasUnknown:
			return []any{before}
		default:
			return nil
		}
	},
	Equal: func(one, other any) bool { return one == other },
}

// unsteadyStore delays every call at random on both ways, and lets some
// writes fail.
type unsteadyStore struct {
	*configstore.Memory
	// mutex guards random.
	mutex  sync.Mutex
	random *rand.Rand
}

func (s *unsteadyStore) pick(below int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.IntN(below)
}

func (s *unsteadyStore) travel() { time.Sleep(time.Duration(s.pick(5_000_000))) }

func (s *unsteadyStore) Get(ctx context.Context, key string) (configstore.Entry, error) {
	s.travel()
	defer s.travel()
	return s.Memory.Get(ctx, key)
}

func (s *unsteadyStore) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) error {
	s.travel()
	defer s.travel()
	if fault := s.pick(8); fault <= int(configstore.CommitLate) {
		s.FailWrites(configstore.WriteFault(fault), 1)
	}
	s.SetUnavailable(s.pick(20) == 0)
	defer s.SetUnavailable(false)
	return s.Memory.CompareAndSwap(ctx, key, value, index)
}

// history runs concurrent operators against an unsteady store and returns what
// they saw. An unknown publication may take effect at any later time.
func history(t *testing.T, seed uint64) []porcupine.Operation {
	const clients, callsEach = 5, 8
	store := &unsteadyStore{Memory: configstore.NewMemory(), random: rand.New(rand.NewPCG(seed, 0))}
	setUp, err := New(Options{Store: store.Memory})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := setUp.Publish(context.Background(), content(firstAuthor), 0); err != nil {
		t.Fatal(err)
	}
	var clock atomic.Int64
	var mutex sync.Mutex // guards recorded
	var recorded []porcupine.Operation
	var group sync.WaitGroup
	for client := range clients {
		group.Go(func() {
			publisher, err := New(Options{Store: store, Attempts: 2 + client%2, FirstBackoff: time.Millisecond})
			if err != nil {
				t.Error(err)
				return
			}
			known := uint64(1)
			for call := range callsEach {
				asked := operation{
					read: store.pick(3) == 0, expected: known, author: fmt.Sprintf("client%d-%d", client, call),
				}
				item := porcupine.Operation{ClientId: client, Input: asked, Call: clock.Add(1)}
				got := perform(t, publisher, asked)
				item.Output, item.Return = got, clock.Add(1)
				if got.verdict == wasUnknown {
					item.Return = 1 << 40
				}
				known = max(known, got.revision)
				mutex.Lock()
				recorded = append(recorded, item)
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	time.Sleep(configstore.LateCommitDelay)
	return recorded
}

func perform(t *testing.T, publisher *Publisher, asked operation) observation {
	if asked.read {
		return readOnce(t, publisher)
	}
	result, err := publisher.Publish(context.Background(), content(asked.author), asked.expected)
	var conflict *ConflictError
	var unknown *UnknownError
	switch {
	case err == nil:
		return observation{verdict: wasAccepted, revision: result.Template.Revision}
	case errors.As(err, &conflict) && conflict.Theirs != nil:
		return observation{verdict: wasRefused, revision: conflict.Theirs.Revision}
	case errors.As(err, &conflict):
		return observation{verdict: wasRefused}
	case errors.As(err, &unknown):
		return settle(publisher, unknown)
	default:
		return observation{verdict: wasNotRun}
	}
}

// settle asks at once what became of a doubtful change, as an operator may do
// while the write is still under way.
func settle(publisher *Publisher, unknown *UnknownError) observation {
	settlement, err := publisher.Settle(context.Background(), unknown.Key, unknown.ChangeID)
	switch {
	case err != nil || settlement.State == SettledForgotten:
		return observation{verdict: wasUnknown}
	case settlement.State == SettledAccepted:
		return observation{verdict: wasAccepted, revision: settlement.Change.Revision}
	default:
		return observation{verdict: wasNotRun}
	}
}

func readOnce(t *testing.T, publisher *Publisher) observation {
	for {
		current, err := publisher.Get(context.Background(), testKey)
		switch {
		case err == nil:
			return observation{revision: current.Revision, author: current.Author}
		case errors.Is(err, configstore.ErrNotFound):
			return observation{}
		case !errors.Is(err, configstore.ErrUnavailable):
			t.Error(err)
			return observation{}
		}
	}
}

// TestPublicationsAreLinearizable checks histories of racing operators whose
// replies get lost, whose requests get lost or commit late, and who settle what
// stays unknown.
func TestPublicationsAreLinearizable(t *testing.T) {
	const histories = 60
	verdicts := map[verdict]int{}
	for seed := range uint64(histories) {
		synctest.Test(t, func(t *testing.T) {
			recorded := history(t, seed)
			for _, item := range recorded {
				if !item.Input.(operation).read {
					verdicts[item.Output.(observation).verdict]++
				}
			}
			if !porcupine.CheckOperations(oracle.ToModel(), recorded) {
				t.Fatalf("seed %d: not linearizable: %+v", seed, recorded)
			}
		})
	}
	t.Logf("%d histories: %d accepted, %d refused, %d not run, %d unknown", histories,
		verdicts[wasAccepted], verdicts[wasRefused], verdicts[wasNotRun], verdicts[wasUnknown])
	for _, want := range []verdict{wasAccepted, wasRefused, wasNotRun, wasUnknown} {
		if verdicts[want] == 0 {
			t.Errorf("no history reached verdict %d", want)
		}
	}
}
