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
		partial := answerSoFar(event.Partial)
		c.partial(partial)
		c.follows(previous, partial)
		previous = partial
	}
	if c.exchange.Answer != nil {
		c.follows(previous, c.exchange.Answer)
	}
}

// answerSoFar gives an early state the form of an answer, without what only a
// final answer has.
func answerSoFar(partial *api.Partial) *api.Answer {
	return &api.Answer{
		RequestID: partial.RequestID,
		Snapshot:  partial.Snapshot,
		Coverage:  partial.Coverage,
		Records:   partial.Records,
		Node:      partial.Node,
	}
}

func (c *check) partial(partial *api.Answer) {
	if partial.RequestID != c.exchange.RequestID {
		c.report(KindWrongRequest, partial, "early state names request %q", partial.RequestID)
	}
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
