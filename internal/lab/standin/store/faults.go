package store

import (
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
	"github.com/bramblemast/bramblemast/internal/lab/watched"
)

// faultControl applies the faults of the store. It is safe for concurrent use.
type faultControl struct {
	faults  watched.Value[labapi.StoreFaults]
	limiter atomic.Pointer[rate.Limiter]
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

func (f *faultControl) set(faults labapi.StoreFaults) {
	old := f.faults.Get()
	switch {
	case faults.Rate <= 0:
		f.limiter.Store(nil)
	case faults.Rate != old.Rate || faults.Burst != old.Burst:
		f.limiter.Store(rate.NewLimiter(rate.Limit(faults.Rate), max(faults.Burst, 1)))
	}
	f.faults.Set(faults)
}

// allow takes a token of the rate limit.
func (f *faultControl) allow() bool {
	limiter := f.limiter.Load()
	return limiter == nil || limiter.Allow()
}

// takeLostReply reports whether the reply of a committed write is to be lost.
func (f *faultControl) takeLostReply() bool {
	lost := false
	f.faults.Update(func(current labapi.StoreFaults) labapi.StoreFaults {
		lost = current.LoseReplies > 0
		if lost {
			current.LoseReplies--
		}
		return current
	})
	return lost
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
	faults := s.faults.faults.Get()
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

// passOutage reports whether no outage stands in the way of a request. An outage
// that refuses cuts the connection at once, one that hangs when it ends; neither
// runs the request.
func (s *Store) passOutage(writer http.ResponseWriter, request *http.Request) bool {
	switch s.faults.faults.Get().Outage {
	case labapi.OutageNone:
		return true
	case labapi.OutageError:
		http.Error(writer, "No cluster leader", http.StatusInternalServerError)
		return false
	case labapi.OutageHang:
		s.faults.faults.Wait(request.Context(), doesNotHang)
	}
	panic(http.ErrAbortHandler)
}

func doesNotHang(faults labapi.StoreFaults) bool { return faults.Outage != labapi.OutageHang }
