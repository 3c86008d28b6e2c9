package quarantine_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
	"github.com/bramblemast/bramblemast/pkg/quarantine/quarantinepb"
)

// messageNetwork carries messages between the nodes of a test. It is safe for concurrent use.
type messageNetwork struct {
	mutex sync.Mutex
	// handlers, calls, largest and delivery are guarded by mutex.
	handlers map[peer.Address]peer.Handler
	// calls counts the messages; largest is the greatest number of notes in one.
	calls   int
	largest int
	// delivery returns how often a message to a node arrives, and after which delay; nil delivers
	// each once, without delay.
	delivery func(to peer.Address) (times int, delay time.Duration)
}

// testTransport connects one node to the network. It implements peer.Transport.
type testTransport struct {
	net     *messageNetwork
	address peer.Address
}

var errLost = errors.New("the message is lost")

func (t testTransport) Address() peer.Address { return t.address }

func (t testTransport) Handle(_ peer.Kind, handler peer.Handler) {
	t.net.mutex.Lock()
	defer t.net.mutex.Unlock()
	t.net.handlers[t.address] = handler
}

func (t testTransport) Call(ctx context.Context, address peer.Address, _ peer.Kind, request, _ proto.Message) error {
	body, err := proto.Marshal(request)
	if err != nil {
		return err
	}
	network := t.net
	network.mutex.Lock()
	handler, times, delay := network.handlers[address], 1, time.Duration(0)
	if network.delivery != nil {
		times, delay = network.delivery(address)
	}
	network.calls++
	network.largest = max(network.largest, len(request.(*quarantinepb.News).Notes))
	network.mutex.Unlock()
	if handler == nil || times == 0 {
		return errLost
	}
	time.Sleep(delay)
	for range times {
		if _, err := handler(ctx, "", body); err != nil {
			return err
		}
	}
	return nil
}

func (n *messageNetwork) callCount() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.calls
}

func (n *messageNetwork) setDelivery(delivery func(peer.Address) (int, time.Duration)) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.delivery = delivery
}

func address(number int) peer.Address { return peer.Address(fmt.Sprint("n", number)) }

// withGossip runs a test with guards that notify each other directly, in virtual time.
func withGossip(t *testing.T, count int, test func(g *WithT, c *cluster, network *messageNetwork)) {
	t.Helper()
	network := &messageNetwork{handlers: make(map[peer.Address]peer.Handler)}
	withGuards(t, count, func(g *WithT, c *cluster) {
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		var nodes []peer.Address
		for number := range count {
			nodes = append(nodes, address(number))
		}
		for number, guard := range c.guards {
			gossiper := quarantine.NewGossiper(guard, testTransport{net: network, address: nodes[number]})
			gossiper.SetNodes(nodes)
			running.Go(func() { _ = gossiper.Run(ctx) })
		}
		test(g, c, network)
		cancel()
		running.Wait()
	})
}

// gossipDelay is longer than a node takes to notify others of a suspect request, and much shorter
// than notes take through the store.
const gossipDelay = 50 * time.Millisecond

// While the store is unavailable, crashes, trials and answers must reach all nodes directly.
func TestASuspectRequestIsKnownToAllNodesAtOnce(t *testing.T) {
	withGossip(t, 6, func(g *WithT, c *cluster, _ *messageNetwork) {
		c.ledger.setFailing(true)
		c.ledgerUnavailable.Store(true)
		c.crash(c.guards[0], deadly, "a", "b", "c")
		c.crash(c.guards[0], other, "a", "b", "c")
		time.Sleep(gossipDelay)
		for _, guard := range c.guards {
			g.Expect(guard.State(deadly)).To(Equal(quarantine.Suspect))
			g.Expect(guard.CrashedServers(deadly)).To(HaveLen(3))
		}
		granted := 0
		for _, guard := range c.guards {
			if guard.ClaimTrial(context.Background(), deadly) != nil {
				granted++
			}
			time.Sleep(gossipDelay)
		}
		g.Expect(granted).To(Equal(quarantine.ImmediateTrials), "without the store, nodes learn of each other's trials directly")
		c.guards[3].RecordAnswer(other, time.Now())
		time.Sleep(gossipDelay)
		for _, guard := range c.guards {
			g.Expect(guard.State(deadly)).To(Equal(quarantine.Quarantined))
			g.Expect(guard.State(other)).To(Equal(quarantine.Clear))
		}
	})
}

// A trial made without the store that reached no server shows nothing of the request. It may be
// made again by the same node and by others.
func TestATrialWithoutTheStoreThatReachedNoServerIsMadeAgain(t *testing.T) {
	withGossip(t, 3, func(g *WithT, c *cluster, _ *messageNetwork) {
		c.ledger.setFailing(true)
		c.ledgerUnavailable.Store(true)
		c.crash(c.guards[0], deadly, "a", "b", "c")
		time.Sleep(gossipDelay)
		for _, number := range []int{0, 1, 0, 1} {
			trial := c.guards[number].ClaimTrial(context.Background(), deadly)
			g.Expect(trial).NotTo(BeNil())
			time.Sleep(gossipDelay)
			trial.Release()
			time.Sleep(gossipDelay)
			for _, guard := range c.guards {
				g.Expect(guard.State(deadly)).To(Equal(quarantine.Suspect))
			}
		}
	})
}

// Crashes that different nodes see under a request add up within a second, without the store.
func TestCrashesSeenByDifferentNodesAddUp(t *testing.T) {
	withGossip(t, 3, func(g *WithT, c *cluster, _ *messageNetwork) {
		c.ledger.setFailing(true)
		c.ledgerUnavailable.Store(true)
		for index, guard := range c.guards {
			c.crash(guard, deadly, fmt.Sprint("server", index))
		}
		time.Sleep(900 * time.Millisecond)
		for _, guard := range c.guards {
			g.Expect(guard.State(deadly)).To(Equal(quarantine.Suspect))
		}
	})
}

// Only the node that announced crashes writes them to the store, and only once; otherwise each
// crash would cost a call of every node.
func TestANodeDoesNotWriteCrashesAnnouncedByOthers(t *testing.T) {
	withGossip(t, 4, func(g *WithT, c *cluster, _ *messageNetwork) {
		c.ledger.setFailing(true)
		c.ledgerUnavailable.Store(true)
		c.crash(c.guards[0], deadly, "a", "b", "c")
		time.Sleep(gossipDelay)
		c.ledger.setFailing(false)
		c.ledgerUnavailable.Store(false)
		time.Sleep(storeDelay)
		g.Expect(c.ledger.stored()).To(HaveLen(3))
		c.ledger.mutex.Lock()
		defer c.ledger.mutex.Unlock()
		g.Expect(c.ledger.calls).To(Equal(1))
	})
}

// If several nodes detect crashes at once, each receives the others' before it writes its own. They
// must not all leave the writing to each other.
func TestWhatSeveralNodesFoundAtOnceIsWritten(t *testing.T) {
	withGossip(t, 12, func(g *WithT, c *cluster, _ *messageNetwork) {
		c.crash(c.guards[0], deadly, "a")
		c.crash(c.guards[1], deadly, "d")
		time.Sleep(10 * time.Millisecond)
		c.crash(c.guards[0], deadly, "b", "c")
		c.crash(c.guards[1], deadly, "e", "f")
		time.Sleep(15 * time.Second)
		g.Expect(len(c.ledger.stored())).To(BeNumerically(">=", quarantine.SuspectAfter), "a node that starts later must learn of the request from the store")
		g.Expect(c.ledger.callCount()).To(BeNumerically("<=", 2), "one node writes the crashes for all")
	})
}

// If the node that announced crashes stops before it has written them, another node writes them.
func TestWhatANodeToldThatEndsIsWrittenByAnother(t *testing.T) {
	withGossip(t, 4, func(g *WithT, c *cluster, network *messageNetwork) {
		sender := testTransport{net: network, address: "ended"}
		for _, server := range []string{"a", "b", "c"} {
			message := &quarantinepb.News{Notes: []*quarantinepb.Note{{Fingerprint: deadly[:], Server: server}}}
			for number := range c.guards {
				g.Expect(sender.Call(context.Background(), address(number), "", message, nil)).To(Succeed())
			}
		}
		time.Sleep(2 * time.Second)
		g.Expect(c.ledger.callCount()).To(BeZero(), "the announcing node is given time to write the crashes")
		time.Sleep(15 * time.Second)
		g.Expect(c.ledger.stored()).To(HaveLen(3))
		g.Expect(c.ledger.callCount()).To(Equal(1))
	})
}

// When the store returns after a long time, the nodes that received announced crashes must not all
// write them.
func TestOnlyTheAnnouncingNodeWritesWhenTheStoreReturns(t *testing.T) {
	withGossip(t, 12, func(g *WithT, c *cluster, _ *messageNetwork) {
		c.ledger.setFailing(true)
		c.ledgerUnavailable.Store(true)
		c.crash(c.guards[0], deadly, "a", "b", "c")
		time.Sleep(time.Minute)
		c.ledger.setFailing(false)
		c.ledgerUnavailable.Store(false)
		time.Sleep(storeDelay)
		g.Expect(c.ledger.stored()).To(HaveLen(3))
		g.Expect(c.ledger.callCount()).To(BeNumerically("<=", 3))
	})
}

// A node that learns of an answer only by the removal of notes from the store must also drop the
// crashes that were announced but never written.
func TestAnAnswerKnownFromTheStoreAloneClears(t *testing.T) {
	withGossip(t, 3, func(g *WithT, c *cluster, network *messageNetwork) {
		c.crash(c.guards[0], deadly, "a", "b", "c", "d", "e", "f", "g", "h")
		time.Sleep(storeDelay)
		g.Expect(c.guards[2].CrashedServers(deadly)).To(HaveLen(8))
		network.setDelivery(func(to peer.Address) (int, time.Duration) {
			if to == address(2) {
				return 0, 0
			}
			return 1, 0
		})
		c.guards[1].RecordAnswer(deadly, time.Now())
		time.Sleep(storeDelay)
		g.Expect(c.guards[2].State(deadly)).To(Equal(quarantine.Clear))
		time.Sleep(time.Minute)
		g.Expect(c.ledger.stored()).To(BeEmpty(), "removed notes must not be written again")
	})
}

// Ordinary requests, and those answered soon after a crash, must not cause messages.
func TestNothingIsSentWithoutCrashes(t *testing.T) {
	withGossip(t, 3, func(g *WithT, c *cluster, network *messageNetwork) {
		for number := range 100 {
			request := exchange.Fingerprint{byte(number)}
			c.guards[0].RecordAnswer(request, time.Now())
			time.Sleep(10 * time.Millisecond)
		}
		c.crash(c.guards[0], exchange.Fingerprint{200}, "a", "b")
		c.guards[0].RecordAnswer(exchange.Fingerprint{200}, time.Now())
		time.Sleep(storeDelay)
		g.Expect(network.callCount()).To(BeZero())
	})
}

// Messages may get lost, arrive twice or late. A node that missed one learns from the store, one
// that receives it twice counts it once, and one that receives it after an answer ignores it.
func TestNewsMayBeLostDoubledAndLate(t *testing.T) {
	withGossip(t, 4, func(g *WithT, c *cluster, network *messageNetwork) {
		network.setDelivery(func(to peer.Address) (int, time.Duration) {
			switch to {
			case address(1):
				return 0, 0
			case address(2):
				return 2, 0
			}
			return 1, 300 * time.Millisecond
		})
		c.crash(c.guards[0], deadly, "a", "b")
		time.Sleep(storeDelay)
		g.Expect(c.guards[2].State(deadly)).To(Equal(quarantine.Clear), "two crashes received twice must count as two")
		c.crash(c.guards[0], deadly, "c")
		c.guards[3].RecordAnswer(other, time.Now())
		c.crash(c.guards[0], other, "a", "b", "c")
		time.Sleep(storeDelay)
		for _, guard := range c.guards {
			g.Expect(guard.State(deadly)).To(Equal(quarantine.Suspect))
		}
		g.Expect(c.guards[3].State(other)).To(Equal(quarantine.Clear), "the request was answered at this node")
	})
}

// Updates that are too old, or that are invalid, must not leave records.
func TestOldAndInvalidUpdatesAreIgnored(t *testing.T) {
	withGossip(t, 1, func(g *WithT, c *cluster, network *messageNetwork) {
		sender := testTransport{net: network, address: "elsewhere"}
		send := func(note *quarantinepb.Note) {
			_ = sender.Call(context.Background(), address(0), "", &quarantinepb.News{Notes: []*quarantinepb.Note{note}}, nil)
		}
		for _, server := range []string{"a", "b", "c"} {
			send(&quarantinepb.Note{Fingerprint: deadly[:], Server: server, AgeMs: 60_000})
			send(&quarantinepb.Note{Fingerprint: deadly[:4], Server: server})
		}
		send(&quarantinepb.Note{Fingerprint: deadly[:], Trial: 1 << 31})
		send(&quarantinepb.Note{Fingerprint: deadly[:], Trial: 1, IsGone: true})
		g.Expect(c.guards[0].IsIdle()).To(BeTrue())
	})
}

// Thousands of suspect requests at once must be sent in bounded messages, and nodes keep a bounded
// number of them.
func TestThousandsOfSuspectRequestsAreSentInBoundedMessages(t *testing.T) {
	withGossip(t, 3, func(g *WithT, c *cluster, network *messageNetwork) {
		c.ledger.setFailing(true)
		c.ledgerUnavailable.Store(true)
		for number := range 5000 {
			request := exchange.Fingerprint{3, byte(number), byte(number >> 8)}
			c.guards[0].RecordCrashes(request, []fleet.Incarnation{{ID: "a"}, {ID: "b"}, {ID: "c"}}, time.Now())
		}
		time.Sleep(storeDelay)
		network.mutex.Lock()
		g.Expect(network.largest).To(BeNumerically("<=", 64))
		g.Expect(network.calls).To(BeNumerically("<=", 2*5000*3/64))
		network.mutex.Unlock()
		c.crash(c.guards[0], deadly, "a", "b", "c")
		time.Sleep(gossipDelay)
		g.Expect(c.guards[2].State(deadly)).To(Equal(quarantine.Suspect), "later crashes must be sent too")
	})
}

// A crash leaves more updates at once than fit in the queue. Those that did not fit must be sent
// later, since the store is unavailable.
func TestEndsThatFindNoRoomAreToldLater(t *testing.T) {
	withGossip(t, 2, func(g *WithT, c *cluster, _ *messageNetwork) {
		c.ledger.setFailing(true)
		c.ledgerUnavailable.Store(true)
		var requests []exchange.Fingerprint
		for number := range 1000 {
			requests = append(requests, exchange.Fingerprint{3, byte(number), byte(number >> 8)})
			c.guards[0].RecordCrashes(requests[number], []fleet.Incarnation{{ID: "a"}, {ID: "b"}, {ID: "c"}}, time.Now())
		}
		time.Sleep(3 * time.Second)
		for _, request := range requests {
			g.Expect(c.guards[1].State(request)).To(Equal(quarantine.Suspect))
		}
	})
}

// One node notifies only a few others directly. By forwarding, nearly all must be informed within a
// moment, with a bounded number of messages.
func TestUpdatesAreForwardedAmongManyNodes(t *testing.T) {
	const count = 300
	withGossip(t, count, func(g *WithT, c *cluster, network *messageNetwork) {
		c.ledger.setFailing(true)
		c.ledgerUnavailable.Store(true)
		network.setDelivery(func(peer.Address) (int, time.Duration) { return 1, 15 * time.Millisecond })
		c.crash(c.guards[0], deadly, "a", "b", "c")
		time.Sleep(200 * time.Millisecond)
		informed := 0
		for _, guard := range c.guards {
			if guard.State(deadly) == quarantine.Suspect {
				informed++
			}
		}
		t.Logf("%d of %d nodes informed by %d messages", informed, count, network.callCount())
		g.Expect(informed).To(BeNumerically(">=", count*9/10))
		g.Expect(network.callCount()).To(BeNumerically("<=", count*10))
	})
}

// A node that does not answer must not delay messages to the others.
func TestASilentNodeDoesNotDelayOthers(t *testing.T) {
	withGossip(t, 3, func(g *WithT, c *cluster, network *messageNetwork) {
		network.setDelivery(func(to peer.Address) (int, time.Duration) {
			if to == address(1) {
				return 0, 400 * time.Millisecond
			}
			return 1, 0
		})
		c.ledger.setFailing(true)
		for number := range 5 {
			request := exchange.Fingerprint{9, byte(number)}
			c.crash(c.guards[0], request, "a", "b", "c")
			time.Sleep(gossipDelay)
			g.Expect(c.guards[2].State(request)).To(Equal(quarantine.Suspect))
		}
	})
}
