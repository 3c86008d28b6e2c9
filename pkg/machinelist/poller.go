package machinelist

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
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
	// Interval is the mean time between two fetches, varied by a fifth so that
	// nodes don't fetch together; zero means DefaultInterval.
	Interval time.Duration
	// OnList receives every list that was fetched, on the goroutine of Run, but
	// for one that the source said is unchanged.
	OnList func(list List)
	// Random is the source of jitter; nil means a random seed.
	Random *rand.Rand
	// Logger is nil for none.
	Logger hclog.Logger
}

// Status is the state of a Poller.
type Status struct {
	// List is the last good list; nil before the first.
	List List
	// FetchedAt is when it was fetched.
	FetchedAt time.Time
	// Failures counts the fetches that failed since then.
	Failures int
	// LastError is the error of the last fetch: nil, an EntryErrors of a list
	// that was used nevertheless, or why there was none.
	LastError error
}

// Poller fetches the list again and again. While the source is away the last
// good list stands. An empty list is taken for a fault of the source if an
// earlier list had entries.
type Poller struct {
	options PollerOptions

	// mutex guards status.
	mutex  sync.Mutex
	status Status
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
	return &Poller{options: options}
}

// Status returns the current state. Its list must not be changed.
func (p *Poller) Status() Status {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.status
}

// Run fetches at once and then in intervals until ctx ends. It returns the
// error of ctx.
func (p *Poller) Run(ctx context.Context) error {
	for {
		p.poll(ctx)
		timer := time.NewTimer(p.nextWait())
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
}

func (p *Poller) nextWait() time.Duration {
	jitter := 1 + jitterShare*(2*p.options.Random.Float64()-1)
	return time.Duration(float64(p.options.Interval) * jitter)
}

var errEmptyList = errors.New("machine list is empty though an earlier one was not")

func (p *Poller) poll(ctx context.Context) {
	list, err := p.options.Fetcher.Fetch(ctx)
	if ctx.Err() != nil {
		return
	}
	if err == nil && len(list) == 0 && len(p.Status().List) > 0 {
		err = errEmptyList
	}
	usable := isUsable(list, err)
	unchanged := isSame(list, p.Status().List)
	p.record(list, err, usable)
	if err != nil {
		p.options.Logger.Warn("machine list has errors", "used", usable, "error", err)
	}
	if usable && !unchanged {
		p.options.OnList(list)
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

func (p *Poller) record(list List, err error, usable bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.status.LastError = err
	if !usable {
		p.status.Failures++
		return
	}
	p.status.List = list
	p.status.FetchedAt = time.Now()
	p.status.Failures = 0
}
