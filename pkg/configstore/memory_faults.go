package configstore

import (
	"context"
	"maps"
	"time"

	"golang.org/x/time/rate"

	"github.com/bramblemast/bramblemast/internal/pause"
)

// memoryPeer names the store in errors.
const memoryPeer = "memory store"

// WriteFault is what goes wrong with a write.
type WriteFault int

// The write faults. The writer gets ErrUnknown from each of them.
const (
	// ReplyLost commits the write.
	ReplyLost WriteFault = iota + 1
	// RequestLost drops the write.
	RequestLost
	// CommitLate tries the write after LateCommitDelay, as a request does that
	// was held up in the network while the writer gave up.
	CommitLate
)

// LateCommitDelay is how late a write with the fault CommitLate is tried.
const LateCommitDelay = 3 * time.Second

// faults are the switches of a Memory.
type faults struct {
	unavailable bool
	delay       time.Duration
	limiter     *rate.Limiter
	// write is the fault of the next writeCount writes.
	write      WriteFault
	writeCount int
}

// SetUnavailable begins or ends an outage: every call, waiting watches
// included, fails with ErrUnavailable.
func (m *Memory) SetUnavailable(unavailable bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.faults.unavailable = unavailable
	m.notifyLocked()
}

// SetDelay makes every call take at least delay.
func (m *Memory) SetDelay(delay time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.faults.delay = delay
}

// SetLimit refuses calls above a rate with ErrLimited; zero lifts the limit.
func (m *Memory) SetLimit(callsPerSecond float64, burst int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.faults.limiter = nil
	if callsPerSecond > 0 {
		m.faults.limiter = rate.NewLimiter(rate.Limit(callsPerSecond), burst)
	}
}

// FailWrites gives the next count writes a fault.
func (m *Memory) FailWrites(fault WriteFault, count int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.faults.write, m.faults.writeCount = fault, count
}

// Snapshot is a state of a Memory to go back to.
type Snapshot struct {
	entries map[string]Entry
	deleted map[string]uint64
	index   uint64
}

// Snapshot returns the present state.
func (m *Memory) Snapshot() Snapshot {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return Snapshot{entries: maps.Clone(m.entries), deleted: maps.Clone(m.deleted), index: m.index}
}

// Restore goes back to an older state, indexes included, as a store does that
// was restored from a backup.
func (m *Memory) Restore(snapshot Snapshot) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.entries, m.deleted = maps.Clone(snapshot.entries), maps.Clone(snapshot.deleted)
	m.index = snapshot.index
	m.notifyLocked()
}

// admit counts a call and applies the delay, the outage and the limit to it.
func (m *Memory) admit(ctx context.Context, step string, isWrite bool) error {
	m.mutex.Lock()
	delay := m.faults.delay
	m.countLocked(isWrite)
	m.mutex.Unlock()
	if !pause.For(ctx, delay) {
		return Failure(step, memoryPeer, ErrUnavailable, ctx.Err())
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	kind := m.faults.refusal()
	if kind == nil {
		return nil
	}
	m.counts.Refused++
	return Failure(step, memoryPeer, kind, nil)
}

func (m *Memory) countLocked(isWrite bool) {
	if isWrite {
		m.counts.Writes++
		return
	}
	m.counts.Reads++
}

// refusal returns the kind of error that a call gets before it runs, or nil.
func (f *faults) refusal() error {
	if f.unavailable {
		return ErrUnavailable
	}
	if f.limiter != nil && !f.limiter.Allow() {
		return ErrLimited
	}
	return nil
}

// write runs a write, which reports whether it was made, under the faults.
func (m *Memory) write(ctx context.Context, step string, commitLocked func() bool) error {
	if err := m.admit(ctx, step, true); err != nil {
		return err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	switch m.faults.nextWrite() {
	case ReplyLost:
		commitLocked()
		return Failure(step, memoryPeer, ErrUnknown, nil)
	case RequestLost:
		return Failure(step, memoryPeer, ErrUnknown, nil)
	case CommitLate:
		time.AfterFunc(LateCommitDelay, func() { m.commit(commitLocked) })
		return Failure(step, memoryPeer, ErrUnknown, nil)
	}
	if !commitLocked() {
		return Failure(step, memoryPeer, ErrConflict, nil)
	}
	return nil
}

func (m *Memory) commit(commitLocked func() bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	commitLocked()
}

// nextWrite returns the fault of the next write, or zero.
func (f *faults) nextWrite() WriteFault {
	if f.writeCount == 0 {
		return 0
	}
	f.writeCount--
	return f.write
}

// Entries returns the present state past every fault, for the oracle of a test.
func (m *Memory) Entries() map[string]Entry {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return maps.Clone(m.entries)
}
