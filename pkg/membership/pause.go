package membership

import (
	"context"
	"time"

	pb "github.com/bramblemast/bramblemast/pkg/membership/membershippb"
)

// detectPause detects from a late tick that this process was paused. The node's list may then be
// long out of date, so the node suspects nobody, passes no gossip on and fetches the list again. It
// compares its list once more after the quarantine, because the senders of gossip that it ignores
// do not repeat it. The caller holds the mutex.
func (m *Membership) detectPause(now time.Time) {
	last := m.schedule.lastTick
	if last.IsZero() || now.Sub(last) <= m.options.Timing.PauseLimit {
		return
	}
	m.schedule.lastTick = now
	m.stale = true
	m.staleSince = now
	m.quarantineUntil = now.Add(gossipQuarantine)
	m.schedule.sync = m.quarantineUntil
	m.queue.clear()
	m.table.restartSuspicions(now)
	m.health.degrade(pauseHealthPenalty)
	m.counters.pauses.Add(1)
	m.logger.Warn("process was paused", "seconds", now.Sub(last).Seconds())
}

// giveUpRecovery continues with the node's own list if no other node supplied a newer one within
// recoveryTimeout, for example because all nodes were paused together. The caller holds the mutex.
func (m *Membership) giveUpRecovery(now time.Time) {
	if now.Sub(m.staleSince) < recoveryTimeout {
		return
	}
	m.stale = false
	m.table.restartSuspicions(now)
	m.queue.addEntry(entryOf(m.table.self))
}

// recover replaces this node's list with that of another member. It fetches only the buckets that
// differ, so that the return of many paused nodes is cheap.
func (m *Membership) recover(ctx context.Context) {
	address, ok := m.recoverySource()
	if !ok {
		return
	}
	reply, err := m.compare(ctx, address)
	if err != nil || reply.Stale || reply.Self.GetZone() != string(m.options.Self.Zone) {
		return
	}
	m.deliver(m.replaceList(reply))
}

// replaceList applies another member's list after a pause. It returns the broadcasts that this node
// missed.
func (m *Membership) replaceList(reply *pb.SyncReply) []delivery {
	m.mutex.Lock()
	defer m.unlock()
	if !m.stale {
		return nil
	}
	now := time.Now()
	m.table.dropSuspicions()
	m.table.dropBuckets(reply.Buckets)
	m.applyAll(append(reply.Entries, reply.Self), now, false)
	m.stale = false
	m.queue.addEntry(entryOf(m.table.self))
	m.logger.Info("list compared after a pause", "members", m.table.zoneSize, "buckets", len(reply.Buckets))
	return m.receiveBroadcasts(reply.News, now)
}
