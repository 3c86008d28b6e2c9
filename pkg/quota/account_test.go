package quota_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/quota"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// first is the view of a first coordinator of 67 nodes that all answer.
var first = quota.DeploymentView{IsFirst: true, Nodes: 67}

var largeLimit = route.RateLimit{PerSecond: 60, Burst: 60}

// report is what a node tells of counts since its start, nothing of it acknowledged before.
func report(asked, admitted int) quota.Usage {
	return quota.Usage{Incarnation: 1, Requests: uint64(asked), Admitted: int64(admitted), NewRequests: uint64(asked), NewAdmitted: int64(admitted), Share: 1}
}

// TestAReportThatComesTwiceCountsOnce, and so does one whose answer was lost.
func TestAReportThatComesTwiceCountsOnce(t *testing.T) {
	g := NewWithT(t)
	once, twice := quota.NewAccount(largeLimit, bounds, start, start), quota.NewAccount(largeLimit, bounds, start, start)
	now := start.Add(2 * time.Second)
	once.AddReport("a", report(30, 30), first, now)
	once.AddReport("a", report(50, 50), first, now)
	for range 3 {
		twice.AddReport("a", report(30, 30), first, now)
	}
	twice.AddReport("a", report(50, 50), first, now)
	twice.AddReport("a", report(40, 40), first, now)
	g.Expect(twice.Stats(now)).To(Equal(once.Stats(now)))
	g.Expect(once.Stats(now).Tokens).To(BeNumerically("~", 10, 0.01))
}

// TestAProcessThatStartsAgainCountsAnew.
func TestAProcessThatStartsAgainCountsAnew(t *testing.T) {
	g := NewWithT(t)
	account := quota.NewAccount(largeLimit, bounds, start, start)
	now := start.Add(2 * time.Second)
	account.AddReport("a", report(30, 30), first, now)
	again := report(5, 5)
	again.Incarnation = 2
	account.AddReport("a", again, first, now)
	g.Expect(account.Stats(now).Tokens).To(BeNumerically("~", 25, 0.01))
}

// TestANewAccountGivesTheRateButNoBurst: what was spent under the coordinator before is not
// known, and a tenant within its limit is served all the same.
func TestANewAccountGivesTheRateButNoBurst(t *testing.T) {
	g := NewWithT(t)
	calm, hot := quota.NewAccount(largeLimit, bounds, start, start), quota.NewAccount(largeLimit, bounds, start, start)
	asked := 0
	for step := 1; step <= 20; step++ {
		now := start.Add(time.Duration(step) * 50 * time.Millisecond)
		asked += 2
		calm.AddReport("a", report(asked, asked), first, now)
		hot.AddReport("a", report(10*asked, 10*asked), first, now)
		g.Expect(calm.Verdict(first, now).Share).To(BeEquivalentTo(1))
	}
	g.Expect(hot.Verdict(first, start.Add(time.Second)).Share).To(BeNumerically("<", 0.1))
}

// TestANewCoordinatorKeepsToTheShareThatNodesHad until it has heard of all requests.
func TestANewCoordinatorKeepsToTheShareThatNodesHad(t *testing.T) {
	g := NewWithT(t)
	account := quota.NewAccount(largeLimit, bounds, start, start)
	told := report(1, 0)
	told.Share = 0.125
	account.AddReport("a", told, first, start.Add(10*time.Millisecond))
	g.Expect(account.Verdict(first, start.Add(20*time.Millisecond)).Share).To(BeNumerically("<=", 0.125))
}

// TestNodesOutOfTouchKeepTheirEntitlements: a zone that is cut off goes on with them, and the
// others have the rest.
func TestNodesOutOfTouchKeepTheirEntitlements(t *testing.T) {
	g := NewWithT(t)
	account := quota.NewAccount(largeLimit, bounds, start, start)
	now := start.Add(10 * time.Millisecond)
	for index := range 4 {
		use := report(1, 1)
		use.EntitledRate, use.RecentRate = 15, 15
		account.AddReport(fmt.Sprint("node-", index), use, first, now)
	}
	cut := quota.DeploymentView{IsFirst: true, Nodes: 4, Silent: map[string]bool{"node-0": true, "node-1": true}}
	before := account.Stats(now).Tokens
	account.Verdict(cut, now.Add(time.Second))
	account.Verdict(cut, now.Add(time.Second))
	g.Expect(account.Stats(now).Tokens - before).To(BeNumerically("~", 30, 3))
}

// TestAStandInHasOnlyWhatItsNodesBring: two coordinators of one tenant grant no more than one.
func TestAStandInHasOnlyWhatItsNodesBring(t *testing.T) {
	g := NewWithT(t)
	standIn := quota.DeploymentView{Nodes: 67}
	account := quota.NewAccount(largeLimit, bounds, start, start)
	// More than its first burst is spent, so that the bucket does not run over.
	use := report(20, 20)
	use.EntitledRate = 4
	account.AddReport("a", use, standIn, start)
	account.AddReport("b", use, standIn, start)
	before := account.Stats(start).Tokens
	account.Verdict(standIn, start.Add(time.Second))
	g.Expect(account.Stats(start).Tokens - before).To(BeNumerically("~", 8, 1.5))
}

// TestALimitLoweredFarBelowWhatIsSentTakesHoldAtOnce: what was saved up counts no more.
func TestALimitLoweredFarBelowWhatIsSentTakesHoldAtOnce(t *testing.T) {
	g := NewWithT(t)
	account := quota.NewAccount(largeLimit, bounds, start, start)
	now := start.Add(5 * time.Second)
	account.AddReport("a", report(40, 40), first, now)
	account.SetLimit(route.RateLimit{PerSecond: 4, Burst: 4})
	now = now.Add(50 * time.Millisecond)
	account.AddReport("a", report(80, 80), first, now)
	g.Expect(account.Verdict(first, now).Share).To(BeNumerically("<", 0.05))
	g.Expect(account.Stats(now).Tokens).To(BeNumerically("<", 0))
}

// TestACoordinatorThatStoodStillGivesNoBurst: a stand-in may have spent it.
func TestACoordinatorThatStoodStillGivesNoBurst(t *testing.T) {
	g := NewWithT(t)
	account := quota.NewAccount(largeLimit, bounds, start, start)
	now := start.Add(5 * time.Second)
	account.Verdict(first, now)
	g.Expect(account.Stats(now).Tokens).To(BeEquivalentTo(60))
	account.DropSavedTokens()
	g.Expect(account.Stats(now).Tokens).To(BeEquivalentTo(0))
}
