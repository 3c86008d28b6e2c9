package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
)

// spreadBound is the time within which all nodes must know of a suspect request while the store is
// unavailable. Until then, each of them may send the request to servers.
const spreadBound = time.Second

// TestASuspectRequestIsKnownToAllOfManyNodes reports crashes at one of more nodes than it notifies
// itself, while the store is unavailable. A node that is left out sends the request to more servers.
func TestASuspectRequestIsKnownToAllOfManyNodes(t *testing.T) {
	for _, size := range []int{26, 67, 295} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			for range 3 {
				withGossip(t, size, func(g *WithT, c *cluster, network *messageNetwork) {
					c.ledger.setFailing(true)
					c.ledgerUnavailable.Store(true)
					c.crash(c.guards[0], deadly, "a", "b", "c")
					time.Sleep(spreadBound)
					g.Expect(c.unaware(deadly)).To(BeEmpty())
					t.Logf("%d nodes: %d messages", size, network.callCount())
				})
			}
		})
	}
}

// TestASuspectRequestPassesNodesThatDoNotAnswer lets a share of the nodes take no messages, as after
// a loss of power. All others must know of the request.
func TestASuspectRequestPassesNodesThatDoNotAnswer(t *testing.T) {
	const size = 67
	for _, silent := range []int{10, 5, 3} {
		withGossip(t, size, func(g *WithT, c *cluster, network *messageNetwork) {
			c.ledger.setFailing(true)
			c.ledgerUnavailable.Store(true)
			isSilent := make(map[peer.Address]bool)
			for number := 1; number < size; number += silent {
				isSilent[address(number)] = true
			}
			network.setDelivery(func(to peer.Address) (int, time.Duration) {
				if isSilent[to] {
					return 0, 0
				}
				return 1, 0
			})
			c.crash(c.guards[0], deadly, "a", "b", "c")
			time.Sleep(spreadBound)
			for _, number := range c.unaware(deadly) {
				g.Expect(isSilent).To(HaveKey(address(number)))
			}
		})
	}
}

// TestASuspectRequestIsKnownToAllUnderLoss loses a tenth of the messages while the store is
// unavailable.
func TestASuspectRequestIsKnownToAllUnderLoss(t *testing.T) {
	for _, size := range []int{6, 25, 67} {
		for seed := range uint64(5) {
			withGossip(t, size, func(g *WithT, c *cluster, network *messageNetwork) {
				c.ledger.setFailing(true)
				c.ledgerUnavailable.Store(true)
				random := rand.New(rand.NewPCG(seed, 0))
				network.setDelivery(func(peer.Address) (int, time.Duration) {
					if random.IntN(10) == 0 {
						return 0, 0
					}
					return 1, 0
				})
				c.crash(c.guards[0], deadly, "a", "b", "c")
				time.Sleep(spreadBound)
				g.Expect(c.unaware(deadly)).To(BeEmpty(), "%d nodes", size)
			})
		}
	}
}

// unaware returns the numbers of the nodes that do not hold a request as suspect.
func (c *cluster) unaware(fingerprint exchange.Fingerprint) []int {
	var unaware []int
	for number, guard := range c.guards {
		if guard.State(fingerprint) != quarantine.Suspect {
			unaware = append(unaware, number)
		}
	}
	return unaware
}
