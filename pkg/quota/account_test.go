package quota_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/quota"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// firstCoordinatorView is the view of a first coordinator of 67 nodes that all answer.
var firstCoordinatorView = quota.DeploymentView{IsFirst: true, Nodes: 67}

var largeLimit = route.RateLimit{PerSecond: 60, Burst: 60}

// report returns the usage of a node with the given counts since its start, none of them
// acknowledged.
func report(requests, admitted int) quota.Usage {
	return quota.Usage{Incarnation: 1, Requests: uint64(requests), Admitted: int64(admitted), NewRequests: uint64(requests), NewAdmitted: int64(admitted), Share: 1}
}

// TestADuplicateReportCountsOnce guards against counting a report twice that arrives again, or that
// is repeated because its answer was lost.
func TestADuplicateReportCountsOnce(t *testing.T) {
	g := NewWithT(t)
	once, twice := quota.NewAccount(largeLimit, bounds, start, start), quota.NewAccount(largeLimit, bounds, start, start)
	now := start.Add(2 * time.Second)
	once.AddReport("a", report(30, 30), firstCoordinatorView, now)
	once.AddReport("a", report(50, 50), firstCoordinatorView, now)
	for range 3 {
		twice.AddReport("a", report(30, 30), firstCoordinatorView, now)
	}
	twice.AddReport("a", report(50, 50), firstCoordinatorView, now)
	twice.AddReport("a", report(40, 40), firstCoordinatorView, now)
	g.Expect(twice.Stats(now)).To(Equal(once.Stats(now)))
	g.Expect(once.Stats(now).Tokens).To(BeNumerically("~", 10, 0.01))
}

// TestARestartedProcessCountsFromZero guards against subtracting the counts of an earlier run of a
// node from those of the new one.
func TestARestartedProcessCountsFromZero(t *testing.T) {
	g := NewWithT(t)
	account := quota.NewAccount(largeLimit, bounds, start, start)
	now := start.Add(2 * time.Second)
	account.AddReport("a", report(30, 30), firstCoordinatorView, now)
	again := report(5, 5)
	again.Incarnation = 2
	account.AddReport("a", again, firstCoordinatorView, now)
	g.Expect(account.Stats(now).Tokens).To(BeNumerically("~", 25, 0.01))
}

// TestANewAccountGrantsTheRateButNoBurst guards against a second burst when the coordinator
// changes: the new one does not know what was spent before. A tenant within its limit is still
// served.
func TestANewAccountGrantsTheRateButNoBurst(t *testing.T) {
	g := NewWithT(t)
	withinLimit, overloaded := quota.NewAccount(largeLimit, bounds, start, start), quota.NewAccount(largeLimit, bounds, start, start)
	requests := 0
	for step := 1; step <= 20; step++ {
		now := start.Add(time.Duration(step) * 50 * time.Millisecond)
		requests += 2
		withinLimit.AddReport("a", report(requests, requests), firstCoordinatorView, now)
		overloaded.AddReport("a", report(10*requests, 10*requests), firstCoordinatorView, now)
		g.Expect(withinLimit.Verdict(firstCoordinatorView, now).Share).To(BeEquivalentTo(1))
	}
	g.Expect(overloaded.Verdict(firstCoordinatorView, start.Add(time.Second)).Share).To(BeNumerically("<", 0.1))
}

// TestANewCoordinatorKeepsTheShareOfTheOneBefore guards against a share of 1 from a coordinator
// that has received few reports so far.
func TestANewCoordinatorKeepsTheShareOfTheOneBefore(t *testing.T) {
	g := NewWithT(t)
	account := quota.NewAccount(largeLimit, bounds, start, start)
	usage := report(1, 0)
	usage.Share = 0.125
	account.AddReport("a", usage, firstCoordinatorView, start.Add(10*time.Millisecond))
	g.Expect(account.Verdict(firstCoordinatorView, start.Add(20*time.Millisecond)).Share).To(BeNumerically("<=", 0.125))
}

// TestSilentNodesKeepTheirEntitlements guards against granting the whole limit while nodes are cut
// off that keep admitting by their entitlements: the other nodes have the rest only.
func TestSilentNodesKeepTheirEntitlements(t *testing.T) {
	g := NewWithT(t)
	account := quota.NewAccount(largeLimit, bounds, start, start)
	now := start.Add(10 * time.Millisecond)
	for index := range 4 {
		usage := report(1, 1)
		usage.EntitledRate, usage.RecentRate = 15, 15
		account.AddReport(fmt.Sprint("node-", index), usage, firstCoordinatorView, now)
	}
	withSilent := quota.DeploymentView{IsFirst: true, Nodes: 4, Silent: map[string]bool{"node-0": true, "node-1": true}}
	before := account.Stats(now).Tokens
	account.Verdict(withSilent, now.Add(time.Second))
	account.Verdict(withSilent, now.Add(time.Second))
	g.Expect(account.Stats(now).Tokens - before).To(BeNumerically("~", 30, 3))
}

// TestAStandInGrantsOnlyTheEntitlementsOfItsNodes guards against two coordinators of one tenant
// that each grant the whole limit.
func TestAStandInGrantsOnlyTheEntitlementsOfItsNodes(t *testing.T) {
	g := NewWithT(t)
	standIn := quota.DeploymentView{Nodes: 67}
	account := quota.NewAccount(largeLimit, bounds, start, start)
	// More than its first burst is spent, so that the bucket does not overflow.
	usage := report(20, 20)
	usage.EntitledRate = 4
	account.AddReport("a", usage, standIn, start)
	account.AddReport("b", usage, standIn, start)
	before := account.Stats(start).Tokens
	account.Verdict(standIn, start.Add(time.Second))
	g.Expect(account.Stats(start).Tokens - before).To(BeNumerically("~", 8, 1.5))
}

// TestALimitLoweredFarBelowTheDemandTakesEffectAtOnce guards against spending tokens that were
// saved under the old limit.
func TestALimitLoweredFarBelowTheDemandTakesEffectAtOnce(t *testing.T) {
	g := NewWithT(t)
	account := quota.NewAccount(largeLimit, bounds, start, start)
	now := start.Add(5 * time.Second)
	account.AddReport("a", report(40, 40), firstCoordinatorView, now)
	account.SetLimit(route.RateLimit{PerSecond: 4, Burst: 4})
	now = now.Add(50 * time.Millisecond)
	account.AddReport("a", report(80, 80), firstCoordinatorView, now)
	g.Expect(account.Verdict(firstCoordinatorView, now).Share).To(BeNumerically("<", 0.05))
	g.Expect(account.Stats(now).Tokens).To(BeNumerically("<", 0))
}

// TestACoordinatorThatWasSuspendedGrantsNoBurst guards against a second burst: a stand-in may have
// spent it meanwhile.
func TestACoordinatorThatWasSuspendedGrantsNoBurst(t *testing.T) {
	g := NewWithT(t)
	account := quota.NewAccount(largeLimit, bounds, start, start)
	now := start.Add(5 * time.Second)
	account.Verdict(firstCoordinatorView, now)
	g.Expect(account.Stats(now).Tokens).To(BeEquivalentTo(60))
	account.DropSavedTokens()
	g.Expect(account.Stats(now).Tokens).To(BeEquivalentTo(0))
}
