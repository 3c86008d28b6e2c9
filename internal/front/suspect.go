package front

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
)

// trialWait is told to the client of a suspect request that has no trial left at this node:
// another node's takes a few tenths of a second, and news of it a second or two.
const trialWait = time.Second

// fingerprint tells the request from others, through all tries of its client.
func (c *conversation) fingerprint() exchange.Fingerprint {
	return c.request.Fingerprint(&c.handler.dialect.Dialect)
}

// isQuarantined reports whether the request is known to end the servers that run it.
func (c *conversation) isQuarantined() bool {
	guard := c.handler.quarantine
	return guard != nil && !guard.IsIdle() && guard.State(c.fingerprint()) == quarantine.Quarantined
}

// quarantineWait returns after which time a request that is kept from servers may be retried: soon while
// it may still be cleared, else when it may be tried again.
func (c *conversation) quarantineWait() time.Duration {
	guard, fingerprint := c.handler.quarantine, c.fingerprint()
	if guard.State(fingerprint) != quarantine.Quarantined {
		return trialWait
	}
	return max(trialWait, guard.RetryAfter(fingerprint, time.Now()))
}
