package query

import "sync"

// inbox passes finished attempts from their goroutines to the query's event loop. The loop takes all
// attempts that have arrived at once, so that a burst of answers costs one wake-up. It is safe for
// concurrent use.
type inbox struct {
	// ready holds one token while there may be something to do. The loop waits on this channel
	// only: its timer and the caller's context wake it through ready too, because a plain receive
	// costs less than a select.
	ready chan struct{}

	// mutex guards the fields below.
	mutex  sync.Mutex
	first  *attempt
	last   *attempt
	closed bool
}

func newInbox() inbox { return inbox{ready: make(chan struct{}, 1)} }

// deliver adds a finished attempt. It never blocks. It returns false if the inbox is closed; the
// attempt is then late, and the caller drops it.
func (i *inbox) deliver(finished *attempt) bool {
	i.mutex.Lock()
	if i.closed {
		i.mutex.Unlock()
		return false
	}
	wake := i.first == nil
	if wake {
		i.first = finished
	} else {
		i.last.next = finished
	}
	i.last = finished
	i.mutex.Unlock()
	if wake {
		i.wake()
	}
	return true
}

// wake wakes the event loop. It never blocks.
func (i *inbox) wake() {
	select {
	case i.ready <- struct{}{}:
	default:
	}
}

// take returns the finished attempts in order of arrival, linked by next.
func (i *inbox) take() *attempt {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	first := i.first
	i.first, i.last = nil, nil
	return first
}

// close rejects further attempts and returns those that were not taken yet.
func (i *inbox) close() *attempt {
	i.mutex.Lock()
	i.closed = true
	i.mutex.Unlock()
	return i.take()
}
