package front

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
)

// trialWait is the retry time for a suspect request that has no trial left at this node: a trial at
// another node takes a few tenths of a second, and its result arrives here within a second or two.
const trialWait = time.Second

// fingerprint identifies the request over all attempts of its client.
func (c *clientRequest) fingerprint() exchange.Fingerprint {
	return c.request.Fingerprint(&c.handler.dialect.Dialect)
}

// isQuarantined reports whether the request is known to crash the servers that run it.
func (c *clientRequest) isQuarantined() bool {
	guard := c.handler.quarantine
	return guard != nil && !guard.IsIdle() && guard.State(c.fingerprint()) == quarantine.Quarantined
}

// quarantineWait returns after which time a quarantined or suspect request may be retried: trialWait
// while it may still be cleared, else the time until its next trial.
func (c *clientRequest) quarantineWait() time.Duration {
	guard, fingerprint := c.handler.quarantine, c.fingerprint()
	if guard.State(fingerprint) != quarantine.Quarantined {
		return trialWait
	}
	return max(trialWait, guard.RetryAfter(fingerprint, time.Now()))
}
