package claim

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/configstore"
	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// hangingStore answers no call until its context ends.
type hangingStore struct{ configstore.Store }

func (hangingStore) Get(ctx context.Context, _ string) (configstore.Entry, error) {
	<-ctx.Done()
	return configstore.Entry{}, configstore.ErrUnavailable
}

func (hangingStore) CompareAndSwap(ctx context.Context, _ string, _ []byte, _ uint64) error {
	<-ctx.Done()
	return configstore.ErrUnknown
}

func TestAcquireGivesUpOnAHangingStoreAfterOneTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		claimer := New(Options{Store: hangingStore{}, Node: "node-1"})
		begun := time.Now()
		_, err := claimer.Acquire(t.Context(), Request{Tenant: "t", Key: "k"})
		g.Expect(outcome.Of(err)).To(Equal(outcome.NotRun))
		g.Expect(outcome.ReasonOf(err)).To(Equal(outcome.ReasonStoreAway))
		g.Expect(time.Since(begun)).To(Equal(DefaultStoreTimeout))
	})
}
