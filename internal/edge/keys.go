package edge

import (
	"time"

	"github.com/bramblemast/bramblemast/internal/front"
)

// keyFreshness returns whether the node's copy of callers' keys is current, old, or so old that
// keys are refused.
func (n *Node) keyFreshness() front.KeyFreshness {
	settings := n.settings.Load()
	switch {
	case settings.Bounds.RefuseUnconfirmedKeys && !n.follower.IsFreshWithin(settings.revocationAge()):
		return front.KeysLapsed
	case !n.follower.IsFresh():
		return front.KeysStale
	}
	return front.KeysCurrent
}

// watchKeys logs when requests begin to be refused because their keys cannot be confirmed, and when
// that ends. Only sweepServers calls it.
func (n *Node) watchKeys() {
	table := n.state.Table()
	lapsed := table != nil && table.HasTenants() && n.keyFreshness() == front.KeysLapsed
	if lapsed == n.keysLapsed {
		return
	}
	n.keysLapsed = lapsed
	age := n.stalenessMillis()
	if lapsed {
		n.metrics.keysLapsed.Set(1)
		n.logger.Warn("keys lapsed", "news_age_ms", age, "error", "the store cannot be asked which keys were removed")
		return
	}
	n.metrics.keysLapsed.Set(0)
	n.logger.Info("keys confirmed", "news_age_ms", age)
}

// stalenessMillis returns the age of the node's copy of the store in milliseconds; -1 if it has none.
func (n *Node) stalenessMillis() int64 {
	confirmedAt := n.follower.ConfirmedAt()
	if confirmedAt.IsZero() {
		return -1
	}
	return time.Since(confirmedAt).Milliseconds()
}
