package ctl_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/internal/armstats"
	"github.com/bramblemast/bramblemast/internal/ctl"
	"github.com/bramblemast/bramblemast/internal/operator/operatortest"
)

var _ = Describe("Reports", func() {
	var cluster *operatortest.Cluster

	BeforeEach(func() {
		cluster = operatortest.NewCluster(3)
		DeferCleanup(cluster.Close)
		published := run(tallyFile+"experiment:\n  "+"name: hedging\n  arms: [{name: eager, share: 0.25}, {name: idle, share: 0.25}]\n",
			at(cluster, "template", "publish", "-", "--change-id", changeID, "--author", "kari", "-m", "first")...)
		Expect(published.code).To(Equal(ctl.ExitOK), published.errors)
		cluster.Spread(tallyKey)
		record := func(node int, arm string, latency time.Duration, extra int) {
			cluster.Nodes[node].Experiments.Record(tallyKey, 1, arm,
				armstats.Sample{Latency: latency, Coverage: 1, Primary: 10, Extra: extra})
		}
		record(0, "control", 20*time.Millisecond, 1)
		record(1, "control", 20*time.Millisecond, 1)
		record(2, "eager", 10*time.Millisecond, 3)
	})

	DescribeTable("have a stable JSON form",
		func(golden string, arguments ...string) {
			got := run("", at(cluster, append(arguments, "--output", "json")...)...)
			Expect(got.code).To(Equal(ctl.ExitOK), got.errors)
			expectGolden(golden, got.output, cluster)
		},
		Entry("of one template", "template_get.json", "template", "get", "valgdata/tally"),
		Entry("of templates", "template_list.json", "template", "list", "--tenant", "valgdata"),
		Entry("of a history", "template_history.json", "template", "history", "valgdata/tally"),
		Entry("of nodes", "node_list.json", "node", "list"),
		Entry("of back ends", "backend_list.json", "backend", "list"),
		Entry("of a drain", "backend_drain.json", "backend", "drain", "10.0.0.1:9000", "--author", "kari"),
		Entry("of the configuration", "config_status.json", "config", "status"),
		Entry("of a settled change", "config_settle.json", "config", "settle", "valgdata/tally", changeID),
		Entry("of a comparison", "experiment_compare.json", "experiment", "compare", "valgdata/tally"),
	)

	It("have a stable JSON form of a conflict and of a difference", func() {
		changed := tallyFile + "limit: 7\n"
		conflict := run(changed, at(cluster, "template", "publish", "-", "-o", "json", "--author", "ola")...)
		Expect(conflict.code).To(Equal(ctl.ExitConflict))
		Expect(conflict.output).To(BeEmpty())
		Expect(conflict.errors).To(ContainSubstring(`"path": "limit"`))
		Expect(conflict.errors).To(ContainSubstring(`"exit_code": 2`))
		diff := run(changed, at(cluster, "template", "diff", "-", "-o", "json")...)
		Expect(diff.code).To(Equal(ctl.ExitOK))
		expectGolden("template_diff.json", diff.output, cluster)
	})

	It("compare arms side by side with ratios to control", func() {
		got := run("", at(cluster, "experiment", "compare", "valgdata/tally")...)
		Expect(got.code).To(Equal(ctl.ExitOK))
		expectGolden("experiment_compare.txt", got.output, cluster)
	})

	It("list the nodes that are behind or did not answer, and exit with 6", func() {
		older := *cluster.Stored(tallyKey)
		older.Revision = 0
		cluster.Nodes[1].Hold(&older)
		cluster.Nodes[2].Stop()
		got := run("", at(cluster, "config", "status")...)
		Expect(got.code).To(Equal(ctl.ExitIncomplete))
		Expect(got.output).To(ContainSubstring("2 of 3 nodes answered"))
		Expect(got.output).To(ContainSubstring("no answer: node node-3 in zone bergen"))
		Expect(got.output).To(ContainSubstring("node-2@0"))
	})

	It("come from the next node if one can't be reached", func() {
		cluster.Nodes[0].Stop()
		Expect(run("", at(cluster, "node", "list")...).code).To(Equal(ctl.ExitOK))
	})

	It("exit with 6 if a zone did not take in a drain", func() {
		cluster.Nodes[2].Stop()
		got := run("", at(cluster, "backend", "drain", "10.0.0.1:9000")...)
		Expect(got.code).To(Equal(ctl.ExitIncomplete))
		Expect(got.output).To(ContainSubstring("not in zone bergen"))
	})
})

var _ = Describe("The command line", func() {
	DescribeTable("exits with 1 on wrong use, and says what is wrong",
		func(message string, arguments ...string) {
			got := run("", arguments...)
			Expect(got.code).To(Equal(ctl.ExitUsage))
			Expect(got.errors).To(ContainSubstring(message))
			Expect(got.output).To(BeEmpty())
		},
		Entry("no command", "specify one command"),
		Entry("no verb", "specify one command", "template"),
		Entry("unknown verb", "Unknown command", "template", "burn"),
		Entry("unknown flag", "unknown flag", "node", "list", "--colour"),
		Entry("too many arguments", "unexpected argument", "node", "list", "all"),
		Entry("no file", "FILE", "template", "publish"),
		Entry("missing file", "no such file", "template", "publish", "/nonexistent/file.yaml"),
		Entry("malformed key", "TENANT/NAME", "template", "get", "tally"),
		Entry("malformed revision", "expected-revision", "template", "delete", "a/b", "--expected-revision", "x"),
		Entry("wrong format", "output", "node", "list", "-o", "xml"),
		Entry("no time", "--timeout", "node", "list", "--timeout", "0s"),
		Entry("absurd time", "--timeout", "node", "list", "--timeout", "99h"),
		Entry("--to without --from", "--from", "template", "diff", "a/b", "--to", "3"),
		Entry("rollback to nothing", "--to", "template", "rollback", "a/b", "--to", "0"),
	)

	It("exits with 4 if no node can be reached", func() {
		cluster := operatortest.NewCluster(1)
		cluster.Close()
		Expect(run("", at(cluster, "node", "list")...).code).To(Equal(ctl.ExitUnavailable))
		Expect(run(tallyFile, at(cluster, "template", "publish", "-")...).code).To(Equal(ctl.ExitUnavailable))
	})

	It("exits with 5 if the node refuses", func() {
		cluster := operatortest.NewCluster(1)
		DeferCleanup(cluster.Close)
		Expect(run("", at(cluster, "template", "get", "a/b")...).code).To(Equal(ctl.ExitRefused))
		Expect(run("", at(cluster, "backend", "drain", "nowhere:1")...).code).To(Equal(ctl.ExitRefused))
	})

	It("shows its version and its help, with examples for each command", func() {
		version := run("", "--version")
		Expect(version.code).To(Equal(ctl.ExitOK))
		Expect(version.output).To(Equal("bramblemastctl v1.2.3\n"))
		for noun, verbs := range map[string][]string{
			"template":   {"validate", "publish", "get", "list", "diff", "history", "rollback", "delete"},
			"experiment": {"start", "status", "stop", "compare"},
			"node":       {"list"},
			"backend":    {"list", "drain", "undrain"},
			"claim":      {"list", "get", "remove"},
			"config":     {"status", "settle"},
		} {
			for _, verb := range verbs {
				help := run("", noun, verb, "--help")
				Expect(help.code).To(Equal(ctl.ExitOK))
				Expect(help.output).To(ContainSubstring("bramblemastctl " + noun + " " + verb))
			}
		}
	})

	It("validates files without any node and lists every fault of each", func() {
		valid, invalid := file(tallyFile), file("tenant: valgdata\nname: tally\nservice: resultatside\nclass: never\ndeadline: 0s\n")
		Expect(run("", "template", "validate", valid).code).To(Equal(ctl.ExitOK))
		got := run("", "template", "validate", valid, invalid)
		Expect(got.code).To(Equal(ctl.ExitUsage))
		Expect(got.output).To(MatchRegexp(`valid +- +-`))
		Expect(got.output).To(MatchRegexp(`invalid +class `))
		Expect(got.output).To(MatchRegexp(`invalid +deadline `))
		Expect(run("", "template", "validate", valid, invalid, "-o", "json").output).To(ContainSubstring(`"path": "deadline"`))
	})
})
