package front

import (
	"sync"
	"time"
)

// episodeQuiet is the time without a refusal after which an overload is over.
const episodeQuiet = time.Second

// episodes keeps since when requests are refused for want of room, by service.
// It is safe for concurrent use.
type episodes struct {
	mutex sync.Mutex
	// spans is guarded by mutex.
	spans map[string]episode
}

// episode is one overload.
type episode struct{ began, last time.Time }

func newEpisodes() *episodes { return &episodes{spans: make(map[string]episode)} }

// note takes the refusal of a request that has waited since a moment, and returns how
// long the overload has lasted. It is expected to last about as long again: a client
// that may retry once must not run into the same overload.
func (e *episodes) note(service string, since, now time.Time) time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	span := e.spans[service]
	if now.Sub(span.last) > episodeQuiet {
		span.began = since
	}
	span.last = now
	e.spans[service] = span
	return now.Sub(span.began)
}
