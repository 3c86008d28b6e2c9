package backend

import (
	"context"
	"sync/atomic"
)

// slots bounds the requests that run and wait at a server.
type slots struct {
	running  chan struct{}
	queued   atomic.Int64
	maxQueue int64
}

func newSlots(count, queue int) *slots {
	return &slots{running: make(chan struct{}, count), maxQueue: int64(queue)}
}

// acquireResult says how acquire ended.
type acquireResult int

const (
	acquired acquireResult = iota
	// queueFull means that the request is to be shed.
	queueFull
	// gaveUp means that the context ended while the request waited.
	gaveUp
)

// acquire takes a slot and waits for one in the queue if needed.
func (s *slots) acquire(ctx context.Context) acquireResult {
	select {
	case s.running <- struct{}{}:
		return acquired
	default:
	}
	if s.queued.Add(1) > s.maxQueue {
		s.queued.Add(-1)
		return queueFull
	}
	defer s.queued.Add(-1)
	select {
	case s.running <- struct{}{}:
		return acquired
	case <-ctx.Done():
		return gaveUp
	}
}

func (s *slots) release() { <-s.running }

// inUse returns the number of slots that are taken.
func (s *slots) inUse() int { return len(s.running) }

// waiting returns the number of requests in the queue.
func (s *slots) waiting() int { return int(s.queued.Load()) }

// load returns the share of slots in use; above 1 while requests wait.
func (s *slots) load() float64 {
	return float64(s.inUse()+s.waiting()) / float64(cap(s.running))
}
