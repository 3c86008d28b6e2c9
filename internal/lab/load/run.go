package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bramblemast/bramblemast/internal/pause"
)

// Streams of the seed, so that arrivals don't depend on the mix.
const (
	arrivalStream = iota + 1
	requestStream
)

// runner is the state of one run.
type runner struct {
	options  Options
	client   *client
	recorder *recorder
	progress progress
	// start is the time zero of the schedule.
	start time.Time
	// slots bounds the outstanding requests.
	slots   chan struct{}
	waiting sync.WaitGroup
}

// Run sends the load and waits for the last answer. If ctx is cancelled it
// stops sending, cancels what is outstanding and returns what was measured
// with the error of ctx.
func Run(ctx context.Context, options Options) (*Result, error) {
	options, err := options.withDefaults()
	if err != nil {
		return nil, err
	}
	r := &runner{
		options: options,
		client:  newClient(options),
		start:   time.Now(),
		slots:   make(chan struct{}, options.MaxOutstanding),
	}
	r.recorder = newRecorder(options.Arm, window{start: r.start.Add(options.Warmup), duration: options.duration()})
	defer r.client.close()
	stopProgress := r.startProgress()
	defer stopProgress()

	before := sampleProcessor()
	r.sendAll(ctx)
	use := sampleProcessor().since(before)
	r.waiting.Wait()
	return r.result(use), ctx.Err()
}

func (r *runner) startProgress() (stop func()) {
	if r.options.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { r.progress.run(r.options.Progress, done) })
	return func() {
		close(done)
		running.Wait()
	}
}

// sendAll starts each request at its intended time. It never waits for answers.
func (r *runner) sendAll(ctx context.Context) {
	arrivals := newSchedule(r.options, rand.New(rand.NewPCG(r.options.Seed, arrivalStream)))
	requests := newGenerator(r.options, rand.New(rand.NewPCG(r.options.Seed, requestStream)))
	for {
		next, more := arrivals.following()
		if !more {
			return
		}
		intended := r.start.Add(next.at)
		if !pause.For(ctx, time.Until(intended)) {
			return
		}
		r.launch(ctx, requests.draw(next.step), intended)
	}
}

// launch starts a request unless too many are outstanding.
func (r *runner) launch(ctx context.Context, request *Request, intended time.Time) {
	measured := request.step != warmupStep
	r.progress.offered.Add(1)
	sent := true
	select {
	case r.slots <- struct{}{}:
	default:
		sent = false
	}
	if measured {
		r.recorder.arrived(sent)
	}
	if !sent {
		return
	}
	r.progress.outstanding.Add(1)
	r.waiting.Go(func() {
		defer func() { <-r.slots }()
		defer r.progress.outstanding.Add(-1)
		if measured {
			r.recorder.started(time.Since(intended))
		}
		done := r.converse(ctx, request, intended)
		r.progress.finished(done)
		r.recorder.finish(done)
	})
}

// converse runs the exchanges of one request: the first, those after refusals,
// and the caller's own repeat. The repeat is observed but not measured.
func (r *runner) converse(ctx context.Context, request *Request, intended time.Time) finished {
	attempt := 1
	last := r.exchange(ctx, request, attempt)
	for r.comesBack(last) && pause.For(ctx, retryAfter(last)) {
		attempt++
		last = r.exchange(ctx, request, attempt)
	}
	if request.Repeat {
		r.exchange(ctx, request, attempt+1)
	}
	return finished{request: request, intended: intended, last: last, exchanges: attempt}
}

func (r *runner) exchange(ctx context.Context, request *Request, attempt int) *Exchange {
	exchange := r.client.send(ctx, request, attempt)
	if r.options.Observer != nil {
		r.options.Observer.Observe(exchange)
	}
	return exchange
}

// comesBack reports whether the caller asks again: only after a refusal that
// says when, and that tells that the request did not run.
func (r *runner) comesBack(last *Exchange) bool {
	if !r.options.HonourRetryAfter || last.Attempt >= r.options.MaxAttempts {
		return false
	}
	return last.Refused() && last.Problem != nil && last.Problem.RetryAfterMS > 0
}

func retryAfter(last *Exchange) time.Duration {
	return time.Duration(last.Problem.RetryAfterMS) * time.Millisecond
}

func (r *runner) result(use Processor) *Result {
	result := &Result{
		Name:      r.options.Name,
		Seed:      r.options.Seed,
		Started:   r.start,
		DurationS: r.options.duration().Seconds(),
		Steps:     r.options.Steps,
		Processor: use,
	}
	r.recorder.fill(result)
	return result
}
