package edge

import (
	"context"
	"os"
	"reflect"
	"time"
)

// reloadInterval is how often the settings are read again, since they may
// change without a signal.
const reloadInterval = 10 * time.Second

// watchSettings reads the settings again at each signal and now and then, and
// puts what can change in a running node into force.
func (n *Node) watchSettings(ctx context.Context) error {
	if n.options.Reload == nil {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.options.ReloadSignals:
			n.logger.Info("reload asked for", "by", "signal")
		case <-ticker.C:
		}
		n.reload()
	}
}

// reload reads the settings once. Settings at fault change nothing.
func (n *Node) reload() {
	offered, err := n.options.Reload()
	if err != nil {
		if text := err.Error(); text != n.lastReloadError {
			n.lastReloadError = text
			n.logger.Error("settings refused", "error", text)
		}
		return
	}
	n.lastReloadError = ""
	current := n.settings.Load()
	if reflect.DeepEqual(current, offered) {
		return
	}
	n.settings.Store(offered)
	n.state.budgets.setBounds(offered.Bounds)
	n.state.fleet.SetLeaveGrace(offered.leaveGrace())
	n.state.fleet.SetWarmUpBounds(offered.warmUpBounds())
	n.follower.SetStalenessBound(offered.stalenessBound())
	n.follower.SetWriteBackSpan(offered.writeBackSpan())
	n.follower.SetConfirmWhenIdle(offered.Bounds.RefuseUnconfirmedKeys)
	if n.peers != nil {
		n.peers.SetSeeds(offered.Peers)
	}
	needsRestart := current.Listen != offered.Listen || current.Store != offered.Store || current.Node != offered.Node
	n.logger.Info("settings in force", "bounds", offered.Bounds, "peers", offered.Peers, "needs_restart", needsRestart)
}

// Hangups is a source of reload signals.
type SignalChannel <-chan os.Signal
