package integration

import (
	"fmt"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/internal/lab/load"
	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
	"github.com/bramblemast/bramblemast/internal/lab/topology"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// tintOrders is the service of the orders for tinted stock.
const tintOrders target.Service = "tint-orders"

// orders is a load of not-repeatable requests; two of three callers send theirs
// again at another node.
var orders = load.TemplateLoad{Tenant: "colour-archive", Template: "tint-orders", NotRepeatable: true, RepeatShare: 0.67}

var _ = Describe("orders that must not be repeated", Label("integration"), func() {
	var i *installation

	BeforeEach(func(ctx SpecContext) { i = newInstallation(GinkgoT().Context(), topology.PresetColourArchive) })

	It("run at most once while back ends, the store, nodes and a zone fail, two at a time", func() {
		failing := labapi.Faults{ResetShare: 0.05, ErrorShare: 0.05, LateShare: 0.05, LateMS: 3500, ShedShare: 0.05}
		Expect(i.admin.SetFaults(i.ctx, labapi.Selector{Service: tintOrders}, failing)).To(Succeed())
		i.during(func() {
			i.losesRepliesAndIsAway()
			i.killsAndFreezes()
			i.isCutAndLosesReplies()
		}, i.nodes, 80, 6*time.Second, orders)
		AddReportEntry("orders", i.exchanges.outcomes())
		i.nodes[2].waitReady()
		i.expectRepeatsTold(30)
		i.expectNoViolation()
		Expect(i.oracle.Findings().Problems).To(BeNumerically(">", 0), "the faults did not show")
	})

	It("are answered again from the record once they have run, at every node", func() {
		i.load(i.nodes, 40, time.Second, orders)
		replayed := 0
		for _, exchange := range i.exchanges.all() {
			if exchange.Answer != nil && exchange.Answer.Replayed {
				replayed++
			}
			Expect(exchange.Answer).NotTo(BeNil(), "%s: %+v", exchange.RequestID, exchange.Problem)
			Expect(exchange.Answer.Replayed).To(Equal(exchange.Attempt > 1), exchange.RequestID)
		}
		AddReportEntry("replayed", fmt.Sprintf("%d of %d exchanges", replayed, len(i.exchanges.all())))
		Expect(replayed).To(BeNumerically(">", 0))
		i.expectNoViolation()
	})

	It("are refused at once, not run, while the store is away, and run after that", func() {
		one := newCaller()
		for _, mode := range []labapi.OutageMode{labapi.OutageRefuse, labapi.OutageError, labapi.OutageHang} {
			Expect(i.admin.SetStoreFaults(i.ctx, labapi.StoreFaults{Outage: mode})).To(Succeed())
			key := "away-" + string(mode)
			refused := one.send(i.ctx, i.nodes[0], key, order(key))
			AddReportEntry("refused while the store is away", fmt.Sprintf("%s: %s", mode, refused.Finished.Sub(refused.Sent)))
			// A store that hangs shows only by the time-out of a call, which is
			// two thirds of the template's deadline.
			expectRefusedAtOnce(refused, 2500*time.Millisecond)
			Expect(i.ran(key)).To(BeEmpty())
			Expect(i.admin.SetStoreFaults(i.ctx, labapi.StoreFaults{})).To(Succeed())
			Eventually(func() outcome.Outcome {
				return one.send(i.ctx, i.nodes[1], key, order(key)).Outcome()
			}, startTimeout, 200*time.Millisecond).Should(Equal(outcome.Completed))
			Expect(i.ran(key)).To(HaveLen(1))
		}
	})

	It("stay unknown when their node dies between sending and answering", func() {
		slow := labapi.Faults{SlowFactor: 500}
		Expect(i.admin.SetFaults(i.ctx, labapi.Selector{Service: tintOrders}, slow)).To(Succeed())
		one, answered := newCaller(), make(chan *load.Exchange, 1)
		go func() { answered <- one.send(i.ctx, i.nodes[0], "orphan", order("orphan")) }()
		Eventually(func() []labapi.Execution { return i.ran("orphan") }, startTimeout, pollInterval).Should(HaveLen(1))
		i.nodes[0].kill()
		var lost *load.Exchange
		Eventually(answered, startTimeout).Should(Receive(&lost))
		Expect(lost.Outcome()).To(Equal(outcome.Unknown))
		Expect(i.admin.SetStoreFaults(i.ctx, labapi.StoreFaults{LatencyMS: 200})).To(Succeed())
		for _, other := range i.nodes[1:] {
			repeated := newCaller().send(i.ctx, other, "orphan", order("orphan"))
			Expect(repeated.Problem).NotTo(BeNil())
			Expect(repeated.Problem.Outcome).To(Equal(outcome.Unknown))
			Expect(repeated.Problem.Reason).To(Equal(outcome.ReasonDuplicate))
		}
		Expect(i.ran("orphan")).To(HaveLen(1))
	})
})

// losesRepliesAndIsAway makes the store lose replies of committed writes, and
// then be away in two ways.
func (i *installation) losesRepliesAndIsAway() {
	GinkgoHelper()
	time.Sleep(300 * time.Millisecond)
	Expect(i.admin.SetStoreFaults(i.ctx, labapi.StoreFaults{LoseReplies: 20})).To(Succeed())
	time.Sleep(500 * time.Millisecond)
	Expect(i.admin.SetStoreFaults(i.ctx, labapi.StoreFaults{Outage: labapi.OutageRefuse})).To(Succeed())
	time.Sleep(300 * time.Millisecond)
	Expect(i.admin.SetStoreFaults(i.ctx, labapi.StoreFaults{Outage: labapi.OutageHang})).To(Succeed())
	time.Sleep(300 * time.Millisecond)
	Expect(i.admin.SetStoreFaults(i.ctx, labapi.StoreFaults{LatencyMS: 20})).To(Succeed())
}

// killsAndFreezes kills one node and freezes another, at the same time.
func (i *installation) killsAndFreezes() {
	GinkgoHelper()
	time.Sleep(300 * time.Millisecond)
	i.nodes[1].signal(syscall.SIGSTOP)
	i.nodes[2].kill()
	time.Sleep(time.Second)
	i.nodes[2].run()
	i.nodes[1].signal(syscall.SIGCONT)
}

// isCutAndLosesReplies cuts a zone off while the store loses replies.
func (i *installation) isCutAndLosesReplies() {
	GinkgoHelper()
	heal := i.cutZone(i.deployment.Zones()[0])
	Expect(i.admin.SetStoreFaults(i.ctx, labapi.StoreFaults{LoseReplies: 20})).To(Succeed())
	time.Sleep(time.Second)
	heal()
	Expect(i.admin.SetStoreFaults(i.ctx, labapi.StoreFaults{})).To(Succeed())
}

// ran returns the executions of an idempotency key at all back ends.
func (i *installation) ran(key string) []labapi.Execution {
	GinkgoHelper()
	log, err := i.admin.Executions(i.ctx, labapi.ExecutionsQuery{IdempotencyKey: key})
	Expect(err).NotTo(HaveOccurred())
	var ran []labapi.Execution
	for _, execution := range log {
		if execution.Ran() {
			ran = append(ran, execution)
		}
	}
	return ran
}

// expectRepeatsTold repeats orders that were answered, at the first node. Each
// is answered from the record, or told that its outcome is unknown if the
// record was lost with its node, but is never run again.
func (i *installation) expectRepeatsTold(most int) {
	GinkgoHelper()
	one, told := newCaller(), make(map[string]int)
	for _, exchange := range i.exchanges.all() {
		if exchange.Answer == nil || most == 0 {
			continue
		}
		most--
		repeated := one.send(i.ctx, i.nodes[0], exchange.Request.IdempotencyKey, exchange.Request.Body)
		Expect(repeated.Err).NotTo(HaveOccurred())
		if repeated.Answer == nil {
			told["unknown"]++
			Expect(repeated.Problem.Outcome).To(Equal(outcome.Unknown))
			continue
		}
		told["replayed"]++
		Expect(repeated.Answer.Replayed).To(BeTrue())
		Expect(repeated.Answer.Records).To(Equal(exchange.Answer.Records))
	}
	AddReportEntry("repeats of answered orders", fmt.Sprint(told))
	Expect(told["replayed"]).To(BeNumerically(">", 0))
}
