package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// interval is a span of time; open while End is zero.
type interval struct {
	Begin time.Time
	End   time.Time
	// What was broken; may be empty.
	What string
}

// overlaps reports whether the interval and a span have a moment in common.
func (i interval) overlaps(begin, end time.Time) bool {
	return i.Begin.Before(end) && (i.End.IsZero() || i.End.After(begin))
}

// event is one thing that the soak did to the system, or a broken promise.
type event struct {
	At   time.Time
	What string
}

// history is what the soak has done and what callers have got. It is safe for
// concurrent use.
type history struct {
	mutex sync.Mutex
	// The fields below are guarded by mutex.
	events     []event
	violations []event
	// faults are the spans in which something was broken.
	faults map[string]*interval
	past   []interval
	// versions are the configurations by the moment at which the store took
	// them.
	versions []version
	// leaving holds since when servers are leaving.
	leaving map[string]time.Time
	// evacuations are the spans in which evacuatedZone was to get nothing.
	evacuations []*interval
	replies     []reply
	// keyed are the replies to requests with keys that come and go.
	keyed []keyed
	// limited are the replies to requests of tenants with limits.
	limited []reply
}

// version is one configuration.
type version struct {
	Number int
	At     time.Time
	// Shards is the shard set of the gathered route.
	Shards []string
}

// reply is what a caller got for one request.
type reply struct {
	ID       string
	Node     string
	Life     int
	Path     string
	Sent     time.Time
	Ended    time.Time
	Status   int
	Failure  string
	Repeated bool
	// HasWait tells whether the answer named a time to retry.
	HasWait bool
	// IsKept says that the caller keeps its connections.
	IsKept bool
	// Tenant is whose key the caller sent.
	Tenant string
}

func newHistory() *history {
	return &history{faults: make(map[string]*interval), leaving: make(map[string]time.Time)}
}

func (h *history) note(format string, values ...any) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.events = append(h.events, event{time.Now(), fmt.Sprintf(format, values...)})
}

// violated notes a broken promise.
func (h *history) violated(format string, values ...any) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	found := event{time.Now(), fmt.Sprintf(format, values...)}
	h.events = append(h.events, event{found.At, "VIOLATION " + found.What})
	h.violations = append(h.violations, found)
}

// begin notes the start of a fault and returns what ends it.
func (h *history) begin(what string) (end func()) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := time.Now()
	h.events = append(h.events, event{now, "begin " + what})
	running := &interval{Begin: now, What: what}
	key := fmt.Sprintf("%s#%d", what, len(h.events))
	h.faults[key] = running
	return func() {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		delete(h.faults, key)
		h.past = append(h.past, interval{running.Begin, time.Now(), what})
		h.events = append(h.events, event{time.Now(), "end " + what})
	}
}

// calm reports whether nothing was broken in a span of time.
func (h *history) calm(begin, end time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, running := range h.faults {
		if running.overlaps(begin, end) {
			return false
		}
	}
	return !slices.ContainsFunc(h.past, func(each interval) bool { return each.overlaps(begin, end) })
}

// was reports whether a fault was under way in a span of time.
func (h *history) was(what string, begin, end time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	isSuch := func(each interval) bool { return each.What == what && each.overlaps(begin, end) }
	for _, running := range h.faults {
		if isSuch(*running) {
			return true
		}
	}
	return slices.ContainsFunc(h.past, isSuch)
}

func (h *history) configured(number int, shards []string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.versions = append(h.versions, version{number, time.Now(), slices.Clone(shards)})
	h.events = append(h.events, event{time.Now(), fmt.Sprintf("configuration %d with %d shards", number, len(shards))})
}

// shardSets returns the shard sets of all configurations so far.
func (h *history) shardSets() [][]string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var sets [][]string
	for _, each := range h.versions {
		sets = append(sets, each.Shards)
	}
	return sets
}

// newest returns the configuration that the store holds.
func (h *history) newest() version {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.versions[len(h.versions)-1]
}

// newestBefore returns the newest configuration that the store held at a
// moment.
func (h *history) newestBefore(moment time.Time) version {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var found version
	for _, each := range h.versions {
		if !each.At.After(moment) {
			found = each
		}
	}
	return found
}

func (h *history) leaves(server string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.leaving[server] = time.Now()
	h.events = append(h.events, event{time.Now(), "server " + server + " leaves"})
}

// evacuates notes that a zone is to get nothing from now on, until the returned function is
// called.
func (h *history) evacuates() (end func()) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	running := &interval{Begin: time.Now()}
	h.evacuations = append(h.evacuations, running)
	h.events = append(h.events, event{running.Begin, "begin evacuation"})
	return func() {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		running.End = time.Now()
		h.events = append(h.events, event{running.End, "end evacuation"})
	}
}

func (h *history) took(got reply) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.replies = append(h.replies, got)
}
