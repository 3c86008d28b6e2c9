package load

import (
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// finished is one request that is over.
type finished struct {
	request *Request
	// intended is the send time that the arrival process set.
	intended  time.Time
	last      *Exchange
	exchanges int
}

// latency is what the caller saw in all, waits before retries included.
func (f finished) latency() time.Duration { return f.last.Finished.Sub(f.intended) }

// answerLatency is the time of the last exchange. For the first one it runs
// from the intended send time; a caller that retried counts from then on.
func (f finished) answerLatency() time.Duration {
	if f.exchanges <= 1 {
		return f.latency()
	}
	return f.last.Finished.Sub(f.last.Sent)
}

// useful reports whether the caller got an answer with enough coverage in time.
func (f finished) useful() bool {
	if f.last.Answer == nil {
		return false
	}
	load := f.request.Load
	least := load.UsefulCoverage
	if least == 0 {
		least = 1
	}
	inTime := load.UsefulWithin == 0 || f.answerLatency() <= load.UsefulWithin.Std()
	return inTime && f.last.Answer.Coverage.Share >= least
}

type timelineKey struct {
	second int
	arm    string
}

type timelineCell struct {
	requests, answered, refused int64
	latency                     *hdrhistogram.Histogram
}

// recorder collects the figures of a run. It is safe for concurrent use.
type recorder struct {
	arm string
	// window is the time of the measured steps.
	window window

	// mutex guards everything below.
	mutex    sync.Mutex
	series   map[SeriesKey]*tally
	timeline map[timelineKey]*timelineCell
	sendLag  *hdrhistogram.Histogram
	offered  int64
	notSent  int64
	// usefulInWindow counts useful answers by when they came.
	usefulInWindow map[armKey]int64
}

// window is a span of time.
type window struct {
	start    time.Time
	duration time.Duration
}

func (w window) contains(moment time.Time) bool {
	since := moment.Sub(w.start)
	return since >= 0 && since < w.duration
}

func newRecorder(arm string, measured window) *recorder {
	return &recorder{
		arm:            arm,
		window:         measured,
		series:         make(map[SeriesKey]*tally),
		timeline:       make(map[timelineKey]*timelineCell),
		sendLag:        newLatencies(),
		usefulInWindow: make(map[armKey]int64),
	}
}

// arrived counts an arrival of a measured step.
func (r *recorder) arrived(sent bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.offered++
	if !sent {
		r.notSent++
	}
}

func (r *recorder) started(lag time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	recordLatency(r.sendLag, lag)
}

// finish adds a finished request, of the warm-up too: useful answers that come
// in the time of the steps count toward their rate, so that what came later is
// no part of it and what was under way before is.
func (r *recorder) finish(done finished) {
	if done.useful() && r.window.contains(done.last.Finished) {
		r.countUseful(r.keyOf(done))
	}
	if done.request.step != warmupStep {
		r.record(done)
	}
}

func (r *recorder) countUseful(key SeriesKey) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.usefulInWindow[armKey{arm: key.Arm}]++
	r.usefulInWindow[armKey{template: key.Template, arm: key.Arm}]++
}

// record adds a finished request of the steps.
func (r *recorder) record(done finished) {
	key := r.keyOf(done)
	latency := done.latency()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	entry, known := r.series[key]
	if !known {
		entry = newTally()
		r.series[key] = entry
	}
	entry.count++
	entry.exchanges += int64(done.exchanges)
	recordLatency(entry.latency, latency)
	if !done.last.FirstPartial.IsZero() {
		recordLatency(entry.partial, done.last.FirstPartial.Sub(done.intended))
	}
	if answer := done.last.Answer; answer != nil {
		entry.addAnswer(answer)
		if done.useful() {
			entry.useful++
		}
	} else {
		entry.addFailure(done.last)
	}
	r.recordSecond(key, int(done.intended.Sub(r.window.start)/time.Second), latency)
}

func (r *recorder) keyOf(done finished) SeriesKey {
	arm := r.arm
	if arm == "" {
		arm = done.last.arm()
	}
	return SeriesKey{
		Step:     done.request.step,
		Template: done.request.Load.Name(),
		Arm:      arm,
		Outcome:  done.last.Outcome(),
		Reason:   done.last.Reason(),
		Refused:  done.last.Refused(),
	}
}

func (r *recorder) recordSecond(key SeriesKey, second int, latency time.Duration) {
	place := timelineKey{second: second, arm: key.Arm}
	cell, known := r.timeline[place]
	if !known {
		cell = &timelineCell{latency: hdrhistogram.New(1, maxLatency, timelineDigits)}
		r.timeline[place] = cell
	}
	cell.requests++
	switch {
	case key.Reason == "":
		cell.answered++
		recordLatency(cell.latency, latency)
	case key.Refused:
		cell.refused++
	}
}

// fill writes the figures into result.
func (r *recorder) fill(result *Result) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	result.Offered = r.offered
	result.NotSent = r.notSent
	result.SendLag = quantiles(r.sendLag)
	result.Series = r.seriesList()
	result.Arms = r.armList()
	result.Timeline = r.seconds()
}

func (r *recorder) seriesList() []Series {
	list := make([]Series, 0, len(r.series))
	for key, entry := range r.series {
		list = append(list, Series{
			SeriesKey:    key,
			Count:        entry.count,
			Useful:       entry.useful,
			Exchanges:    entry.exchanges,
			Latency:      quantiles(entry.latency),
			FirstPartial: entry.firstPartial(),
			Coverage:     entry.coverageSummary(),
			ExtraLoad:    entry.extraLoad(),
			Samples:      entry.samples,
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].SeriesKey.less(list[j].SeriesKey) })
	return list
}

func (k SeriesKey) less(other SeriesKey) bool {
	if k.Step != other.Step {
		return k.Step < other.Step
	}
	if k.Template != other.Template {
		return k.Template < other.Template
	}
	if k.Arm != other.Arm {
		return k.Arm < other.Arm
	}
	if k.Outcome != other.Outcome {
		return k.Outcome == outcome.Completed || (k.Outcome == outcome.NotRun && other.Outcome == outcome.Unknown)
	}
	if k.Reason != other.Reason {
		return k.Reason < other.Reason
	}
	return !k.Refused && other.Refused
}

func (r *recorder) seconds() []Second {
	list := make([]Second, 0, len(r.timeline))
	for place, cell := range r.timeline {
		list = append(list, Second{
			Second:   place.second,
			Arm:      place.arm,
			Requests: cell.requests,
			Answered: cell.answered,
			Refused:  cell.refused,
			P50:      milliseconds(cell.latency, 0.5),
			P99:      milliseconds(cell.latency, 0.99),
		})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Second != list[j].Second {
			return list[i].Second < list[j].Second
		}
		return list[i].Arm < list[j].Arm
	})
	return list
}
