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

// loseConnection is a script for a server that crashes when it runs a request.
func loseConnection(_ context.Context, request *backend.Request) (*backend.Response, error) {
	return nil, &outcome.Error{Step: "script", Peer: string(request.Target.Server), Reason: outcome.ReasonConnectionLost}
}

// addEightGroups adds eight groups of three servers, and enables retries.
func (f *fixture) addEightGroups() *fixture {
	for i, keys := range keyspace.Split(8) {
		f.cluster.addGroup(string(rune('a'+i)), 3, []target.Version{1}, keys)
	}
	f.cluster.updateCatalog()
	f.budget.burst = 1000
	f.spec.Retry = policy.RetrySpec{Policy: policy.RetryDeadlineAware, MaxAttempts: 3}
	return f
}

// These specs guard against a request that crashes every server that runs it: retried for each part,
// it would crash a second server of every shard. A request that only happened to run on crashing
// servers must still be answered.
var _ = Describe("A request whose servers crash", func() {
	It("is not sent to a second server of each part, but gets two trials", inVirtualTime(func() {
		f := newFixture().addEightGroups()
		var crashes atomic.Int64
		for _, server := range f.cluster.servers {
			f.cluster.scripts[server.ID] = delayed(time.Millisecond, func(ctx context.Context, request *backend.Request) (*backend.Response, error) {
				crashes.Add(1)
				return loseConnection(ctx, request)
			})
		}
		_, err := f.execute(nil)
		Expect(outcome.Of(err)).To(Equal(outcome.Unknown))
		Expect(crashes.Load()).To(BeNumerically("<=", 8+2+2), "eight primaries, the two retries sent before the request is suspect, and two trials")
	}))

	It("is answered by the other servers if it did not cause the crashes", inVirtualTime(func() {
		f := newFixture().addEightGroups()
		// The first server of each group crashes, whatever it runs.
		for number := 0; number < len(f.cluster.servers); number += 3 {
			f.cluster.scripts[f.cluster.servers[number].ID] = delayed(time.Millisecond, loseConnection)
		}
		f.spec.Replica.Policy = "first_candidate"
		answer, err := f.execute(nil)
		Expect(err).NotTo(HaveOccurred())
		f.expectAnswer(answer, 1)
	}))
})
