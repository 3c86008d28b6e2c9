package ctl_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/internal/ctl"
	"github.com/bramblemast/bramblemast/internal/operator/operatortest"
	"github.com/bramblemast/bramblemast/pkg/configstore"
)

// changeID is a well-formed id of a change.
const changeID = "01900000-0000-7000-8000-000000000001"

var _ = Describe("Changes", func() {
	var cluster *operatortest.Cluster

	publish := func(arguments ...string) result {
		return run(tallyFile, at(cluster, append([]string{"template", "publish", "-"}, arguments...)...)...)
	}

	BeforeEach(func() {
		cluster = operatortest.NewCluster(2)
		DeferCleanup(cluster.Close)
	})

	It("publishes, gets, edits and publishes again", func() {
		Expect(publish("--author", "kari", "-m", "first").code).To(Equal(ctl.ExitOK))
		cluster.Spread(tallyKey)
		got := run("", at(cluster, "template", "get", "valgdata/tally")...)
		Expect(got.code).To(Equal(ctl.ExitOK))
		edited := strings.Replace(got.output, "80ms", "90ms", 1)
		again := run(edited, at(cluster, "template", "publish", "-")...)
		Expect(again.code).To(Equal(ctl.ExitOK), again.errors)
		Expect(again.output).To(ContainSubstring("revision 2"))
		Expect(cluster.Stored(tallyKey).Deadline.Std().String()).To(Equal("90ms"))
	})

	It("shows both sides of a conflict and changes nothing", func() {
		Expect(publish("--author", "ola").code).To(Equal(ctl.ExitOK))
		mine := run(strings.Replace(tallyFile, "80ms", "95ms", 1), at(cluster, "template", "publish", "-", "--author", "kari")...)
		Expect(mine.code).To(Equal(ctl.ExitConflict))
		Expect(mine.errors).To(ContainSubstring(`author "ola"`))
		Expect(mine.errors).To(MatchRegexp(`deadline +"80ms" +"95ms"`))
		Expect(mine.errors).To(ContainSubstring("--expected-revision 1"))
		Expect(cluster.Stored(tallyKey).Revision).To(BeEquivalentTo(1))
	})

	It("settles a lost reply at another node and sends the change once", func() {
		cluster.Nodes[0].LoseReplies()
		published := publish()
		Expect(published.code).To(Equal(ctl.ExitOK), published.errors)
		Expect(published.output).To(ContainSubstring("revision 1"))
		Expect(cluster.Nodes[0].Writes()).To(Equal(1))
		Expect(cluster.Nodes[1].Writes()).To(BeZero())
	})

	It("goes on to the next node once a stalled one's change is settled as rejected", func() {
		cluster.Nodes[0].Stall()
		published := publish("--timeout", "200ms", "--change-id", changeID)
		Expect(published.code).To(Equal(ctl.ExitOK), published.errors)
		Expect(cluster.Stored(tallyKey).ChangeID).NotTo(Equal(changeID))
		Expect(cluster.Nodes[1].Writes()).To(Equal(1))
	})

	It("reports an unknown outcome with the command that settles it later", func() {
		cluster.Store.FailWrites(configstore.ReplyLost, 100)
		cluster.Nodes[0].LoseReplies()
		cluster.Nodes[1].Stop()
		only := []string{"--address", cluster.Nodes[0].Address(), "--timeout", "1s"}
		cluster.Nodes[0].OnWrite(func() { cluster.Store.SetUnavailable(true) })
		published := run(tallyFile, append(only, "template", "publish", "-", "--change-id", changeID)...)
		Expect(published.code).To(Equal(ctl.ExitUnknown))
		command := "config settle valgdata/tally " + changeID
		Expect(published.errors).To(ContainSubstring(command))

		still := run("", append(only, strings.Fields(command)...)...)
		Expect(still.code).To(Equal(ctl.ExitUnknown))
		cluster.Store.SetUnavailable(false)
		settled := run("", append(only, strings.Fields(command)...)...)
		Expect(settled.code).To(Equal(ctl.ExitOK), settled.errors)
		Expect(settled.output).To(ContainSubstring("accepted: valgdata/tally revision 1"))
	})

	It("settles a change that never arrived as not accepted", func() {
		settled := run("", at(cluster, "config", "settle", "valgdata/tally", changeID)...)
		Expect(settled.code).To(Equal(ctl.ExitIncomplete))
		Expect(settled.output).To(ContainSubstring("not accepted"))
	})

	It("reports a store that is away, and when to retry", func() {
		cluster.Store.SetUnavailable(true)
		published := publish()
		Expect(published.code).To(Equal(ctl.ExitUnavailable))
		Expect(published.errors).To(ContainSubstring("Try again in 2s"))
		Expect(cluster.Nodes[1].Writes()).To(Equal(1))
	})

	It("sends a change to the next node if one can't be reached", func() {
		cluster.Nodes[0].Stop()
		Expect(publish().code).To(Equal(ctl.ExitOK))
	})

	It("rolls back, deletes and refuses what is not there", func() {
		Expect(publish("--change-id", changeID).code).To(Equal(ctl.ExitOK))
		Expect(publish("--expected-revision", "1").code).To(Equal(ctl.ExitOK))
		cluster.Spread(tallyKey)
		back := run("", at(cluster, "template", "rollback", "valgdata/tally", "--to", "1")...)
		Expect(back.code).To(Equal(ctl.ExitOK), back.errors)
		Expect(run("", at(cluster, "template", "rollback", "valgdata/tally", "--to", "9", "--expected-revision", "3")...).code).To(Equal(ctl.ExitRefused))
		Expect(run("", at(cluster, "template", "delete", "valgdata/tally")...).code).To(Equal(ctl.ExitConflict))
		Expect(run("", at(cluster, "template", "delete", "valgdata/tally", "--expected-revision", "3")...).code).To(Equal(ctl.ExitOK))
		Expect(cluster.Stored(tallyKey).Deleted).To(BeTrue())
		cluster.Spread(tallyKey)
		Expect(run(experimentFile, at(cluster, "experiment", "start", "valgdata/tally", "-")...).code).To(Equal(ctl.ExitRefused))
	})
})

const experimentFile = `name: hedging
arms:
  - name: eager
    share: 0.25
    policies: {hedge: {policy: quantile, quantile: 0.9, delay: 1ms}}
`

var _ = Describe("Experiments", func() {
	var cluster *operatortest.Cluster

	experiment := func(input string, arguments ...string) result {
		defer cluster.Spread(tallyKey)
		return run(input, at(cluster, append([]string{"experiment"}, arguments...)...)...)
	}

	BeforeEach(func() {
		cluster = operatortest.NewCluster(2)
		DeferCleanup(cluster.Close)
		Expect(run(tallyFile, at(cluster, "template", "publish", "-")...).code).To(Equal(ctl.ExitOK))
		cluster.Spread(tallyKey)
	})

	It("starts as a new revision and stops as another", func() {
		started := experiment(experimentFile, "start", "valgdata/tally", "-")
		Expect(started.code).To(Equal(ctl.ExitOK), started.errors)
		Expect(cluster.Stored(tallyKey).Experiment.Arms).To(HaveLen(1))
		Expect(experiment(experimentFile, "start", "valgdata/tally", "-").code).To(Equal(ctl.ExitRefused))
		Expect(experiment(experimentFile, "start", "valgdata/tally", "-", "--replace").code).To(Equal(ctl.ExitOK))
		Expect(experiment("", "stop", "valgdata/tally", "--adopt", "nothing").code).To(Equal(ctl.ExitUsage))
		Expect(experiment("", "stop", "valgdata/tally").code).To(Equal(ctl.ExitOK))
		stopped := cluster.Stored(tallyKey)
		Expect(stopped.Experiment).To(BeNil())
		Expect(stopped.Revision).To(BeEquivalentTo(4))
		Expect(stopped.Policies.Hedge.Policy).To(BeEmpty())
		Expect(experiment("", "stop", "valgdata/tally").code).To(Equal(ctl.ExitRefused))
	})

	It("adopts the policies of an arm", func() {
		Expect(experiment(experimentFile, "start", "valgdata/tally", "-").code).To(Equal(ctl.ExitOK))
		Expect(experiment("", "stop", "valgdata/tally", "--adopt", "eager").code).To(Equal(ctl.ExitOK))
		Expect(cluster.Stored(tallyKey).Policies.Hedge.Quantile).To(Equal(0.9))
		Expect(cluster.Stored(tallyKey).Comment).To(Equal("stop experiment hedging, adopt arm eager"))
	})

	It("lists every fault of an experiment file with its path", func() {
		started := experiment("name: UPPER\narms:\n  - name: control\n    share: 2\n", "start", "valgdata/tally", "-")
		Expect(started.code).To(Equal(ctl.ExitUsage))
		for _, path := range []string{"experiment.name", "experiment.arms[0].name", "experiment.arms[0].share"} {
			Expect(started.errors).To(ContainSubstring(path))
		}
		Expect(cluster.Stored(tallyKey).Revision).To(BeEquivalentTo(1))
	})
})
