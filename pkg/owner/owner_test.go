package owner_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/bramblemast/bramblemast/pkg/exchange/exchangetest"
	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/gather"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/owner/ownerpb"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/target"
)

func TestOwnersAnswerForTheirShards(t *testing.T) {
	inCluster(t, func(g *WithT, c *cluster) {
		requester, _ := c.nonOwner()
		result, took := c.ask(c.t.Context(), requester)
		g.Expect(result.Reason).To(Equal(fanout.StopComplete))
		g.Expect(result.OwnersAsked).To(Equal(groupCount))
		g.Expect(took).To(BeNumerically("<", 20*time.Millisecond))
		g.Expect(c.maxExecutions()).To(Equal(1))
		g.Expect(requester.budget.earned).To(BeZero(), "owners use their own budget for what they send")
		var bodies [][]byte
		for number, part := range result.Parts {
			g.Expect(part.Evidence).To(Equal("mark of " + serverName(number, "near")))
			bodies = append(bodies, part.Body)
		}
		g.Expect(string(gather.Greatest(bodies, 2))).To(Equal("record-of-shard8record-of-shard7"))
	})
}

func TestAnOwnerAsksForItselfToo(t *testing.T) {
	inCluster(t, func(g *WithT, c *cluster) {
		_, owners := c.nonOwner()
		result, _ := c.ask(c.t.Context(), c.node(owners[0]))
		g.Expect(result.Reason).To(Equal(fanout.StopComplete))
		g.Expect(result.OwnersAsked).To(BeNumerically("<", groupCount))
		g.Expect(c.maxExecutions()).To(Equal(1))
	})
}

func TestFewNodesNeedNoOwners(t *testing.T) {
	inCluster(t, func(g *WithT, c *cluster) {
		requester, _ := c.nonOwner()
		requester.fleet.SetCallers(fleet.Callers{Total: 2, ByZone: map[string]int{"z": 2}})
		result, _ := c.ask(c.t.Context(), requester)
		g.Expect(result.Reason).To(Equal(fanout.StopComplete))
		g.Expect(result.OwnersAsked).To(BeZero())
		g.Expect(requester.budget.earned).To(Equal(shardCount))
	})
}

func TestAnOwnerThatRefusesConnectionsIsReplacedAtOnce(t *testing.T) {
	inCluster(t, func(g *WithT, c *cluster) {
		requester, owners := c.nonOwner()
		c.node(owners[0]).transport.Close()
		result, took := c.ask(c.t.Context(), requester)
		g.Expect(result.Reason).To(Equal(fanout.StopComplete))
		g.Expect(took).To(BeNumerically("<", 20*time.Millisecond))
		g.Expect(c.maxExecutions()).To(Equal(1))
		g.Expect(requester.budget.spent).To(BeZero(), "nothing was sent to the owner")
		result, _ = c.ask(c.t.Context(), requester)
		g.Expect(result.OwnerRecords).To(BeEmpty(), "the next node in rank has replaced the owner")
	})
}

func TestASilentOwnerIsReplacedWithinTheTarget(t *testing.T) {
	inCluster(t, func(g *WithT, c *cluster) {
		requester, owners := c.nonOwner()
		lost := peer.Address(owners[0])
		c.network.Cut([]peer.Address{requester.transport.Address()}, []peer.Address{lost})
		result, took := c.ask(c.t.Context(), requester)
		g.Expect(result.Reason).To(Equal(fanout.StopComplete))
		g.Expect(took).To(BeNumerically("<", 150*time.Millisecond))
		g.Expect(requester.budget.spent).To(Equal(shardCount/groupCount), "the owner may have sent the same requests")
		g.Expect(requester.hasLost(owners[0])).To(BeTrue())
		result, took = c.ask(c.t.Context(), requester)
		g.Expect(result.Reason).To(Equal(fanout.StopComplete))
		g.Expect(took).To(BeNumerically("<", 20*time.Millisecond))

		c.network.Heal()
		time.Sleep(3 * time.Second)
		g.Expect(requester.hasLost(owners[0])).To(BeFalse())
	})
}

// TestASlowOwnerIsWaitedForTwice: messages to and from an owner take 50 ms each way, which pings
// tolerate and questions do not. Of 20 requests a second, only two may wait for the owner.
func TestASlowOwnerIsWaitedForTwice(t *testing.T) {
	inCluster(t, func(g *WithT, c *cluster) {
		requester, owners := c.nonOwner()
		slow := peer.Address(owners[0])
		c.network.SetLatency(func(from, to peer.Address) time.Duration {
			if from == slow || to == slow {
				return 50 * time.Millisecond
			}
			return 200 * time.Microsecond
		})
		waited := 0
		for range 200 {
			result, took := c.ask(c.t.Context(), requester)
			g.Expect(result.Reason).To(Equal(fanout.StopComplete))
			if took > 20*time.Millisecond {
				waited++
			}
			time.Sleep(50*time.Millisecond - took%(50*time.Millisecond))
		}
		g.Expect(waited).To(Equal(2))

		c.network.SetLatency(func(_, _ peer.Address) time.Duration { return 200 * time.Microsecond })
		time.Sleep(1100 * time.Millisecond)
		g.Expect(requester.hasLost(owners[0])).To(BeFalse())
	})
}

// TestLateMessagesRunNothingMoreOftenThanAllowed delays or loses messages to or from the owner while
// the servers that are asked first do not answer, so that both the owner and the asking node want to
// ask other servers.
func TestLateMessagesRunNothingMoreOftenThanAllowed(t *testing.T) {
	silences := map[string]func(c *cluster, requester, owner peer.Address){
		"reports are lost": func(c *cluster, requester, owner peer.Address) {
			c.network.CutOneWay([]peer.Address{owner}, []peer.Address{requester})
		},
		"questions are late": func(c *cluster, _, owner peer.Address) {
			c.network.Freeze(owner)
			time.AfterFunc(700*time.Millisecond, func() { c.network.Thaw(owner) })
		},
		"the owner freezes before it receives grants": func(c *cluster, _, owner peer.Address) {
			time.AfterFunc(21*time.Millisecond, func() { c.network.Freeze(owner) })
			time.AfterFunc(500*time.Millisecond, func() { c.network.Thaw(owner) })
		},
	}
	for name, silence := range silences {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(g *WithT, c *cluster) {
				requester, owners := c.nonOwner()
				for number := range shardCount {
					c.hang(serverName(number, "near"))
				}
				silence(c, requester.transport.Address(), peer.Address(owners[0]))
				c.ask(c.t.Context(), requester)
				time.Sleep(2 * time.Second)
				g.Expect(c.maxExecutions()).To(BeNumerically("<=", maxAttempts))
			})
		})
	}
}

// TestALateReportIsTakenWhole: the records of a report are merged, so a late report is used for all
// of its parts, including those for which this node has asked a server itself in the meantime.
func TestALateReportIsTakenWhole(t *testing.T) {
	inCluster(t, func(g *WithT, c *cluster) {
		c.required = shardCount
		requester, owners := c.nonOwner()
		late := c.node(owners[1])
		c.network.SetLatency(func(from, _ peer.Address) time.Duration {
			if from == late.transport.Address() {
				return 120 * time.Millisecond
			}
			return 200 * time.Microsecond
		})
		// The server of one of the owner's shards answers the owner, but not this node.
		time.AfterFunc(50*time.Millisecond, func() { c.hang("near4"); c.hang("far4") })
		result, _ := c.ask(c.t.Context(), requester)
		g.Expect(result.Reason).To(Equal(fanout.StopComplete))
		var bodies [][]byte
		var want string
		for number, part := range result.Parts {
			bodies = append(bodies, part.Body)
			want = fmt.Sprintf("record-of-shard%d", number) + want
		}
		g.Expect(string(gather.Greatest(bodies, 2*shardCount))).To(Equal(want), "each record must appear once")
	})
}

func TestAnOwnerAsksAFurtherServerOnceThatIsGranted(t *testing.T) {
	inCluster(t, func(g *WithT, c *cluster) {
		requester, _ := c.nonOwner()
		c.hang(serverName(4, "near"))
		result, took := c.ask(c.t.Context(), requester)
		g.Expect(result.Reason).To(Equal(fanout.StopComplete))
		g.Expect(result.Parts[4].Evidence).To(Equal("mark of " + serverName(4, "far")))
		g.Expect(took).To(BeNumerically("<", 120*time.Millisecond))
		g.Expect(requester.budget.spent).To(BeZero())
		g.Expect(c.maxExecutions()).To(Equal(2))
	})
}

func TestPartsThatCameBeforeAnOwnerIsLostAreKept(t *testing.T) {
	inCluster(t, func(g *WithT, c *cluster) {
		requester, owners := c.nonOwner()
		for number := range shardCount {
			c.hang(serverName(number, "far"))
		}
		c.hang(serverName(4, "near"))
		time.AfterFunc(100*time.Millisecond, func() {
			for _, name := range owners {
				c.node(name).transport.Close()
			}
		})
		result, _ := c.ask(c.t.Context(), requester)
		g.Expect(result.Reason).To(Equal(fanout.StopTarget))
		g.Expect(result.AnsweredCount).To(Equal(shardCount - 1))
	})
}

// TestAnOwnerIsIdleWhileItWaits guards against a busy loop in an owner that has as many parts as are
// required when the target passes, and that the end of the request does not reach. The test would
// not end then, since virtual time advances only while nothing runs.
func TestAnOwnerIsIdleWhileItWaits(t *testing.T) {
	inCluster(t, func(g *WithT, c *cluster) {
		c.required = shardCount - groupCount
		requester, owners := c.nonOwner()
		c.hang(serverName(4, "near"))
		c.hang(serverName(4, "far"))
		time.AfterFunc(150*time.Millisecond, func() {
			for _, name := range owners {
				c.network.CutOneWay([]peer.Address{requester.transport.Address()}, []peer.Address{peer.Address(name)})
			}
		})
		result, took := c.ask(c.t.Context(), requester)
		g.Expect(result.Reason).To(Equal(fanout.StopTarget))
		g.Expect(took).To(Equal(200 * time.Millisecond))
		time.Sleep(2 * time.Second)
		for _, name := range owners {
			g.Expect(c.node(name).recorded()).To(HaveLen(1))
		}
	})
}

func TestOwnersEndTheirWorkWhenTheClientHasGone(t *testing.T) {
	inCluster(t, func(g *WithT, c *cluster) {
		requester, owners := c.nonOwner()
		for number := range shardCount {
			c.hang(serverName(number, "near"))
		}
		ctx, cancel := context.WithCancel(c.t.Context())
		time.AfterFunc(5*time.Millisecond, cancel)
		result, _ := c.ask(ctx, requester)
		g.Expect(result.Reason).To(Equal(fanout.StopCancelled))
		time.Sleep(10 * time.Millisecond)
		for _, name := range owners {
			g.Expect(c.node(name).recorded()).To(HaveLen(1))
			g.Expect(c.node(name).recorded()[0].Result.Reason).To(Equal(fanout.StopCancelled))
		}
		time.Sleep(2 * time.Second)
		g.Expect(c.maxExecutions()).To(Equal(1), "nothing may be sent after the cancellation")
	})
}

func TestDrainingOrServerlessOwnerRefuses(t *testing.T) {
	faults := map[string]func(*node){
		"draining": func(n *node) { n.draining = true },
		"knows no servers": func(n *node) {
			n.fleet.Remove("near0", time.Time{}, time.Now())
			n.fleet.Remove("far0", time.Time{}, time.Now())
		},
	}
	for name, disable := range faults {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(g *WithT, c *cluster) {
				requester, owners := c.nonOwner()
				disable(c.node(owners[0]))
				result, took := c.ask(c.t.Context(), requester)
				g.Expect(result.Reason).To(Equal(fanout.StopComplete))
				g.Expect(took).To(BeNumerically("<", 20*time.Millisecond))
				g.Expect(c.maxExecutions()).To(Equal(1))
				g.Expect(requester.budget.spent).To(BeZero())
			})
		})
	}
}

// TestReportsAtFaultDoNoHarm answers questions with invalid reports.
func TestReportsAtFaultDoNoHarm(t *testing.T) {
	reports := map[string]*ownerpb.Report{
		"positions out of range": {
			Parts: []*ownerpb.Part{{Index: 99, Evidence: "x"}, {Index: 1 << 31, Evidence: "y"}}, Wanted: []uint32{77},
			Failures: []*ownerpb.Failure{{Index: 55}}, Ended: true,
		},
		"no evidence": {Parts: []*ownerpb.Part{{Index: 0}, {Index: 1}, {Index: 2}}, Ended: true},
		"nothing":     {Ended: true},
	}
	for name, report := range reports {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(g *WithT, c *cluster) {
				requester, owners := c.nonOwner()
				c.node(owners[0]).transport.HandleStream("owner.question",
					func(_ context.Context, _ target.NodeID, _ []byte, exchange peer.Exchange) error {
						return exchange.Send(proto.Message(report))
					})
				result, _ := c.ask(c.t.Context(), requester)
				g.Expect(result.Reason).To(Equal(fanout.StopComplete))
				for number, part := range result.Parts {
					g.Expect(part.Evidence).To(Equal("mark of " + serverName(number, "near")))
				}
			})
		})
	}
}

func TestRefusedRequestIsNotCompleted(t *testing.T) {
	inCluster(t, func(g *WithT, c *cluster) {
		requester, _ := c.nonOwner()
		refused := exchangetest.Answer{Status: http.StatusServiceUnavailable, Header: map[string]string{"Refused": "yes"}, Cut: -1}
		for name := range c.answers {
			c.answers[name] = refused
		}
		result, _ := c.ask(c.t.Context(), requester)
		g.Expect(result.Reason).To(Equal(fanout.StopDeadline))
		g.Expect(result.Outcome).NotTo(Equal(outcome.Completed))
	})
}
