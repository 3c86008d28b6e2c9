package edge

import (
	"context"
	"os"
	"reflect"
	"time"
)

// reloadInterval is the time between two reloads of the settings, which may change without a signal.
const reloadInterval = 10 * time.Second

// watchSettings reloads the settings at each signal and every reloadInterval, and applies those that
// can change in a running node.
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
			n.logger.Info("settings reload requested", "by", "signal")
		case <-ticker.C:
		}
		n.reload()
	}
}

// reload reads the settings once. Invalid settings change nothing; the same error is logged once.
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

// SignalChannel delivers signals that ask for a reload.
type SignalChannel <-chan os.Signal
