// Package armstats keeps the figures by which operators compare the arms of an
// experiment: for each template and arm the requests, their latency, their
// coverage and the extra load that they caused.
//
// Figures belong to one revision of a template, because a new revision may
// change the policies of every arm; the first request of a newer revision
// starts them afresh. A Recorder is safe for concurrent use. Recording takes
// one shared read lock, and one lock that only requests of the same arm share.
package armstats

import (
	"sort"
	"sync"
	"time"

	"github.com/bramblemast/bramblemast/pkg/template"
)

// Result is how a request ended.
type Result int

// The results of a request.
const (
	// Answered means that the caller got records with their coverage.
	Answered Result = iota
	// Refused means that the request was given up before it ran.
	Refused
	// Failed means that the request ran, or may have run, without an answer.
	Failed
)

// Sample is what one request contributes to the figures of its arm.
type Sample struct {
	Result Result
	// Latency is the time from arrival to the final answer. It is counted for
	// answered requests only.
	Latency time.Duration
	// Coverage is the covered share, 0 to 1. It is counted for answered
	// requests only.
	Coverage float64
	// Primary and Extra count sub-requests; Extra is hedges and retries.
	Primary int
	Extra   int
}

// Recorder keeps the figures of all templates of one node.
type Recorder struct {
	// mutex guards the map, not the figures in it.
	mutex     sync.RWMutex
	templates map[template.Key]*templateFigures
}

// templateFigures are the figures of one revision of a template.
type templateFigures struct {
	revision uint64
	// mutex guards the map, not the figures in it.
	mutex sync.RWMutex
	arms  map[string]*armFigures
}

// armFigures are the figures of one arm.
type armFigures struct {
	// mutex guards figures.
	mutex   sync.Mutex
	figures Figures
}

// NewRecorder returns an empty Recorder.
func NewRecorder() *Recorder {
	return &Recorder{templates: make(map[template.Key]*templateFigures)}
}

// Record adds one request to the figures of an arm. A request of a revision
// older than the newest recorded one is left out.
func (r *Recorder) Record(key template.Key, revision uint64, arm string, sample Sample) {
	current := r.current(key, revision)
	if current == nil {
		return
	}
	series := current.arm(arm)
	series.mutex.Lock()
	defer series.mutex.Unlock()
	series.figures.add(sample)
}

// Snapshot returns a copy of the figures of a template's newest recorded
// revision, arms sorted by name. It is empty if nothing was recorded.
func (r *Recorder) Snapshot(key template.Key) Snapshot {
	r.mutex.RLock()
	current := r.templates[key]
	r.mutex.RUnlock()
	if current == nil {
		return Snapshot{}
	}
	return current.snapshot()
}

// Forget drops the figures of a template, for example after its deletion.
func (r *Recorder) Forget(key template.Key) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.templates, key)
}

// current returns the figures of the given revision, or nil if a newer one is
// recorded already.
func (r *Recorder) current(key template.Key, revision uint64) *templateFigures {
	r.mutex.RLock()
	found := r.templates[key]
	r.mutex.RUnlock()
	if found == nil || found.revision < revision {
		found = r.begin(key, revision)
	}
	if found.revision > revision {
		return nil
	}
	return found
}

// begin makes revision the newest of the template unless a newer one came
// first, and returns the newest.
func (r *Recorder) begin(key template.Key, revision uint64) *templateFigures {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if found := r.templates[key]; found != nil && found.revision >= revision {
		return found
	}
	fresh := &templateFigures{revision: revision, arms: make(map[string]*armFigures)}
	r.templates[key] = fresh
	return fresh
}

// arm returns the figures of an arm, which it makes if they are missing.
func (t *templateFigures) arm(name string) *armFigures {
	t.mutex.RLock()
	found := t.arms[name]
	t.mutex.RUnlock()
	if found != nil {
		return found
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if found = t.arms[name]; found == nil {
		found = &armFigures{figures: newFigures(name)}
		t.arms[name] = found
	}
	return found
}

// snapshot copies the figures of all arms.
func (t *templateFigures) snapshot() Snapshot {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	copied := Snapshot{Revision: t.revision}
	for _, series := range t.arms {
		series.mutex.Lock()
		copied.Arms = append(copied.Arms, series.figures.clone())
		series.mutex.Unlock()
	}
	sort.Slice(copied.Arms, func(i, j int) bool { return copied.Arms[i].Arm < copied.Arms[j].Arm })
	return copied
}
