package machinelist

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/target"
)

const (
	// DefaultInterval is the usual time between two fetches.
	DefaultInterval = 5 * time.Second
	// jitterShare is the share of the interval by which it is varied.
	jitterShare = 0.2
)

// Fetcher gives the machine list; Client implements it.
type Fetcher interface {
	Fetch(ctx context.Context) (List, error)
}

// PollerOptions sets up a Poller.
type PollerOptions struct {
	Fetcher Fetcher
	// Interval is the mean time between two fetches of a node that is alone,
	// varied by a fifth so that nodes don't fetch together; zero means
	// DefaultInterval.
	Interval time.Duration
	// Turns has the nodes of a zone fetch by turns; nil to poll alone.
	Turns *Turns
	// OnList receives every list that was fetched, on the goroutine of Run, but
	// for one that the source said is unchanged.
	OnList func(list List)
	// OnDelta receives what another node told, from Receive. OnList and OnDelta
	// are never called at the same time. Nil has OnList called with the whole
	// list.
	OnDelta func(delta Delta)
	// Random is the source of jitter; nil means a random seed.
	Random *rand.Rand
	// Logger is nil for none.
	Logger hclog.Logger
}

// Status is the state of a Poller.
type Status struct {
	// List is the last good list, with what other nodes told since; nil before
	// the first.
	List List
	// FetchedAt is when this node fetched it.
	FetchedAt time.Time
	// Failures counts the fetches that failed since then.
	Failures int
	// LastError is the error of the last fetch: nil, an EntryErrors of a list
	// that was used nevertheless, or why there was none.
	LastError error
}

// Poller fetches the list again and again, alone or by turns with the other nodes
// of its zone. While the source is away the last
// good list stands. An empty list is taken for a fault of the source if an
// earlier list had entries.
type Poller struct {
	options PollerOptions

	// changing is held while the list changes and the callbacks are told. It
	// guards overtaken. The other mutexes may be taken under it, but not under
	// each other.
	changing sync.Mutex
	// overtaken are the servers that deltas named since the present fetch began.
	overtaken map[target.ServerID]struct{}

	// mutex guards status and digest. Nothing outside is called under it, so
	// that Status can be called anywhere.
	mutex  sync.Mutex
	status Status
	// digest is that of status.List.
	digest uint64

	// scheduling guards schedule with its source of jitter. Turns.Living is
	// called under it.
	scheduling sync.Mutex
	schedule   schedule

	// rescheduled wakes Run when the time of the next fetch may have changed.
	rescheduled chan struct{}
}

// NewPoller returns a poller; Run starts it.
func NewPoller(options PollerOptions) *Poller {
	if options.Interval <= 0 {
		options.Interval = DefaultInterval
	}
	if options.OnList == nil {
		options.OnList = func(List) {}
	}
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	return &Poller{
		options:     options,
		schedule:    schedule{interval: options.Interval, turns: options.Turns, random: options.Random},
		rescheduled: make(chan struct{}, 1),
	}
}

// Status returns the current state. Its list must not be changed.
func (p *Poller) Status() Status {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.status
}

// Run fetches at once and then in intervals or by turns until ctx ends. It
// returns the error of ctx.
func (p *Poller) Run(ctx context.Context) error {
	for {
		p.poll(ctx)
		if err := p.wait(ctx); err != nil {
			return err
		}
	}
}

// wait returns when the next fetch is due. It looks again each interval, since
// that depends on the number of living nodes.
func (p *Poller) wait(ctx context.Context) error {
	for {
		p.scheduling.Lock()
		remaining := time.Until(p.schedule.due())
		p.scheduling.Unlock()
		if remaining <= 0 {
			return ctx.Err()
		}
		timer := time.NewTimer(min(remaining, p.options.Interval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-p.rescheduled:
			timer.Stop()
		case <-timer.C:
		}
	}
}

var errEmptyList = errors.New("machine list is empty though an earlier one was not")

func (p *Poller) poll(ctx context.Context) {
	p.changing.Lock()
	p.overtaken = make(map[target.ServerID]struct{})
	p.changing.Unlock()
	list, err := p.options.Fetcher.Fetch(ctx)
	if ctx.Err() != nil {
		return
	}
	if err == nil && len(list) == 0 && len(p.Status().List) > 0 {
		err = errEmptyList
	}
	usable := isUsable(list, err)
	if err != nil {
		p.options.Logger.Warn("machine list has errors", "used", usable, "error", err)
	}
	if !usable {
		p.recordFailure(err)
		p.fetched(usable)
		return
	}
	delta, tell := p.take(list, err)
	p.fetched(usable)
	if tell {
		p.tell(delta)
	}
}

// take makes a fetched list the current one. It returns how it differs from the
// earlier one if there are other nodes to tell.
func (p *Poller) take(list List, err error) (Delta, bool) {
	p.changing.Lock()
	defer p.changing.Unlock()
	held := p.Status().List
	list = keepOvertaken(list, held, p.overtaken)
	p.overtaken = nil
	unchanged := isSame(list, held)
	p.record(list, err, unchanged)
	if !unchanged {
		p.options.OnList(list)
	}
	if held == nil || !p.options.Turns.shared() {
		return Delta{}, false
	}
	if unchanged {
		return Delta{}, true
	}
	return difference(held, list), true
}

// tell announces a fetch to the other nodes, with what it changed.
func (p *Poller) tell(delta Delta) {
	digest := p.currentDigest()
	p.scheduling.Lock()
	announced := announcement{turn: p.options.Random.Uint64() | 1, digest: digest}
	p.schedule.announced(time.Now(), announced.turn)
	p.scheduling.Unlock()
	told := delta.first(maxBroadcastServers)
	if told.Len() < delta.Len() {
		p.options.Logger.Info("large change of the machine list", "servers", delta.Len(), "told", told.Len())
	}
	messages, err := encodeDelta(told, announced)
	for _, message := range messages {
		if err == nil {
			err = p.options.Turns.Broadcast(message)
		}
	}
	if err != nil {
		p.options.Logger.Error("change of the machine list was not sent", "servers", told.Len(), "error", err)
	}
}

// Receive takes a message that another node's poller broadcast. Before the
// first list of its own a poller applies nothing. A message that can't be read
// is refused whole.
func (p *Poller) Receive(message []byte) error {
	delta, announced, err := decodeDelta(message)
	if err != nil {
		return err
	}
	p.apply(delta)
	if announced.turn == 0 || p.options.Turns == nil {
		return nil
	}
	same := announced.digest == p.currentDigest()
	p.scheduling.Lock()
	now := time.Now()
	p.schedule.announced(now, announced.turn)
	p.schedule.compared(now, same)
	p.scheduling.Unlock()
	select {
	case p.rescheduled <- struct{}{}:
	default:
	}
	return nil
}

func (p *Poller) currentDigest() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.digest
}

// apply changes the list by a delta.
func (p *Poller) apply(delta Delta) {
	p.changing.Lock()
	defer p.changing.Unlock()
	held := p.Status().List
	if held == nil || delta.Len() == 0 {
		return
	}
	p.noteOvertaken(&delta)
	list, digest := delta.apply(held)
	p.mutex.Lock()
	p.status.List = list
	p.digest += digest
	p.mutex.Unlock()
	if p.options.OnDelta == nil {
		p.options.OnList(list)
		return
	}
	p.options.OnDelta(delta)
}

// noteOvertaken notes the servers of a delta if a fetch is under way, whose
// answer may be older. The caller holds changing.
func (p *Poller) noteOvertaken(delta *Delta) {
	if p.overtaken == nil {
		return
	}
	for index := range delta.Changed {
		p.overtaken[delta.Changed[index].Server] = struct{}{}
	}
	for _, server := range delta.Removed {
		p.overtaken[server] = struct{}{}
	}
}

// isSame reports whether two lists are one and the same slice, which is what a
// Client returns for an unchanged source.
func isSame(list, other List) bool {
	return len(list) == len(other) && len(list) > 0 && &list[0] == &other[0]
}

// isUsable reports whether a fetch gave a list: a whole one, or the good
// entries of one with bad entries.
func isUsable(list List, err error) bool {
	if err == nil {
		return true
	}
	var bad EntryErrors
	return errors.As(err, &bad) && len(list) > 0
}

func (p *Poller) recordFailure(err error) {
	p.changing.Lock()
	p.overtaken = nil
	p.changing.Unlock()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.status.LastError = err
	p.status.Failures++
}

func (p *Poller) record(list List, err error, unchanged bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.status = Status{List: list, FetchedAt: time.Now(), LastError: err}
	if p.options.Turns != nil && !unchanged {
		p.digest = list.digest()
	}
}

// fetched notes the end of a fetch for the time of the next.
func (p *Poller) fetched(usable bool) {
	p.scheduling.Lock()
	defer p.scheduling.Unlock()
	p.schedule.fetched(time.Now(), usable)
}
