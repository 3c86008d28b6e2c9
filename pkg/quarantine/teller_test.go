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

// links carry messages between the nodes of a test. They are safe for concurrent use.
type links struct {
	mutex sync.Mutex
	// handlers, calls, largest and delivery are guarded by mutex.
	handlers map[peer.Address]peer.Handler
	// calls counts the messages; largest is the greatest number of notes in one.
	calls   int
	largest int
	// delivery returns how often a message to a node arrives, and how late; nil for once, at once.
	delivery func(to peer.Address) (times int, delay time.Duration)
}

// link is one node's end of them. It implements peer.Transport.
type link struct {
	links   *links
	address peer.Address
}

var errLost = errors.New("the message is lost")

func (l link) Address() peer.Address { return l.address }

func (l link) Handle(_ peer.Kind, handler peer.Handler) {
	l.links.mutex.Lock()
	defer l.links.mutex.Unlock()
	l.links.handlers[l.address] = handler
}

func (l link) Call(ctx context.Context, address peer.Address, _ peer.Kind, request, _ proto.Message) error {
	body, err := proto.Marshal(request)
	if err != nil {
		return err
	}
	all := l.links
	all.mutex.Lock()
	handler, times, delay := all.handlers[address], 1, time.Duration(0)
	if all.delivery != nil {
		times, delay = all.delivery(address)
	}
	all.calls++
	all.largest = max(all.largest, len(request.(*quarantinepb.News).Notes))
	all.mutex.Unlock()
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

func (l *links) count() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.calls
}

func (l *links) setDelivery(delivery func(peer.Address) (int, time.Duration)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.delivery = delivery
}

func address(number int) peer.Address { return peer.Address(fmt.Sprint("n", number)) }

// inTouch runs a test with guards that tell each other directly, in virtual time.
func inTouch(t *testing.T, count int, test func(g *WithT, w *world, between *links)) {
	t.Helper()
	between := &links{handlers: make(map[peer.Address]peer.Handler)}
	in(t, count, func(g *WithT, w *world) {
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		var nodes []peer.Address
		for number := range count {
			nodes = append(nodes, address(number))
		}
		for number, guard := range w.guards {
			teller := quarantine.NewGossiper(guard, link{links: between, address: nodes[number]})
			teller.SetNodes(nodes)
			running.Go(func() { _ = teller.Run(ctx) })
		}
		test(g, w, between)
		cancel()
		running.Wait()
	})
}

// soon is longer than a node takes to tell others of a suspect request, and much shorter than
// news of the store takes to come.
const soon = 50 * time.Millisecond

// TestASuspectRequestIsKnownToAllNodesAtOnce, though the store tells nobody: also what became
// of its trials, and that it was answered.
func TestASuspectRequestIsKnownToAllNodesAtOnce(t *testing.T) {
	inTouch(t, 6, func(g *WithT, w *world, _ *links) {
		w.ledger.setBroken(true)
		w.lost.Store(true)
		w.end(w.guards[0], deadly, "a", "b", "c")
		w.end(w.guards[0], other, "a", "b", "c")
		time.Sleep(soon)
		for _, guard := range w.guards {
			g.Expect(guard.State(deadly)).To(Equal(quarantine.Suspect))
			g.Expect(guard.CrashedServers(deadly)).To(HaveLen(3))
		}
		granted := 0
		for _, guard := range w.guards {
			if guard.ClaimTrial(context.Background(), deadly) != nil {
				granted++
			}
			time.Sleep(soon)
		}
		g.Expect(granted).To(Equal(quarantine.ImmediateTrials), "without the store each node knows of the others' trials")
		w.guards[3].RecordAnswer(other, time.Now())
		time.Sleep(soon)
		for _, guard := range w.guards {
			g.Expect(guard.State(deadly)).To(Equal(quarantine.Quarantined))
			g.Expect(guard.State(other)).To(Equal(quarantine.Clear))
		}
	})
}

// TestATrialWithoutTheStoreThatReachedNoServerIsMadeAgain, by the same node and by others: what
// asked no server says nothing of the request.
func TestATrialWithoutTheStoreThatReachedNoServerIsMadeAgain(t *testing.T) {
	inTouch(t, 3, func(g *WithT, w *world, _ *links) {
		w.ledger.setBroken(true)
		w.lost.Store(true)
		w.end(w.guards[0], deadly, "a", "b", "c")
		time.Sleep(soon)
		for _, number := range []int{0, 1, 0, 1} {
			trial := w.guards[number].ClaimTrial(context.Background(), deadly)
			g.Expect(trial).NotTo(BeNil())
			time.Sleep(soon)
			trial.Release()
			time.Sleep(soon)
			for _, guard := range w.guards {
				g.Expect(guard.State(deadly)).To(Equal(quarantine.Suspect))
			}
		}
	})
}

// TestServersThatEndedAtSeveralNodesAddUp within tenths of a second, without the store.
func TestServersThatEndedAtSeveralNodesAddUp(t *testing.T) {
	inTouch(t, 3, func(g *WithT, w *world, _ *links) {
		w.ledger.setBroken(true)
		w.lost.Store(true)
		for index, guard := range w.guards {
			w.end(guard, deadly, fmt.Sprint("server", index))
		}
		time.Sleep(900 * time.Millisecond)
		for _, guard := range w.guards {
			g.Expect(guard.State(deadly)).To(Equal(quarantine.Suspect))
		}
	})
}

// TestWhatANodeHeardItDoesNotWrite: the node that told it does that, and once.
func TestWhatANodeHeardItDoesNotWrite(t *testing.T) {
	inTouch(t, 4, func(g *WithT, w *world, _ *links) {
		w.ledger.setBroken(true)
		w.lost.Store(true)
		w.end(w.guards[0], deadly, "a", "b", "c")
		time.Sleep(soon)
		w.ledger.setBroken(false)
		w.lost.Store(false)
		time.Sleep(news)
		g.Expect(w.ledger.held()).To(HaveLen(3))
		w.ledger.mutex.Lock()
		defer w.ledger.mutex.Unlock()
		g.Expect(w.ledger.calls).To(Equal(1))
	})
}

// TestWhatSeveralNodesFoundAtOnceIsWritten: each hears of the others' ends before it writes its own.
func TestWhatSeveralNodesFoundAtOnceIsWritten(t *testing.T) {
	inTouch(t, 12, func(g *WithT, w *world, _ *links) {
		w.end(w.guards[0], deadly, "a")
		w.end(w.guards[1], deadly, "d")
		time.Sleep(10 * time.Millisecond)
		w.end(w.guards[0], deadly, "b", "c")
		w.end(w.guards[1], deadly, "e", "f")
		time.Sleep(15 * time.Second)
		g.Expect(len(w.ledger.held())).To(BeNumerically(">=", quarantine.SuspectAfter), "nodes that start later learn of it")
		g.Expect(w.ledger.count()).To(BeNumerically("<=", 2), "one node writes it for all")
	})
}

// TestWhatANodeToldThatEndsIsWrittenByAnother.
func TestWhatANodeToldThatEndsIsWrittenByAnother(t *testing.T) {
	inTouch(t, 4, func(g *WithT, w *world, between *links) {
		sender := link{links: between, address: "ended"}
		for _, server := range []string{"a", "b", "c"} {
			message := &quarantinepb.News{Notes: []*quarantinepb.Note{{Fingerprint: deadly[:], Server: server}}}
			for number := range w.guards {
				g.Expect(sender.Call(context.Background(), address(number), "", message, nil)).To(Succeed())
			}
		}
		time.Sleep(2 * time.Second)
		g.Expect(w.ledger.count()).To(BeZero(), "the node that told it has time to write it")
		time.Sleep(15 * time.Second)
		g.Expect(w.ledger.held()).To(HaveLen(3))
		g.Expect(w.ledger.count()).To(Equal(1))
	})
}

// TestTheReturningStoreIsCalledByTheNodeThatTold alone, also after it was away for long.
func TestTheReturningStoreIsCalledByTheNodeThatTold(t *testing.T) {
	inTouch(t, 12, func(g *WithT, w *world, _ *links) {
		w.ledger.setBroken(true)
		w.lost.Store(true)
		w.end(w.guards[0], deadly, "a", "b", "c")
		time.Sleep(time.Minute)
		w.ledger.setBroken(false)
		w.lost.Store(false)
		time.Sleep(news)
		g.Expect(w.ledger.held()).To(HaveLen(3))
		g.Expect(w.ledger.count()).To(BeNumerically("<=", 3))
	})
}

// TestAnAnswerKnownFromTheStoreAloneClears what was told directly too, beyond what the store held.
func TestAnAnswerKnownFromTheStoreAloneClears(t *testing.T) {
	inTouch(t, 3, func(g *WithT, w *world, between *links) {
		w.end(w.guards[0], deadly, "a", "b", "c", "d", "e", "f", "g", "h")
		time.Sleep(news)
		g.Expect(w.guards[2].CrashedServers(deadly)).To(HaveLen(8))
		between.setDelivery(func(to peer.Address) (int, time.Duration) {
			if to == address(2) {
				return 0, 0
			}
			return 1, 0
		})
		w.guards[1].RecordAnswer(deadly, time.Now())
		time.Sleep(news)
		g.Expect(w.guards[2].State(deadly)).To(Equal(quarantine.Clear))
		time.Sleep(time.Minute)
		g.Expect(w.ledger.held()).To(BeEmpty(), "nothing is written again")
	})
}

// TestNothingIsToldWhileNothingEnds, nor of what is answered soon.
func TestNothingIsToldWhileNothingEnds(t *testing.T) {
	inTouch(t, 3, func(g *WithT, w *world, between *links) {
		for number := range 100 {
			request := exchange.Fingerprint{byte(number)}
			w.guards[0].RecordAnswer(request, time.Now())
			time.Sleep(10 * time.Millisecond)
		}
		w.end(w.guards[0], exchange.Fingerprint{200}, "a", "b")
		w.guards[0].RecordAnswer(exchange.Fingerprint{200}, time.Now())
		time.Sleep(news)
		g.Expect(between.count()).To(BeZero())
	})
}

// TestNewsMayBeLostDoubledAndLate: a node that missed it learns from the store, one that hears it
// twice counts once, and one that hears it after an answer is not misled.
func TestNewsMayBeLostDoubledAndLate(t *testing.T) {
	inTouch(t, 4, func(g *WithT, w *world, between *links) {
		between.setDelivery(func(to peer.Address) (int, time.Duration) {
			switch to {
			case address(1):
				return 0, 0
			case address(2):
				return 2, 0
			}
			return 1, 300 * time.Millisecond
		})
		w.end(w.guards[0], deadly, "a", "b")
		time.Sleep(news)
		g.Expect(w.guards[2].State(deadly)).To(Equal(quarantine.Clear), "two servers told twice are two")
		w.end(w.guards[0], deadly, "c")
		w.guards[3].RecordAnswer(other, time.Now())
		w.end(w.guards[0], other, "a", "b", "c")
		time.Sleep(news)
		for _, guard := range w.guards {
			g.Expect(guard.State(deadly)).To(Equal(quarantine.Suspect))
		}
		g.Expect(w.guards[3].State(other)).To(Equal(quarantine.Clear), "it was answered there")
	})
}

// TestOldNewsAndNonsenseAreLeftAside.
func TestOldNewsAndNonsenseAreLeftAside(t *testing.T) {
	inTouch(t, 1, func(g *WithT, w *world, between *links) {
		sender := link{links: between, address: "elsewhere"}
		tell := func(note *quarantinepb.Note) {
			_ = sender.Call(context.Background(), address(0), "", &quarantinepb.News{Notes: []*quarantinepb.Note{note}}, nil)
		}
		for _, server := range []string{"a", "b", "c"} {
			tell(&quarantinepb.Note{Fingerprint: deadly[:], Server: server, AgeMs: 60_000})
			tell(&quarantinepb.Note{Fingerprint: deadly[:4], Server: server})
		}
		tell(&quarantinepb.Note{Fingerprint: deadly[:], Trial: 1 << 31})
		tell(&quarantinepb.Note{Fingerprint: deadly[:], Trial: 1, IsGone: true})
		g.Expect(w.guards[0].IsIdle()).To(BeTrue())
	})
}

// TestThousandsOfSuspectRequestsAreToldInBoundedMessages, of which the nodes remember a bounded
// number.
func TestThousandsOfSuspectRequestsAreToldInBoundedMessages(t *testing.T) {
	inTouch(t, 3, func(g *WithT, w *world, between *links) {
		w.ledger.setBroken(true)
		w.lost.Store(true)
		for number := range 5000 {
			request := exchange.Fingerprint{3, byte(number), byte(number >> 8)}
			w.guards[0].RecordCrashes(request, []fleet.Incarnation{{ID: "a"}, {ID: "b"}, {ID: "c"}}, time.Now())
		}
		time.Sleep(news)
		between.mutex.Lock()
		g.Expect(between.largest).To(BeNumerically("<=", 64))
		g.Expect(between.calls).To(BeNumerically("<=", 2*5000*3/64))
		between.mutex.Unlock()
		w.end(w.guards[0], deadly, "a", "b", "c")
		time.Sleep(soon)
		g.Expect(w.guards[2].State(deadly)).To(Equal(quarantine.Suspect), "what comes later is told too")
	})
}

// TestEndsThatFindNoRoomAreToldLater: a crash leaves more at once than may wait, and the store is away.
func TestEndsThatFindNoRoomAreToldLater(t *testing.T) {
	inTouch(t, 2, func(g *WithT, w *world, _ *links) {
		w.ledger.setBroken(true)
		w.lost.Store(true)
		var requests []exchange.Fingerprint
		for number := range 1000 {
			requests = append(requests, exchange.Fingerprint{3, byte(number), byte(number >> 8)})
			w.guards[0].RecordCrashes(requests[number], []fleet.Incarnation{{ID: "a"}, {ID: "b"}, {ID: "c"}}, time.Now())
		}
		time.Sleep(3 * time.Second)
		for _, request := range requests {
			g.Expect(w.guards[1].State(request)).To(Equal(quarantine.Suspect))
		}
	})
}

// TestManyNodesTellEachOtherOn: one node tells few, and nearly all hear of it within a moment.
func TestManyNodesTellEachOtherOn(t *testing.T) {
	const count = 300
	inTouch(t, count, func(g *WithT, w *world, between *links) {
		w.ledger.setBroken(true)
		w.lost.Store(true)
		between.setDelivery(func(peer.Address) (int, time.Duration) { return 1, 15 * time.Millisecond })
		w.end(w.guards[0], deadly, "a", "b", "c")
		time.Sleep(200 * time.Millisecond)
		knowing := 0
		for _, guard := range w.guards {
			if guard.State(deadly) == quarantine.Suspect {
				knowing++
			}
		}
		t.Logf("%d of %d nodes know, %d messages", knowing, count, between.count())
		g.Expect(knowing).To(BeNumerically(">=", count*9/10))
		g.Expect(between.count()).To(BeNumerically("<=", count*10))
	})
}

// TestASilentNodeHoldsUpNoOther.
func TestASilentNodeHoldsUpNoOther(t *testing.T) {
	inTouch(t, 3, func(g *WithT, w *world, between *links) {
		between.setDelivery(func(to peer.Address) (int, time.Duration) {
			if to == address(1) {
				return 0, 400 * time.Millisecond
			}
			return 1, 0
		})
		w.ledger.setBroken(true)
		for number := range 5 {
			request := exchange.Fingerprint{9, byte(number)}
			w.end(w.guards[0], request, "a", "b", "c")
			time.Sleep(soon)
			g.Expect(w.guards[2].State(request)).To(Equal(quarantine.Suspect))
		}
	})
}
