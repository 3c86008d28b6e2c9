package owner_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/route"
)

// arrivals returns the number of requests that the servers of a place received.
func (c *cluster) arrivals(place string) int {
	count := 0
	for number := range shardCount {
		count += len(c.byName[serverName(number, place)].Requests())
	}
	return count
}

// TestARequestIsNotSentOnOutsideItsRegions: a node outside a request's regions asks the servers
// inside them itself, since the other nodes of its own region must not receive the request.
func TestARequestIsNotSentOnOutsideItsRegions(t *testing.T) {
	inCluster(t, func(g *WithT, c *cluster) {
		requester, _ := c.nonOwner()
		c.regions = route.OnlyRegions([]string{"q"})
		result, _ := c.ask(c.t.Context(), requester)
		g.Expect(result.OwnersAsked).To(BeZero(), "no owner may be asked")
		g.Expect(result.AnsweredCount).To(Equal(shardCount))
		g.Expect(c.arrivals("near")).To(BeZero())
		g.Expect(c.arrivals("far")).To(Equal(shardCount))
	})
}

// TestAnOwnerKeepsToTheRegions: an owner sends requests, hedges included, only to the regions that
// the question names, or those of its own configuration if that is newer.
func TestAnOwnerKeepsToTheRegions(t *testing.T) {
	inCluster(t, func(g *WithT, c *cluster) {
		requester, owners := c.nonOwner()
		for number := range shardCount {
			c.hang(serverName(number, "near"))
		}
		c.regions = route.OnlyRegions([]string{"r"})
		result, _ := c.ask(c.t.Context(), requester)
		g.Expect(result.OwnersAsked).To(Equal(groupCount))
		g.Expect(result.AnsweredCount).To(BeZero())
		g.Expect(c.arrivals("far")).To(BeZero())

		c.regions = route.OnlyRegions([]string{"r", "q"})
		narrowed := route.OnlyRegions([]string{"r"})
		for _, name := range owners {
			c.node(name).regions.Store(&narrowed)
		}
		before := c.arrivals("far")
		c.ask(c.t.Context(), requester)
		g.Expect(c.arrivals("far")-before).To(BeZero(), "the owners know a newer configuration")
	})
}
