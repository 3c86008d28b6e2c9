package store

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
)

// faultControl applies the faults of the store. It is safe for concurrent use.
type faultControl struct {
	// mutex guards the fields below.
	mutex   sync.Mutex
	faults  labapi.StoreFaults
	limiter *rate.Limiter
	// changed is closed and replaced when the faults change.
	changed chan struct{}
}

// counters are the live form of labapi.StoreStats.
type counters struct {
	reads    atomic.Uint64
	blocking atomic.Uint64
	writes   atomic.Uint64
	sessions atomic.Uint64
	limited  atomic.Uint64
	lost     atomic.Uint64
}

func newFaultControl() *faultControl { return &faultControl{changed: make(chan struct{})} }

func (f *faultControl) set(faults labapi.StoreFaults) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if faults.Rate <= 0 {
		f.limiter = nil
	} else if f.limiter == nil || faults.Rate != f.faults.Rate || faults.Burst != f.faults.Burst {
		f.limiter = rate.NewLimiter(rate.Limit(faults.Rate), max(faults.Burst, 1))
	}
	f.faults = faults
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *faultControl) current() (labapi.StoreFaults, <-chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.faults, f.changed
}

// allow takes a token of the rate limit.
func (f *faultControl) allow() bool {
	f.mutex.Lock()
	limiter := f.limiter
	f.mutex.Unlock()
	return limiter == nil || limiter.Allow()
}

// takeLostReply reports whether the reply of a committed write is to be lost.
func (f *faultControl) takeLostReply() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.faults.LoseReplies == 0 {
		return false
	}
	f.faults.LoseReplies--
	return true
}

// admit applies outage, rate limit and latency to a request, and reports
// whether it is to be handled.
func (s *Store) admit(writer http.ResponseWriter, request *http.Request) bool {
	if !s.passOutage(writer, request) {
		return false
	}
	if !s.faults.allow() {
		s.counters.limited.Add(1)
		http.Error(writer, "rate limit exceeded, try again later", http.StatusTooManyRequests)
		return false
	}
	faults, _ := s.faults.current()
	latency := time.Duration(faults.LatencyMS) * time.Millisecond
	if latency <= 0 {
		return true
	}
	timer := time.NewTimer(latency)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-request.Context().Done():
		return false
	}
}

// passOutage reports whether no outage stands in the way of a request; it waits
// for the end of one that hangs. An outage that refuses cuts the connection.
func (s *Store) passOutage(writer http.ResponseWriter, request *http.Request) bool {
	for {
		faults, changed := s.faults.current()
		switch faults.Outage {
		case labapi.OutageRefuse:
			panic(http.ErrAbortHandler)
		case labapi.OutageError:
			http.Error(writer, "No cluster leader", http.StatusInternalServerError)
			return false
		case labapi.OutageHang:
			select {
			case <-changed:
				continue
			case <-request.Context().Done():
				return false
			}
		}
		return true
	}
}
