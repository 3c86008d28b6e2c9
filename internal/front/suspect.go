package front

import (
	"context"
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
)

// Times of requests that are suspect of ending servers.
const (
	// claimTimeout bounds the question whether a trial may be made: two round trips
	// between regions, and a store that is slow for a moment.
	claimTimeout = 300 * time.Millisecond
	// trialWait is told to the client of a suspect request while another one's trial is
	// under way: a trial takes a few tenths of a second, and news of it a second or two.
	trialWait = time.Second
)

// fingerprint tells the request from others, through all tries of its client.
func (c *conversation) fingerprint() exchange.Fingerprint {
	return c.request.Fingerprint(&c.handler.dialect.Dialect)
}

// claimTrial returns leave to send a request that is suspect of ending servers to one of
// them, and whether it is kept from them instead. Other requests need no leave.
func (c *conversation) claimTrial() (trial *quarantine.Trial, isKeptBack bool) {
	guard := c.handler.quarantine
	if guard == nil || guard.IsIdle() {
		return nil, false
	}
	fingerprint := c.fingerprint()
	switch guard.Standing(fingerprint) {
	case quarantine.Quarantined:
		return nil, true
	case quarantine.Suspect:
		limited, cancel := context.WithTimeout(c.received.Context(), claimTimeout)
		defer cancel()
		trial = guard.ClaimTrial(limited, fingerprint)
		return trial, trial == nil
	}
	return nil, false
}

// quarantineWait returns when a request that is kept from servers may come back: soon while
// it may still be cleared, else once it is forgotten.
func (c *conversation) quarantineWait() time.Duration {
	guard, fingerprint := c.handler.quarantine, c.fingerprint()
	if guard.Standing(fingerprint) != quarantine.Quarantined {
		return trialWait
	}
	return max(trialWait, guard.Until(fingerprint, time.Now()))
}
