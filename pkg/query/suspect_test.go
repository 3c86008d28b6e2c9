package query_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// loseConnection is a script of a server that ends when it runs a request.
func loseConnection(_ context.Context, request *backend.Request) (*backend.Response, error) {
	return nil, &outcome.Error{Step: "script", Peer: string(request.Target.Server), Reason: outcome.ReasonConnectionLost}
}

// eighths adds eight groups of three servers, and lets requests be tried again.
func (f *fixture) addEightGroups() *fixture {
	for i, keys := range keyspace.Split(8) {
		f.cluster.addGroup(string(rune('a'+i)), 3, []target.Version{1}, keys)
	}
	f.cluster.updateCatalog()
	f.budget.burst = 1000
	f.spec.Retry = policy.RetrySpec{Policy: policy.RetryDeadlineAware, MaxAttempts: 3}
	return f
}

var _ = Describe("A request under which servers end", func() {
	It("is not sent to a second server of each part, but tried twice", inVirtualTime(func() {
		f := newFixture().addEightGroups()
		var ended atomic.Int64
		for _, server := range f.cluster.servers {
			f.cluster.scripts[server.ID] = delayed(time.Millisecond, func(ctx context.Context, request *backend.Request) (*backend.Response, error) {
				ended.Add(1)
				return loseConnection(ctx, request)
			})
		}
		_, err := f.execute(nil)
		Expect(outcome.Of(err)).To(Equal(outcome.Unknown))
		Expect(ended.Load()).To(BeNumerically("<=", 8+2+2), "two ends are retried at once, and two trials")
	}))

	It("is answered by the others if it was there by chance", inVirtualTime(func() {
		f := newFixture().addEightGroups()
		// The first server of each group ends, whatever it runs.
		for number := 0; number < len(f.cluster.servers); number += 3 {
			f.cluster.scripts[f.cluster.servers[number].ID] = delayed(time.Millisecond, loseConnection)
		}
		f.spec.Replica.Policy = "first_candidate"
		answer, err := f.execute(nil)
		Expect(err).NotTo(HaveOccurred())
		f.expectAnswer(answer, 1)
	}))
})
