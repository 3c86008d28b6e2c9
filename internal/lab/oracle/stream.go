package oracle

import (
	"github.com/bramblemast/bramblemast/api"
)

// stream checks the early states of an answer: each is right for its own
// coverage, and between two restarts the snapshot stays and the coverage grows.
func (c *check) stream() {
	var previous *api.Answer
	for index := range c.exchange.Events {
		event := &c.exchange.Events[index]
		if event.Type != api.EventPartial || event.Partial == nil {
			previous = nil
			continue
		}
		c.partial(event.Partial)
		c.follows(previous, event.Partial)
		previous = event.Partial
	}
	if c.exchange.Answer != nil {
		c.follows(previous, c.exchange.Answer)
	}
}

func (c *check) partial(partial *api.Answer) {
	covered, consistent := c.coverage(partial)
	if consistent {
		c.records(partial, covered)
	}
}

// follows checks that next can come after previous without a restart.
func (c *check) follows(previous, next *api.Answer) {
	if previous == nil {
		return
	}
	if previous.Snapshot != next.Snapshot {
		c.report(KindMixedSnapshot, next, "snapshot went from %d to %d without a restart",
			previous.Snapshot, next.Snapshot)
	}
	if next.Coverage.Share < previous.Coverage.Share-tolerance {
		c.report(KindCoverage, next, "share fell from %g to %g without a restart",
			previous.Coverage.Share, next.Coverage.Share)
	}
}
