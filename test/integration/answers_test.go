package integration

import (
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/internal/lab/faultproxy"
	"github.com/bramblemast/bramblemast/internal/lab/load"
	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
	"github.com/bramblemast/bramblemast/internal/lab/topology"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// results is the service of the election results.
const results target.Service = "resultatside"

// tally and ticker are loads of the election results; the ticker streams.
var (
	tally  = load.TemplateLoad{Tenant: "valgsok", Template: "full-tally", Queries: []string{"", "group1/", "group7/"}, Limit: 20}
	ticker = load.TemplateLoad{Tenant: "valgsok", Template: "ticker", Limit: 5, Stream: true}
)

var _ = Describe("answers of a whole installation", Label("integration"), func() {
	var i *installation

	BeforeEach(func(ctx SpecContext) { i = newInstallation(GinkgoT().Context(), topology.PresetValgsok) })

	It("are whole and right without faults", func() {
		result := i.load(i.nodes, 100, 2*time.Second, tally, ticker)
		Expect(result.NotSent).To(BeZero())
		AddReportEntry("exchanges", i.exchanges.outcomes())
		i.expectNoViolation()
		Expect(i.oracle.Findings().Problems).To(BeZero())
	})

	It("come from one snapshot and count each part once while versions change and shards split and merge", func() {
		i.during(func() {
			for round := range 4 {
				time.Sleep(300 * time.Millisecond)
				_, err := i.admin.Publish(i.ctx, results, labapi.PublishRequest{StaggerMS: 200})
				Expect(err).NotTo(HaveOccurred())
				if round == 1 {
					_, err = i.admin.Split(i.ctx, results, labapi.SplitRequest{Group: "group1", Separate: true})
					Expect(err).NotTo(HaveOccurred())
				}
				if round == 2 {
					_, err = i.admin.Merge(i.ctx, results, labapi.MergeRequest{Left: "group2", Right: "group3"})
					Expect(err).NotTo(HaveOccurred())
				}
			}
		}, i.nodes, 150, 3*time.Second, tally, ticker)
		i.expectNoViolation()
	})

	It("state every gap while replicas are lost, frozen and cut off, two at once", func() {
		i.during(func() {
			time.Sleep(300 * time.Millisecond)
			for replica := range 4 {
				Expect(i.admin.Stop(i.ctx, i.addresses.Servers[replica].Address)).To(Succeed())
			}
			heal := i.cutZone(i.deployment.Zones()[1])
			time.Sleep(time.Second)
			heal()
			for replica := range 4 {
				Expect(i.admin.Start(i.ctx, i.addresses.Servers[replica].Address)).To(Succeed())
			}
			Expect(i.admin.SetFaults(i.ctx, labapi.Selector{Service: results, Group: "group2"}, labapi.Faults{Hang: true})).To(Succeed())
			time.Sleep(time.Second)
			Expect(i.admin.SetFaults(i.ctx, labapi.Selector{Service: results}, labapi.Faults{})).To(Succeed())
		}, i.nodes, 150, 4*time.Second, tally, ticker)
		i.expectNoViolation()
		Expect(i.oracle.Findings().Problems).To(BeNumerically(">", 0), "the faults did not show")
	})

	It("belong to their own request while back ends answer late, cut, corrupt and under wrong names", func() {
		faults := labapi.Faults{TruncateShare: 0.03, CorruptShare: 0.03, WrongIDShare: 0.03, WrongVersionShare: 0.03,
			WrongRangeShare: 0.03, ResetShare: 0.03, LateShare: 0.03, LateMS: 900, ErrorShare: 0.03}
		Expect(i.admin.SetFaults(i.ctx, labapi.Selector{Service: results}, faults)).To(Succeed())
		cut := i.rule(faultproxy.Selector{Zone: string(i.deployment.Zones()[2])},
			faultproxy.Faults{ToClient: faultproxy.DirectionFaults{ResetAfterBytes: 20_000}})
		i.load(i.nodes, 150, 3*time.Second, tally, ticker)
		cut()
		i.expectNoViolation()
	})

	It("stay right while a node is killed and another is frozen", func() {
		i.during(func() {
			time.Sleep(300 * time.Millisecond)
			i.nodes[1].signal(syscall.SIGSTOP)
			i.nodes[2].kill()
			time.Sleep(1500 * time.Millisecond)
			i.nodes[1].signal(syscall.SIGCONT)
			i.nodes[2].run()
		}, i.nodes, 150, 3*time.Second, tally, ticker)
		i.nodes[2].waitReady()
		after := i.load(i.nodes, 50, time.Second, tally)
		Expect(after.NotSent).To(BeZero())
		i.expectNoViolation()
	})
})
