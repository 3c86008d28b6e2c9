package claim

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/bramblemast/bramblemast/pkg/configstore"
	"github.com/bramblemast/bramblemast/pkg/outcome"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var order = Request{Tenant: "archive", Key: "order 1/a", Content: []byte("ten litres of ochre")}

// inBubble runs body in virtual time with a store and two running claimers.
func inBubble(t *testing.T, body func(t *testing.T, store *configstore.Memory, one, other *Claimer)) {
	synctest.Test(t, func(t *testing.T) {
		store := configstore.NewMemory()
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		one := New(Options{Store: store, Node: "one", Retention: time.Hour, IsSweeper: func() bool { return true }})
		other := New(Options{Store: store, Node: "other", Retention: time.Hour})
		go one.Run(ctx)
		go other.Run(ctx)
		body(t, store, one, other)
	})
}

func mustAcquire(t *testing.T, claimer *Claimer) *Claim {
	t.Helper()
	claim, err := claimer.Acquire(t.Context(), order)
	if err != nil {
		t.Fatal(err)
	}
	return claim
}

// wantError checks the outcome and the cause of an error.
func wantError(t *testing.T, err error, known outcome.Outcome, cause error) {
	t.Helper()
	if outcome.Of(err) != known || (cause != nil && !errors.Is(err, cause)) {
		t.Errorf("got %v, want outcome %v and cause %v", err, known, cause)
	}
}

func TestRepeatsGetTheRecordedResult(t *testing.T) {
	inBubble(t, func(t *testing.T, _ *configstore.Memory, one, other *Claimer) {
		claim := mustAcquire(t, one)
		_, err := other.Acquire(t.Context(), order)
		wantError(t, err, outcome.Unknown, ErrInFlight)
		if err := claim.MaySend(); err != nil {
			t.Fatal(err)
		}
		wantError(t, claim.MaySend(), outcome.NotRun, ErrUsed)
		if err := claim.Complete(t.Context(), []byte("mixed")); err != nil {
			t.Fatal(err)
		}
		_, err = other.Acquire(t.Context(), order)
		var done *Done
		if !errors.As(err, &done) || string(done.Result) != "mixed" || done.Node != "one" {
			t.Errorf("got %v, want the recorded result", err)
		}
		changed := order
		changed.Content = []byte("eleven litres")
		_, err = other.Acquire(t.Context(), changed)
		wantError(t, err, outcome.NotRun, ErrOtherContent)
	})
}

func TestLargeResultsAreNotRecorded(t *testing.T) {
	inBubble(t, func(t *testing.T, _ *configstore.Memory, one, other *Claimer) {
		mustAcquire(t, one).Complete(t.Context(), make([]byte, DefaultMaxResultBytes+1))
		_, err := other.Acquire(t.Context(), order)
		var done *Done
		if !errors.As(err, &done) || !done.Dropped || done.Result != nil {
			t.Errorf("got %v, want done without a result", err)
		}
	})
}

func TestReleaseAndAbandon(t *testing.T) {
	inBubble(t, func(t *testing.T, _ *configstore.Memory, one, other *Claimer) {
		if err := mustAcquire(t, one).Release(t.Context()); err != nil {
			t.Fatal(err)
		}
		second := mustAcquire(t, other)
		if err := second.Abandon(t.Context()); err != nil {
			t.Fatal(err)
		}
		_, err := one.Acquire(t.Context(), order)
		wantError(t, err, outcome.Unknown, ErrOutcomeUnknown)
		if err := second.Release(t.Context()); err == nil {
			t.Error("a claim was finished twice")
		}
		records, err := one.List(t.Context())
		if err != nil || len(records) != 1 || records[0].Key != order.Key || records[0].Tenant != order.Tenant {
			t.Fatalf("list: %v %v", records, err)
		}
		if err := one.Remove(t.Context(), order.Tenant, order.Key, "another"); !errors.Is(err, ErrOtherClaim) {
			t.Errorf("removal by a wrong ID: %v", err)
		}
		if err := one.Remove(t.Context(), order.Tenant, order.Key, records[0].ClaimID); err != nil {
			t.Error(err)
		}
		held := mustAcquire(t, one)
		if err := one.Remove(t.Context(), order.Tenant, order.Key, held.ID()); !errors.Is(err, ErrClaimFresh) {
			t.Errorf("removal while the holder may send: %v", err)
		}
		time.Sleep(removalAge * DefaultSendWindow)
		if err := one.Remove(t.Context(), order.Tenant, order.Key, held.ID()); err != nil {
			t.Error(err)
		}
	})
}

func TestStoreAwayMeansNotRun(t *testing.T) {
	inBubble(t, func(t *testing.T, store *configstore.Memory, one, other *Claimer) {
		store.SetUnavailable(true)
		_, err := one.Acquire(t.Context(), order)
		wantError(t, err, outcome.NotRun, configstore.ErrUnavailable)
		var typed *outcome.Error
		if !errors.As(err, &typed) || typed.Reason != outcome.ReasonStoreAway || typed.RetryAfter == 0 {
			t.Errorf("got %v, want store_unavailable with a time to retry", err)
		}
		store.SetUnavailable(false)
		claim := mustAcquire(t, one)
		store.SetUnavailable(true)
		if err := claim.Release(t.Context()); err == nil {
			t.Error("released without a store")
		}
		store.SetUnavailable(false)
		time.Sleep(2 * pendingPeriodMax)
		mustAcquire(t, other)
	})
}

func TestLostRepliesAreSettled(t *testing.T) {
	for name, fault := range map[string]configstore.WriteFault{
		"reply lost":   configstore.ReplyLost,
		"request lost": configstore.RequestLost,
		"commit late":  configstore.CommitLate,
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, store *configstore.Memory, one, other *Claimer) {
				store.FailWrites(fault, 1)
				claim := mustAcquire(t, one)
				_, err := other.Acquire(t.Context(), order)
				wantError(t, err, outcome.Unknown, ErrInFlight)
				claim.Release(t.Context())
				time.Sleep(time.Minute)
				mustAcquire(t, other)
			})
		})
	}
}

func TestAbandonedWriteThatCommitsLateIsRemoved(t *testing.T) {
	inBubble(t, func(t *testing.T, store *configstore.Memory, one, other *Claimer) {
		store.FailWrites(configstore.CommitLate, maxAttempts)
		_, err := one.Acquire(t.Context(), order)
		wantError(t, err, outcome.NotRun, nil)
		time.Sleep(time.Minute)
		mustAcquire(t, other)
	})
}

func TestPausedHolderDoesNotSend(t *testing.T) {
	inBubble(t, func(t *testing.T, _ *configstore.Memory, one, other *Claimer) {
		paused := mustAcquire(t, other)
		time.Sleep(3 * time.Hour)
		if err := mustAcquire(t, one).MaySend(); err != nil {
			t.Fatal(err)
		}
		wantError(t, paused.MaySend(), outcome.NotRun, ErrLate)
		paused.Release(t.Context())
		_, err := other.Acquire(t.Context(), order)
		wantError(t, err, outcome.Unknown, ErrInFlight)
	})
}

func TestSweepRemovesOnlyWhatIsExpiredAndWasObserved(t *testing.T) {
	inBubble(t, func(t *testing.T, store *configstore.Memory, one, _ *Claimer) {
		mustAcquire(t, one).Complete(t.Context(), nil)
		time.Sleep(59 * time.Minute)
		if len(store.Entries()) != 1 {
			t.Error("a claim was swept before its retention ended")
		}
		time.Sleep(time.Hour)
		if len(store.Entries()) != 0 {
			t.Error("an expired claim was kept")
		}
		observed := make(observations)
		claim := one.newClaim(order)
		claim.document.CreatedAt = time.Now().Add(-48 * time.Hour)
		value, err := claim.document.encode()
		if err != nil {
			t.Fatal(err)
		}
		store.CompareAndSwap(t.Context(), claim.key, value, 0)
		one.sweep(t.Context(), observed)
		if len(store.Entries()) != 1 {
			t.Error("a claim was swept at first sight")
		}
	})
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	inBubble(t, func(t *testing.T, _ *configstore.Memory, one, _ *Claimer) {
		for _, request := range []Request{{Tenant: "t"}, {Key: "k"}, {Tenant: "t", Key: string(make([]byte, MaxKeyBytes+1))}} {
			_, err := one.Acquire(t.Context(), request)
			wantError(t, err, outcome.NotRun, nil)
		}
	})
}

func FuzzDecodeDocument(f *testing.F) {
	f.Add([]byte(`{"claim_id":"c","node":"n","digest":"d","state":"sent","created_at":"2024-01-01T00:00:00Z"}`))
	f.Add([]byte(`{"state":"done"}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		document, err := decode(value)
		if err != nil {
			return
		}
		encoded, err := document.encode()
		if err != nil {
			t.Skip("a time out of range")
		}
		again, err := decode(encoded)
		if err != nil || again.ClaimID != document.ClaimID || again.State != document.State {
			t.Fatalf("%+v became %+v (%v)", document, again, err)
		}
	})
}

func FuzzStoreKey(f *testing.F) {
	f.Add("tenant", "key/with slash")
	f.Fuzz(func(t *testing.T, tenant, key string) {
		gotTenant, gotKey, err := splitKey(storeKey(tenant, key))
		if err != nil || gotTenant != tenant || gotKey != key {
			t.Fatalf("%q %q became %q %q (%v)", tenant, key, gotTenant, gotKey, err)
		}
	})
}

// changingStore changes each claim right before it is deleted.
type changingStore struct {
	*configstore.Memory
	change func()
}

func (s changingStore) CompareAndDelete(ctx context.Context, key string, index uint64) error {
	s.change()
	return s.Memory.CompareAndDelete(ctx, key, index)
}

// TestRemovalLosesAgainstTheHolder has the holder finish between the look at
// its claim and the removal.
func TestRemovalLosesAgainstTheHolder(t *testing.T) {
	inBubble(t, func(t *testing.T, store *configstore.Memory, one, _ *Claimer) {
		held := mustAcquire(t, one)
		time.Sleep(removalAge * DefaultSendWindow)
		operators := New(Options{Node: "operators", Store: changingStore{Memory: store, change: func() {
			if err := held.Complete(t.Context(), []byte("result")); err != nil {
				t.Error(err)
			}
		}}})
		if err := operators.Remove(t.Context(), order.Tenant, order.Key, held.ID()); !errors.Is(err, ErrClaimChanged) {
			t.Errorf("removal: %v", err)
		}
		record, err := one.Lookup(t.Context(), order.Tenant, order.Key)
		if err != nil || record.State != StateDone {
			t.Errorf("found %+v, %v", record, err)
		}
		if err := operators.Remove(t.Context(), order.Tenant, order.Key, held.ID()); !errors.Is(err, ErrClaimDone) {
			t.Errorf("second removal: %v", err)
		}
	})
}
