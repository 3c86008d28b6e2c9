package quota_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/quota"
)

// TestACoordinatorThatStartsCountsWhatEarlierOnesGranted guards against granting the same tokens
// again after a restart: ten nodes that started a second ago have admitted 200 of 1,000 requests
// under other coordinators, at a limit of 60 a second. A tenant within its limit is still served.
func TestACoordinatorThatStartsCountsWhatEarlierOnesGranted(t *testing.T) {
	g := NewWithT(t)
	shareAfter := func(requests, admitted int) float64 {
		now := start.Add(time.Second)
		account := quota.NewAccount(largeLimit, bounds, now, now)
		account.SetProcessStart(start)
		for number := range 10 {
			now = now.Add(50 * time.Millisecond)
			usage := quota.Usage{Incarnation: 1, Requests: uint64(requests), Admitted: int64(admitted), NewRequests: 1, NewAdmitted: int64(admitted), Share: 1}
			account.AddReport(fmt.Sprint(number), usage, firstCoordinatorView, now)
		}
		return account.Verdict(firstCoordinatorView, now).Share
	}
	g.Expect(shareAfter(100, 20)).To(BeNumerically("<=", 0.01))
	g.Expect(shareAfter(3, 3)).To(BeEquivalentTo(1))
}

// TestANodeThatStartsTellsEachCoordinatorAllThatItAdmitted guards against coordinators that replace
// each other during a start and do not know what the ones before granted. After a window, a node
// reports only what is new.
func TestANodeThatStartsTellsEachCoordinatorAllThatItAdmitted(t *testing.T) {
	g := NewWithT(t)
	meter := quota.NewMeter("caller", largeLimit, bounds, 67, true, start)
	meter.SetProcessStart(start)
	meter.SetMode(quota.WithFirst, start)
	for number := range 3 {
		g.Expect(meter.Admit(fmt.Sprint(number), start).IsAdmitted).To(BeTrue())
	}
	usage, _ := meter.Report(1, start)
	meter.Acknowledge(usage, quota.Verdict{Share: 1, IsFirst: true}, start)
	g.Expect(meter.Admit("another", start).IsAdmitted).To(BeTrue())
	usage, _ = meter.Report(1, start)
	g.Expect(usage.NewAdmitted).To(BeEquivalentTo(4))
	g.Expect(usage.NewRequests).To(BeEquivalentTo(1))
	usage, _ = meter.Report(1, start.Add(bounds.Window))
	g.Expect(usage.NewAdmitted).To(BeEquivalentTo(1))
}
