package load

import (
	"math/rand/v2"
	"time"
)

// warmupStep is the step index of requests that are not part of the result.
const warmupStep = -1

// arrival is one intended send time, counted from the start of the run.
type arrival struct {
	at   time.Duration
	step int
}

// schedule generates the arrivals of a run one after the other.
type schedule struct {
	process Arrivals
	steps   []Step
	random  *rand.Rand

	// index is the current step, end the time at which it ends, and next the
	// time of the last arrival that was given out.
	index int
	end   time.Duration
	next  time.Duration
}

func newSchedule(options Options, random *rand.Rand) *schedule {
	s := &schedule{process: options.Arrivals, steps: options.Steps, random: random}
	if options.Warmup > 0 {
		s.index = warmupStep
		s.end = options.Warmup
		return s
	}
	s.end = options.Steps[0].Duration.Std()
	return s
}

// following returns the next arrival, and false after the last step. A gap
// that crosses the end of a step starts again at that end, at the new rate.
func (s *schedule) following() (arrival, bool) {
	for {
		candidate := s.next + s.gap()
		if candidate < s.end {
			s.next = candidate
			return arrival{at: candidate, step: s.index}, true
		}
		if s.index+1 >= len(s.steps) {
			return arrival{}, false
		}
		s.index++
		s.next = s.end
		s.end += s.steps[s.index].Duration.Std()
	}
}

func (s *schedule) gap() time.Duration {
	mean := float64(time.Second) / s.steps[max(s.index, 0)].Rate
	if s.process == ArrivalsConstant {
		return time.Duration(mean)
	}
	return time.Duration(mean * s.random.ExpFloat64())
}
