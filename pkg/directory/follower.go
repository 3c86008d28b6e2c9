package directory

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/pause"
)

// Times of the follower.
const (
	// minWatchWait and maxWatchWait bound how long one watch waits. A watch that
	// says nothing any more is noticed after it, or earlier by peers that know
	// more. The waits differ, so that watches which fell silent together are not
	// all noticed late.
	minWatchWait = 4 * time.Second
	maxWatchWait = 6 * time.Second
	// watchSlack is how much longer the answer of a watch may take.
	watchSlack = time.Second
	// loadTimeout bounds one reading of everything.
	loadTimeout = 2 * time.Second
	// MinStalenessBound is the least age that news may have; see SetStalenessBound.
	MinStalenessBound = 800 * time.Millisecond
	// immediateWatchWait is the wait of a watch that is to tell at once all that the
	// store holds now.
	immediateWatchWait = time.Millisecond
	// settleSpan is for how long after a reading of everything, or after a return
	// of the store, changes are read after the least pause: servers write their
	// entries again within about two seconds and a heartbeat.
	settleSpan = 4 * time.Second
	// minRetry and maxRetry bound the wait after a failed call.
	minRetry = 100 * time.Millisecond
	maxRetry = 800 * time.Millisecond
	// maxInitialRetry bounds it until the store has been read once: a node
	// that knows nothing serves nothing.
	maxInitialRetry = 250 * time.Millisecond
	// minPollerRetry and maxPollerRetry bound it for a node that others read for:
	// they notice the return of the store within maxRetry and tell it.
	minPollerRetry = 3 * time.Second
	maxPollerRetry = 5 * time.Second
	// confirmTimeout is how long a node that has read a copy of the store, which may be
	// seconds old, leaves it to others to tell it the rest. They answer within an
	// urgentInterval once they have read the store themselves.
	confirmTimeout = time.Second
	// discoverySpan is for how long a node of a system that starts for the first time reads
	// copies of the store, once in a confirmTimeout, until others read for it: nodes that
	// start together show there within seconds, and few need to read the store itself.
	discoverySpan = 3 * time.Second
	// maxOutageJitter is by how much the nodes' own readings are spread when those that
	// read for them have old news too, as in an outage of the store.
	maxOutageJitter = 800 * time.Millisecond
)

// Names of dependencies.
const (
	storeDependency = "store"
	// peersDependency is that of a node that has just started on other nodes, which know what was in
	// force before a restore of the store.
	peersDependency = "peers"
)

// Follower keeps a replica of the store. Run is called once; the other methods
// are safe for concurrent use.
type Follower struct {
	source   Source
	listener Listener
	replica  *replica
	// kick ends a watch that waits.
	interrupt chan struct{}
	// stalenessBound is how old news may be, and writeBackNanos how long the operator and the servers may
	// take to write again what a restore has lost, in nanoseconds.
	stalenessNanos atomic.Int64
	writeBackNanos atomic.Int64
	// awaitsPeers says that the node has just started and cannot tell whether what it has read is
	// older than what was in force.
	awaitsPeers atomic.Bool
	// confirms says that what is known is confirmed within stalenessBound also where nothing
	// changes.
	confirmWhenIdle atomic.Bool
	// role is a Role.
	role atomic.Int32
	// suspended returns for how long the machine has been suspended so far.
	suspendedTotal func() time.Duration
	// others returns how many other nodes are known; nil if there is nobody to ask.
	peerCount func() int
	// isFirstStart says that the whole system starts for the first time.
	isFirstStart bool
	// firstLoad is closed when the store has been read for the first time.
	firstLoad chan struct{}
	// loads counts the readings of everything, and assigned those after which the node
	// has got its role from the nodes that were found. loadDone and roleAssigned have an
	// element after a change of the one and the other.
	loadCount    atomic.Int64
	loadsAtRole  atomic.Int64
	loadDone     chan struct{}
	roleAssigned chan struct{}
	// spread is how much longer than the others this node waits in an outage, and
	// isOutage says that those that read for it have old news.
	outageJitter time.Duration
	isOutage     atomic.Bool

	// taking makes batches be applied one at a time, so that one of them begins an era.
	applying sync.Mutex

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	contactAt time.Time
	// confirmedAt is the latest moment at which the replica was all that the store
	// held, as the store or another node has shown; zero for never.
	confirmedAt time.Time
	// confirmedSuspended is for how long the machine had been suspended then.
	confirmedSuspended time.Duration
	// confirmations are the latest moments of that kind, oldest first, a
	// confirmationSpacing apart at least.
	confirmations []time.Time
	// roleSince is when the node got its role.
	roleSince time.Time
	// last is when the store did not answer last, and then did again; outageStart is since
	// when it does not, and failedAt when it last did not.
	latestOutage outage
	outageStart  time.Time
	failedAt     time.Time
	contact      contact
	// provenBeforeRestore is the latest moment before the last restore of the store at which the replica was all
	// that it held, and suspendedAtRestore for how long the machine had been suspended at the restore.
	provenBeforeRestore time.Time
	suspendedAtRestore  time.Duration

	// Only Run uses the fields below.
	loaded    bool
	loadedAt  time.Time
	startedAt time.Time
	failures  int
	// failureKind is the kind of the last failure.
	failureKind failureKind
	// historyGone says that the changes since the last reading are not known any more,
	// so that no copy will do.
	historyGone bool
}

// NewFollower returns a follower that has read nothing yet.
func NewFollower(source Source, listener Listener) *Follower {
	created := &Follower{
		source: source, listener: listener, replica: newReplica(listener), interrupt: make(chan struct{}, 1),
		firstLoad: make(chan struct{}), loadDone: make(chan struct{}, 1), roleAssigned: make(chan struct{}, 1), outageJitter: rand.N(maxOutageJitter),
		suspendedTotal: func() time.Duration { return 0 },
	}
	created.SetStalenessBound(MinStalenessBound)
	created.SetWriteBackSpan(defaultWriteBackSpan)
	return created
}

// SetStalenessBound takes how old news may be while the store answers: changes that
// come within that time are read by one call, and where it is long enough, few
// nodes of a zone read for the others. Those that read make calls in inverse
// proportion to it.
func (f *Follower) SetStalenessBound(span time.Duration) {
	f.stalenessNanos.Store(int64(max(span, MinStalenessBound)))
}

// SetFirstStart tells that the whole system starts for the first time. It is called
// before Run.
func (f *Follower) SetFirstStart(isFirst bool) { f.isFirstStart = isFirst }

// FirstLoad returns a channel that is closed when the store has been read for the
// first time.
func (f *Follower) FirstLoad() <-chan struct{} { return f.firstLoad }

// Role returns how the node learns what changes in the store.
func (f *Follower) Role() Role { return Role(f.role.Load()) }

// setRole takes how the node learns what changes, by the nodes that were known after
// so many loads, and reports whether that is new.
func (f *Follower) setRole(role Role, loads int64) bool {
	isNew := f.role.Swap(int32(role)) != int32(role)
	if isNew {
		f.mutex.Lock()
		f.roleSince = time.Now()
		f.mutex.Unlock()
	}
	f.loadsAtRole.Store(loads)
	signal(f.roleAssigned)
	return isNew
}

// roleAssignedAt returns when the node got its role.
func (f *Follower) roleAssignedAt() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.roleSince
}

// signal puts an element into a channel that holds one at most.
func signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// stalenessBound returns how old news may be.
func (f *Follower) stalenessBound() time.Duration { return time.Duration(f.stalenessNanos.Load()) }

// readerPause returns how old a reader's own news may be, so that the nodes which
// ask it have news in time: it waits as long after a change, or for one.
func (f *Follower) readerPause() time.Duration {
	return time.Duration(readerShare * float64(f.stalenessBound()))
}

// ConfirmedAt returns the latest moment at which the node knew all that the store
// held; zero for never.
func (f *Follower) ConfirmedAt() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.adjustedConfirmedAt()
}

// adjustedConfirmedAt returns confirmedAt on the steady clock as if that had run on while the machine was
// suspended. The mutex is held.
func (f *Follower) adjustedConfirmedAt() time.Time {
	if f.confirmedAt.IsZero() {
		return f.confirmedAt
	}
	return f.confirmedAt.Add(f.confirmedSuspended - f.suspendedTotal())
}

// SetSuspensionClock takes what tells for how long the machine has been suspended so far: what was
// known before is older by what has been added since. It is called before Run.
func (f *Follower) SetSuspensionClock(total func() time.Duration) { f.suspendedTotal = total }

// Resumed tells that the machine was suspended: a watch that waits may be dead.
func (f *Follower) Resumed() { f.interruptWatch() }

// confirm takes a moment at which the replica was all that the store held.
func (f *Follower) confirm(at time.Time) {
	f.mutex.Lock()
	f.confirmedAt = later(f.adjustedConfirmedAt(), at)
	f.confirmedSuspended = f.suspendedTotal()
	f.noteConfirmation(at)
	isBack := f.contact == contactLost && f.Role() == PeerPoller && at.After(f.failedAt)
	confirmedAt := f.confirmedAt
	f.mutex.Unlock()
	f.replica.expireRetained(confirmedAt, f.writeBackSpan())
	if isBack {
		f.noteRegainedByPeers()
	}
}

// setOutage notes whether the nodes that read for this one have old news.
func (f *Follower) setOutage(isStale bool) { f.isOutage.Store(isStale) }

// Revision returns up to which revision the store is known, and when it last
// answered.
func (f *Follower) Revision() (uint64, time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.replica.revision(), f.contactAt
}

// interruptWatch ends a watch that waits, since it seems to miss changes.
func (f *Follower) interruptWatch() {
	signal(f.interrupt)
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.startedAt = time.Now()
	for ctx.Err() == nil {
		f.awaitOwnRead(ctx)
		changed, err := f.step(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, errWatchInterrupted) {
			continue
		}
		if err != nil {
			f.noteStoreLost(err)
			pause.For(ctx, f.retryDelay())
			f.failures++
			continue
		}
		f.failures = 0
		if changed {
			pause.For(ctx, f.pauseAfterChange(time.Now()))
		}
	}
	return nil
}

// step makes one call and reports whether anything changed.
func (f *Follower) step(ctx context.Context) (bool, error) {
	if !f.loaded || f.isDiscovering() {
		return false, f.load(ctx)
	}
	return f.watch(ctx)
}

// errWatchInterrupted ends a watch because other nodes know more.
var errWatchInterrupted = errors.New("other nodes know more than the watch has told")

func (f *Follower) watch(ctx context.Context) (bool, error) {
	f.clearInterrupt()
	wait := f.watchWait()
	limited, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	interruptible, cancelCause := context.WithCancelCause(limited)
	defer cancelCause(nil)
	defer f.cancelOnInterrupt(cancelCause)()
	before := f.replica.position()
	batch, err := f.source.Watch(interruptible, before.Revision, wait)
	if errors.Is(err, ErrHistoryGone) {
		f.loaded, f.historyGone = false, true
		return false, nil
	}
	if err != nil && errors.Is(context.Cause(interruptible), errWatchInterrupted) {
		return false, errWatchInterrupted
	}
	if err != nil {
		return false, errors.WithMessage(err, "watch the store")
	}
	f.noteStoreRegained()
	if batch.Era > before.Era {
		// The revision that was asked for belongs to an era before.
		f.loaded, f.historyGone = false, true
		return false, nil
	}
	if current := f.replica.position(); current.Era > before.Era || batch.Era != 0 && batch.Era < before.Era {
		return false, errors.Wrapf(ErrStoreBehind, "the watch tells of era %d, %d was seen", batch.Era, current.Era)
	}
	f.applyBatch(batch, allChanges)
	f.confirm(time.Now())
	return len(batch.Entries) > 0, nil
}

// clearInterrupt drops what interruptWatch has asked for so far. It comes before anything that a
// watch depends on is looked at, so that a change after it ends the watch.
func (f *Follower) clearInterrupt() {
	select {
	case <-f.interrupt:
	default:
	}
}

// cancelOnInterrupt lets interruptWatch end the watch until the returned function is
// called.
func (f *Follower) cancelOnInterrupt(cancelCause context.CancelCauseFunc) func() {
	stop := make(chan struct{})
	go func() {
		select {
		case <-f.interrupt:
			cancelCause(errWatchInterrupted)
		case <-stop:
		}
	}()
	return func() { close(stop) }
}

// load reads everything, at most once in a MinStalenessBound: a store may drop its
// history again and again. A node that knows nothing reads a copy of the store first,
// which costs a tenth and serves many at once, and then what has changed since.
func (f *Follower) load(ctx context.Context) error {
	if since := time.Since(f.loadedAt); since < MinStalenessBound {
		pause.For(ctx, MinStalenessBound-since)
	}
	fresh := f.historyGone || !f.ConfirmedAt().IsZero() || f.failures%2 == 1
	limited, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	batch, err := f.source.Load(limited, fresh)
	if err != nil {
		return errors.WithMessage(err, "read the store")
	}
	if !fresh && !f.trustsCopy(batch) {
		f.historyGone = true
		return nil
	}
	if known := f.replica.position(); known.isAheadOf(batch) {
		if !fresh {
			// The copy is older than what other nodes have told: the changes since are
			// read next.
			f.noteLoaded(time.Now())
			return nil
		}
		return errors.Wrapf(ErrStoreBehind, "the store answered with revision %d of era %d, %d of era %d was seen",
			batch.Revision, batch.Era, known.Revision, known.Era)
	}
	f.noteStoreRegained()
	f.startAwaitingPeers(batch)
	f.applyBatch(batch, wholeState)
	f.noteSettlingAtStart()
	f.noteLoaded(time.Now())
	if fresh {
		f.historyGone = false
		f.confirm(f.loadedAt)
	}
	return nil
}

// noteLoaded notes a reading of everything.
func (f *Follower) noteLoaded(now time.Time) {
	if f.loadedAt.IsZero() {
		close(f.firstLoad)
	}
	f.loaded, f.loadedAt = true, now
	f.loadCount.Add(1)
	signal(f.loadDone)
}

// retryDelay returns the wait after a failed call. Only Run calls it.
func (f *Follower) retryDelay() time.Duration {
	maxDelay := maxRetry
	switch revision, _ := f.Revision(); {
	case revision == 0:
		maxDelay = maxInitialRetry
	case f.Role() == PeerPoller:
		return minPollerRetry + rand.N(maxPollerRetry-minPollerRetry)
	}
	return pause.Doubled(minRetry, maxDelay, f.failures)
}
