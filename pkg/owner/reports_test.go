package owner_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/loadshed"
	"github.com/bramblemast/bramblemast/pkg/owner"
	"github.com/bramblemast/bramblemast/pkg/owner/ownerpb"
	"github.com/bramblemast/bramblemast/pkg/peer"
)

// TestReportKeepsSharesOfUnnamedServices: during an overload the owner of a service is lost, and the
// next owner answers a question before it has measured anything. Its report must not reset the
// service's share.
func TestReportKeepsSharesOfUnnamedServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		_, known, nodes := deployment(4, 2)
		transport, admitter := &fakeTransport{}, loadshed.NewAdmitter()
		client := owner.NewClient(rosterOf(nodes[0], known, nodes), transport, admitter, &ownerEvents{})
		key := loadshed.Key{Service: "s"}
		admitter.Update(key, sharesOf(0.4), time.Now())
		plan := &fanout.Plan{Deadline: time.Now().Add(time.Minute)}
		question := fanout.Question{Owner: nodes[1].Name, Services: []string{"s"}, Plan: plan, Request: &exchange.Request{}}
		client.Ask(question, func(fanout.Report) {})
		time.Sleep(100 * time.Millisecond)
		report, err := (&ownerpb.Report{}).MarshalVT()
		g.Expect(err).NotTo(HaveOccurred())
		transport.opened[0](report, nil)
		g.Expect(admitter.ShareOf(key, loadshed.Class{}, time.Now())).To(Equal(0.4))
		time.Sleep(1500 * time.Millisecond)
		g.Expect(admitter.ShareOf(key, loadshed.Class{}, time.Now())).To(Equal(1.0), "shares that nobody repeats must expire")
	})
}

// TestReportsContainOnlyMeasuredServices: reports name services that are overloaded, and those that
// admit all requests although the asking node admits only a part. Services that were never
// overloaded take no space in a message.
func TestReportsContainOnlyMeasuredServices(t *testing.T) {
	inRegion(t, func(g *WithT, _ *peer.Network, nodes map[string]*measuringNode) {
		ownerNode := nodes["owner"]
		question := &ownerpb.Question{Services: []string{"s", "unknown"}}
		limitedQuestion := &ownerpb.Question{Services: question.Services, AdmittedShares: []float64{0.5, 0.5}}
		ownerNode.serveLoad(300 * time.Millisecond)
		g.Expect(ownerNode.announcer.MeasurementsFor(limitedQuestion, time.Now())).To(BeEmpty(), "not measured for long enough yet")
		ownerNode.serveLoad(700 * time.Millisecond)
		g.Expect(ownerNode.announcer.MeasurementsFor(question, time.Now())).To(BeEmpty())
		measurements := ownerNode.announcer.MeasurementsFor(limitedQuestion, time.Now())
		g.Expect(measurements).To(HaveLen(1))
		g.Expect(measurements[0].Ranks).To(BeEmpty())
		ownerNode.queues.waiting = 50
		ownerNode.offerLoad(500 * time.Millisecond)
		short := ownerNode.announcer.MeasurementsFor(question, time.Now())
		g.Expect(short).To(HaveLen(1))
		g.Expect(short[0].Ranks[0].Share).To(BeNumerically("<", 0.5))
		time.Sleep(2 * time.Second)
		ownerNode.queues.waiting = 0
		ownerNode.serveLoad(100 * time.Millisecond)
		g.Expect(ownerNode.announcer.MeasurementsFor(limitedQuestion, time.Now())).To(BeEmpty(), "the measurement has expired")
	})
}

// TestNewOwnerKeepsReceivedShares: a new owner keeps the shares that it received until it has
// measured for long enough to detect an overload itself.
func TestNewOwnerKeepsReceivedShares(t *testing.T) {
	inRegion(t, func(g *WithT, network *peer.Network, nodes map[string]*measuringNode) {
		ownerNode, near := nodes["owner"], nodes["near"]
		ownerNode.queues.waiting = 50
		ownerNode.offerLoad(time.Second)
		received := near.admitter.ShareOf(loadshed.Key{Service: "s"}, loadshed.Class{}, time.Now())
		g.Expect(received).To(BeNumerically("<", 0.5))
		network.Cut([]peer.Address{"owner"}, []peer.Address{"near", "far"})
		near.serveLoad(400 * time.Millisecond)
		g.Expect(near.admitter.ShareOf(loadshed.Key{Service: "s"}, loadshed.Class{}, time.Now())).To(BeNumerically("~", received, 0.1))
		near.serveLoad(400 * time.Millisecond)
		g.Expect(near.admitter.ShareOf(loadshed.Key{Service: "s"}, loadshed.Class{}, time.Now())).To(Equal(1.0), "its own measurement is newer")
	})
}

// serveLoad offers requests of a service to a node for a while; all of them are served.
func (n *measuringNode) serveLoad(span time.Duration) {
	key := loadshed.Key{Service: "s"}
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(15 * time.Millisecond) {
		n.admission.Meters.RecordAdmitted(key, loadshed.AdmittedRequest{Work: 20 * time.Millisecond, Share: 1, ForPeers: true}, time.Now())
		n.admission.Meters.RecordServed(key, 20*time.Millisecond)
	}
}
