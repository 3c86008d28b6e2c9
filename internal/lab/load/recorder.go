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

// latency is what the caller saw in all, waits before coming back included.
func (f finished) latency() time.Duration { return f.last.Finished.Sub(f.intended) }

// answerLatency is the time of the last exchange. For the first one it runs
// from the intended send time; a caller that came back counts from then on.
func (f finished) answerLatency() time.Duration {
	if f.exchanges <= 1 {
		return f.latency()
	}
	return f.last.Finished.Sub(f.last.Sent)
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

	// mutex guards everything below.
	mutex    sync.Mutex
	series   map[SeriesKey]*tally
	timeline map[timelineKey]*timelineCell
	sendLag  *hdrhistogram.Histogram
	offered  int64
	notSent  int64
}

func newRecorder(arm string) *recorder {
	return &recorder{
		arm:      arm,
		series:   make(map[SeriesKey]*tally),
		timeline: make(map[timelineKey]*timelineCell),
		sendLag:  newLatencies(),
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

// record adds a finished request; start is the start of the measured steps.
func (r *recorder) record(done finished, start time.Time) {
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
		if useful(done.request.Load, answer.Coverage.Share, done.answerLatency()) {
			entry.useful++
		}
	} else {
		entry.addFailure(done.last)
	}
	r.recordSecond(key, int(done.intended.Sub(start)/time.Second), latency)
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

func useful(load *TemplateLoad, share float64, latency time.Duration) bool {
	least := load.UsefulCoverage
	if least == 0 {
		least = 1
	}
	inTime := load.UsefulWithin == 0 || latency <= load.UsefulWithin.Std()
	return inTime && share >= least
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
	result.Arms = r.armList(result.DurationS)
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
