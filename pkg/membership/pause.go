package membership

import (
	"context"
	"time"

	pb "github.com/bramblemast/bramblemast/pkg/membership/membershippb"
)

// noticePause finds out that this process was paused, from timed work that is
// far too late. What the node believed before may be long out of date, so it
// accuses nobody, passes nothing on, and fetches the list anew. The caller
// holds the mutex.
func (m *Membership) noticePause(now time.Time) {
	last := m.schedule.lastTick
	if last.IsZero() || now.Sub(last) <= m.options.Timing.PauseLimit {
		return
	}
	m.schedule.lastTick = now
	m.stale = true
	m.staleSince = now
	m.quarantineUntil = now.Add(quarantine)
	m.queue.clear()
	m.table.restartSuspicions(now)
	m.health.worse(pauseWeight)
	m.counters.pauses.Add(1)
	m.logger.Warn("process was paused", "seconds", now.Sub(last).Seconds())
}

// giveUpRecovery goes on with the node's own list if no other node gave a newer
// one, for example because all nodes were paused together. The caller holds the
// mutex.
func (m *Membership) giveUpRecovery(now time.Time) {
	if now.Sub(m.staleSince) < staleLimit {
		return
	}
	m.stale = false
	m.table.restartSuspicions(now)
	m.queue.addEntry(entryOf(m.table.self))
}

// recover fetches the list from a member or a seed.
func (m *Membership) recover(ctx context.Context) {
	address, ok := m.recoverySource()
	if !ok {
		return
	}
	reply, err := m.callSync(ctx, address, &pb.SyncRequest{Full: true})
	if err != nil || reply.Stale || reply.Self.GetZone() != string(m.options.Self.Zone) {
		return
	}
	m.mutex.Lock()
	defer m.unlock()
	if !m.stale {
		return
	}
	m.table.reset(m.table.self)
	m.round = nil
	m.applyAll(append(reply.Entries, reply.Self), time.Now(), false)
	m.stale = false
	m.queue.addEntry(entryOf(m.table.self))
	m.logger.Info("list fetched after a pause", "members", m.table.zoneSize)
}
