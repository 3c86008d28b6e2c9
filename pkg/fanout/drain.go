package fanout

import "context"

// Drain tells runs how far a planned stop of the node has proceeded. It is safe for concurrent use.
type Drain struct {
	// starting ends when no request may be started any more that could not be finished in time.
	starting    context.Context
	endStarting context.CancelFunc
	// running ends when every request needs its final answer.
	running    context.Context
	endRunning context.CancelFunc
}

// NewDrain returns the drain of a node that is not stopping.
func NewDrain() *Drain {
	drain := &Drain{}
	drain.running, drain.endRunning = context.WithCancel(context.Background())
	drain.starting, drain.endStarting = context.WithCancel(drain.running)
	return drain
}

// EndStarting ends the requests that no server has been asked to run, since too little of the grace
// time is left for them: their clients can send them to another node. Requests that may run more than
// once are still sent to servers that are free at once.
func (d *Drain) EndStarting() { d.endStarting() }

// End ends all requests, so that their clients get an answer before the node closes its connections.
func (d *Drain) End() { d.endRunning() }

// AfterEnd arranges for a function to be called in its own goroutine after End. The returned function
// undoes that and reports whether the call was prevented.
func (d *Drain) AfterEnd(call func()) (stop func() bool) { return context.AfterFunc(d.running, call) }

// HasEnded reports whether End was called.
func (d *Drain) HasEnded() bool { return d.running.Err() != nil }

// isStartRefused reports whether the request must not be started any more.
func (r *run) isStartRefused() bool {
	drain := r.runner.Drain
	if drain == nil {
		return false
	}
	return drain.HasEnded() || !r.plan.Repeatable && drain.starting.Err() != nil
}

// drained returns a channel that is closed when the drain ends the run; nil for never.
func (r *run) drained() <-chan struct{} {
	if r.runner.Drain == nil {
		return nil
	}
	return r.runner.Drain.running.Done()
}

// startingEnded returns a channel that is closed when the drain ends runs that have not started; nil
// for never, or if the run has seen it.
func (r *run) startingEnded() <-chan struct{} {
	if r.runner.Drain == nil || r.isDraining {
		return nil
	}
	return r.runner.Drain.starting.Done()
}

// isUnstarted reports whether neither a server nor an owner was asked to run any part, or all of them
// refused.
func (r *run) isUnstarted() bool {
	for index := range r.parts {
		if r.parts[index].question != nil {
			return false
		}
	}
	return r.hasNoExecution()
}
