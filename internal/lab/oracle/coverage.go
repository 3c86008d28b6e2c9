package oracle

import (
	"math"

	"github.com/bramblemast/bramblemast/api"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
)

// coverage checks that the figures of a coverage agree, and returns the covered
// ranges. The second value is false if they can't be told.
func (c *check) coverage(answer *api.Answer) ([]keyspace.Range, bool) {
	stated := answer.Coverage
	if !c.asked(answer) {
		return nil, false
	}
	missing, valid := c.missing(answer)
	if !valid {
		return nil, false
	}
	c.coverageShare(answer, missing.Width())
	complete := missing.Width() == 0
	if stated.Complete && !complete {
		c.report(KindFalseComplete, answer, "complete, yet %s is missing", rangesText(stated.Missing))
	}
	if !stated.Complete && complete {
		c.report(KindCoverage, answer, "not complete, yet nothing is missing")
	}
	c.parts(answer, complete)
	return missing.Missing(stated.Asked), true
}

// asked checks the range that the request was about.
func (c *check) asked(answer *api.Answer) bool {
	asked := answer.Coverage.Asked
	if !asked.Valid() {
		c.report(KindCoverage, answer, "asked range %s is not valid", asked)
		return false
	}
	key := c.exchange.Request.Body.Key
	if key == "" && asked != keyspace.Full {
		c.report(KindFalseComplete, answer, "asked range %s, want the whole key space", asked)
		return false
	}
	if key != "" && !asked.Contains(keyspace.Position(key)) {
		c.report(KindCoverage, answer, "asked range %s does not hold the key", asked)
		return false
	}
	return true
}

// missing returns the missing positions as a set.
func (c *check) missing(answer *api.Answer) (*keyspace.Set, bool) {
	set := &keyspace.Set{}
	previousEnd := uint32(0)
	for index, part := range answer.Coverage.Missing {
		inOrder := index == 0 || part.Start >= previousEnd
		if !answer.Coverage.Asked.Covers(part) || !inOrder || !set.Add(part) {
			c.report(KindCoverage, answer, "missing ranges %s are invalid, out of order or outside of %s",
				rangesText(answer.Coverage.Missing), answer.Coverage.Asked)
			return nil, false
		}
		previousEnd = part.End
	}
	return set, true
}

func (c *check) coverageShare(answer *api.Answer, missingWidth uint32) {
	stated := answer.Coverage
	share := 1 - float64(missingWidth)/float64(stated.Asked.Width())
	if math.Abs(share-stated.Share) > tolerance {
		c.report(KindCoverage, answer, "share %g, want %g", stated.Share, share)
	}
}

func (c *check) parts(answer *api.Answer, complete bool) {
	covered, total := answer.Coverage.PartsCovered, answer.Coverage.PartsTotal
	allCovered := covered == total
	if covered < 0 || covered > total || allCovered != complete {
		c.report(KindCoverage, answer, "%d of %d parts covered, complete is %t", covered, total, complete)
	}
}
