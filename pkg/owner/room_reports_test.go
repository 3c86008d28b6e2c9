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

// TestAReportLeavesWhatItDoesNotName: during an overload the owner of a service is lost, and the
// next one answers a question before it has measured anything.
func TestAReportLeavesWhatItDoesNotName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		_, known, nodes := deployment(4, 2)
		transport, board := &slowPings{}, loadshed.NewAdmitter()
		client := owner.NewClient(rosterOf(nodes[0], known, nodes), transport, board, &returns{})
		key := loadshed.Key{Service: "s"}
		board.Update(key, roomShare(0.4), time.Now())
		plan := &fanout.Plan{Deadline: time.Now().Add(time.Minute)}
		question := fanout.Question{Owner: nodes[1].Name, Services: []string{"s"}, Plan: plan, Request: &exchange.Request{}}
		client.Ask(question, func(fanout.Report) {})
		time.Sleep(100 * time.Millisecond)
		report, err := (&ownerpb.Report{}).MarshalVT()
		g.Expect(err).NotTo(HaveOccurred())
		transport.opened[0](report, nil)
		g.Expect(board.ShareOf(key, loadshed.Class{}, time.Now())).To(Equal(0.4))
		time.Sleep(1500 * time.Millisecond)
		g.Expect(board.ShareOf(key, loadshed.Class{}, time.Now())).To(Equal(1.0), "what nobody repeats is forgotten")
	})
}

// TestReportsSpeakOfWhatWasMeasured: shortages, and room at services that the asking node takes for
// short. Services that were never short take no space in a message.
func TestReportsSpeakOfWhatWasMeasured(t *testing.T) {
	inRegion(t, func(g *WithT, _ *peer.Network, nodes map[string]*roomNode) {
		owning := nodes["owner"]
		question := &ownerpb.Question{Services: []string{"s", "unknown"}}
		doubting := &ownerpb.Question{Services: question.Services, AdmittedShares: []float64{0.5, 0.5}}
		owning.serve(300 * time.Millisecond)
		g.Expect(owning.announcer.RoomOf(doubting, time.Now())).To(BeEmpty(), "too early to tell")
		owning.serve(700 * time.Millisecond)
		g.Expect(owning.announcer.RoomOf(question, time.Now())).To(BeEmpty())
		room := owning.announcer.RoomOf(doubting, time.Now())
		g.Expect(room).To(HaveLen(1))
		g.Expect(room[0].Ranks).To(BeEmpty())
		owning.queues.waiting = 50
		owning.load(500 * time.Millisecond)
		short := owning.announcer.RoomOf(question, time.Now())
		g.Expect(short).To(HaveLen(1))
		g.Expect(short[0].Ranks[0].Share).To(BeNumerically("<", 0.5))
		time.Sleep(2 * time.Second)
		owning.queues.waiting = 0
		owning.serve(100 * time.Millisecond)
		g.Expect(owning.announcer.RoomOf(doubting, time.Now())).To(BeEmpty(), "what was measured is too old by now")
	})
}

// TestANewOwnerKeepsWhatItWasTold while it has not measured for long enough to find a shortage.
func TestANewOwnerKeepsWhatItWasTold(t *testing.T) {
	inRegion(t, func(g *WithT, network *peer.Network, nodes map[string]*roomNode) {
		owning, near := nodes["owner"], nodes["near"]
		owning.queues.waiting = 50
		owning.load(time.Second)
		told := near.board.ShareOf(loadshed.Key{Service: "s"}, loadshed.Class{}, time.Now())
		g.Expect(told).To(BeNumerically("<", 0.5))
		network.Cut([]peer.Address{"owner"}, []peer.Address{"near", "far"})
		near.serve(400 * time.Millisecond)
		g.Expect(near.board.ShareOf(loadshed.Key{Service: "s"}, loadshed.Class{}, time.Now())).To(BeNumerically("~", told, 0.1))
		near.serve(400 * time.Millisecond)
		g.Expect(near.board.ShareOf(loadshed.Key{Service: "s"}, loadshed.Class{}, time.Now())).To(Equal(1.0), "its own measurement is later")
	})
}

// serve offers requests of a service that its servers answer.
func (n *roomNode) serve(span time.Duration) {
	key := loadshed.Key{Service: "s"}
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(15 * time.Millisecond) {
		n.known.Meters.RecordAdmitted(key, loadshed.AdmittedRequest{Work: 20 * time.Millisecond, Share: 1, ForPeers: true}, time.Now())
		n.known.Meters.RecordServed(key, 20*time.Millisecond)
	}
}
