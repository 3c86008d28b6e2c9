package rhythm

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const typical = 30 * time.Millisecond

// model is a server that pauses, and the callers that ask it unless it is foreseen to pause
// or silent for longer than callers wait.
type model struct {
	tested Server
	shared *SharedPeriod
	random *rand.Rand
	// rate is that of the requests that come, a second.
	rate float64
	// pauses are the spans in which it answers nothing, in order.
	pauses []span
	// slow are the spans in which its work takes slowBy times as long.
	slow   []span
	slowBy float64
	// resumesWork says that work which a pause interrupts is done after it; otherwise its
	// answers all come at its end.
	resumesWork bool

	now     time.Time
	pending []request
	// met counts the requests that were sent and met a pause, spared those that were passed
	// over and would have met one, lost those that were passed over for nothing.
	sent, metPause, skipped, skippedInVain int
}

type span struct{ from, until time.Duration }

type request struct{ sent, answered time.Time }

var origin = time.Unix(1000, 0)

func newModel(seed uint64, rate float64) *model {
	return &model{shared: &SharedPeriod{}, random: rand.New(rand.NewPCG(seed, 1)), rate: rate, now: origin, resumesWork: true}
}

// every are pauses of 300 ms that begin each period.
func periodicPauses(first, period, until time.Duration) []span {
	var pauses []span
	for at := first; at < until; at += period {
		pauses = append(pauses, span{at, at + 300*time.Millisecond})
	}
	return pauses
}

// randomly are pauses of 300 ms with exponential times between them.
func randomPauses(random *rand.Rand, mean, until time.Duration) []span {
	var pauses []span
	for at := mean; at < until; at += 300*time.Millisecond + time.Duration(random.ExpFloat64()*float64(mean)) {
		pauses = append(pauses, span{at, at + 300*time.Millisecond})
	}
	return pauses
}

// play lets requests come for a span after the last one.
func (m *model) run(duration time.Duration) {
	for end := m.now.Add(duration); ; {
		m.now = m.now.Add(time.Duration(m.random.ExpFloat64() / m.rate * float64(time.Second)))
		if m.now.After(end) {
			m.now = end
			return
		}
		m.deliver()
		m.offer()
	}
}

// ask lets one request come.
func (m *model) offer() {
	answered, meets := m.answerAt()
	isSilent := len(m.pending) > 0 && m.now.Sub(m.oldest()) > 2*typical && m.now.Sub(m.tested.lastAnswerAt) > 2*typical
	if m.tested.ExpectedWait(m.now, typical, m.shared) > 0 {
		if meets {
			m.skipped++
		} else {
			m.skippedInVain++
		}
		return
	}
	if isSilent {
		return
	}
	m.sent++
	if meets {
		m.metPause++
	}
	m.tested.RecordSent(m.now, m.shared)
	m.pending = append(m.pending, request{m.now, answered})
}

// oldest is when the first request was sent that has no answer.
func (m *model) oldest() time.Time {
	oldest := m.now
	for _, each := range m.pending {
		if each.sent.Before(oldest) {
			oldest = each.sent
		}
	}
	return oldest
}

// answerAt returns when a request that is sent now is answered and whether it meets a pause.
func (m *model) answerAt() (time.Time, bool) {
	work := typical * time.Duration(60+m.random.IntN(60)) / 100
	if m.random.IntN(50) == 0 {
		work *= 4
	}
	sent := m.now.Sub(origin)
	for _, each := range m.slow {
		if sent >= each.from && sent < each.until {
			work = time.Duration(float64(work) * m.slowBy)
		}
	}
	for _, each := range m.pauses {
		if sent+work <= each.from || sent >= each.until {
			continue
		}
		if !m.resumesWork {
			return origin.Add(max(each.until, sent+work)), true
		}
		left := work - max(0, each.from-sent)
		return origin.Add(each.until + left), true
	}
	return m.now.Add(work), false
}

// deliver gives the answers that have come.
func (m *model) deliver() {
	slices.SortFunc(m.pending, func(a, b request) int { return a.answered.Compare(b.answered) })
	for len(m.pending) > 0 && !m.pending[0].answered.After(m.now) {
		each := m.pending[0]
		m.pending = m.pending[1:]
		m.tested.RecordAnswer(each.sent, each.answered, typical, m.shared)
	}
}

// reset sets the counts back.
func (m *model) reset() { m.sent, m.metPause, m.skipped, m.skippedInVain = 0, 0, 0, 0 }

// seeds are those with which each model is played.
const seeds = 20

// played returns the sums of a model over all seeds: a first span is learned from, the second
// counts.
func runAllSeeds(create func(seed uint64) *model, learn, counted time.Duration) (sum model) {
	for seed := range uint64(seeds) {
		each := create(seed)
		each.run(learn)
		each.reset()
		each.run(counted)
		sum.sent += each.sent
		sum.metPause += each.metPause
		sum.skipped += each.skipped
		sum.skippedInVain += each.skippedInVain
	}
	return sum
}

// TestRecurringPausesArePredicted at an owner of a shard, that asks a server 30 times a second:
// most requests that would meet a pause are passed over, and few others.
func TestRecurringPausesArePredicted(t *testing.T) {
	for name, resumesWork := range map[string]bool{"work goes on after a pause": true, "all answers come at its end": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sum := runAllSeeds(func(seed uint64) *model {
				m := newModel(seed, 30)
				m.resumesWork = resumesWork
				m.pauses = periodicPauses(time.Duration(seed)*300*time.Millisecond, 7500*time.Millisecond, 3*time.Minute)
				return m
			}, 45*time.Second, 90*time.Second)
			t.Logf("asked %d, met %d, spared %d, lost %d", sum.sent, sum.metPause, sum.skipped, sum.skippedInVain)
			g.Expect(sum.skipped).To(BeNumerically(">", 3*sum.metPause))
			g.Expect(sum.skippedInVain).To(BeNumerically("<", sum.skipped/4))
		})
	}
}

// TestNothingIsPredictedWithoutPauses, although some requests take four times as long.
func TestNothingIsPredictedWithoutPauses(t *testing.T) {
	g := NewWithT(t)
	for _, rate := range []float64{2, 30, 300} {
		duration := time.Duration(9000 / rate * float64(time.Second))
		sum := runAllSeeds(func(seed uint64) *model { return newModel(seed, rate) }, 0, duration)
		g.Expect(sum.skipped+sum.skippedInVain).To(BeZero(), "at %g a second for %s", rate, duration)
	}
}

// TestRandomPausesSkipFewRequestsInVain: a period that they seem to have does not hold.
func TestRandomPausesSkipFewRequestsInVain(t *testing.T) {
	g := NewWithT(t)
	for _, mean := range []time.Duration{2 * time.Second, 7 * time.Second} {
		sum := runAllSeeds(func(seed uint64) *model {
			m := newModel(seed, 30)
			m.pauses = randomPauses(m.random, mean, 5*time.Minute)
			return m
		}, 0, 5*time.Minute)
		t.Logf("mean %s: asked %d, met %d, spared %d, lost %d", mean, sum.sent, sum.metPause, sum.skipped, sum.skippedInVain)
		g.Expect(sum.skippedInVain).To(BeNumerically("<", sum.sent/100))
	}
}

// TestThePeriodFollowsADriftingClock: the period follows what is seen, for a clock that runs wrong by ever more,
// 5 ms in each period, and is off by up to 10 ms each time.
func TestThePeriodFollowsADriftingClock(t *testing.T) {
	g := NewWithT(t)
	sum := runAllSeeds(func(seed uint64) *model {
		m := newModel(seed, 30)
		period := 7 * time.Second
		for at := time.Second; at < 3*time.Minute; at += period {
			off := time.Duration(m.random.Int64N(int64(20*time.Millisecond))) - 10*time.Millisecond
			m.pauses = append(m.pauses, span{at + off, at + off + 300*time.Millisecond})
			period += 5 * time.Millisecond
		}
		return m
	}, 45*time.Second, 90*time.Second)
	t.Logf("asked %d, met %d, spared %d, lost %d", sum.sent, sum.metPause, sum.skipped, sum.skippedInVain)
	g.Expect(sum.skipped).To(BeNumerically(">", 2*sum.metPause))
	g.Expect(sum.skippedInVain).To(BeNumerically("<", sum.sent/100))
}

// TestASlowServerIsNotOneThatPauses, however regular it is slow: it goes on answering.
func TestASlowServerIsNotOneThatPauses(t *testing.T) {
	g := NewWithT(t)
	for _, factor := range []float64{2.5, 6, 10} {
		sum := runAllSeeds(func(seed uint64) *model {
			m := newModel(seed, 30)
			m.slow, m.slowBy = periodicPauses(time.Second, 7*time.Second, 3*time.Minute), factor
			return m
		}, 0, 2*time.Minute)
		t.Logf("%g times: asked %d, lost %d", factor, sum.sent, sum.skippedInVain)
		g.Expect(sum.skippedInVain).To(BeNumerically("<", sum.sent/100), "%g times", factor)
	}
}

// TestAPeriodThatChangesIsLearnedAnew, and the old one costs next to nothing.
func TestAPeriodThatChangesIsLearnedAnew(t *testing.T) {
	g := NewWithT(t)
	sum := runAllSeeds(func(seed uint64) *model {
		m := newModel(seed, 30)
		m.pauses = append(periodicPauses(time.Second, 7500*time.Millisecond, 60*time.Second), periodicPauses(61*time.Second, 5*time.Second, 4*time.Minute)...)
		return m
	}, 60*time.Second, 90*time.Second)
	t.Logf("asked %d, met %d, spared %d, lost %d", sum.sent, sum.metPause, sum.skipped, sum.skippedInVain)
	g.Expect(sum.skipped).To(BeNumerically(">", sum.metPause))
	g.Expect(sum.skippedInVain).To(BeNumerically("<", sum.sent/100))
}

// TestPausesThatEndAreForgotten within some periods.
func TestPausesThatEndAreForgotten(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(seeds) {
		m := newModel(seed, 30)
		m.pauses = periodicPauses(time.Second, 7*time.Second, time.Minute)
		m.run(time.Minute)
		m.run(7 * 7 * time.Second)
		m.reset()
		m.run(time.Minute)
		g.Expect(m.skippedInVain).To(BeZero(), "seed %d", seed)
	}
}

// TestALowRateSkipsFewRequestsInVain: two requests a second show little of a server's pauses.
func TestALowRateSkipsFewRequestsInVain(t *testing.T) {
	g := NewWithT(t)
	sum := runAllSeeds(func(seed uint64) *model {
		m := newModel(seed, 2)
		m.pauses = periodicPauses(time.Second, 6*time.Second, 6*time.Minute)
		return m
	}, 0, 5*time.Minute)
	t.Logf("asked %d, met %d, spared %d, lost %d", sum.sent, sum.metPause, sum.skipped, sum.skippedInVain)
	g.Expect(sum.skippedInVain).To(BeNumerically("<", sum.sent/100))
}

// TestServersShareAPeriod: one that has paused once is foreseen to pause with the period of
// others, at its own time.
func TestServersShareAPeriod(t *testing.T) {
	g := NewWithT(t)
	periods := &SharedPeriod{}
	first, second, third := &Server{}, &Server{}, &Server{}
	// Two requests that were sent 40 ms apart are answered together.
	pause := func(server *Server, until time.Duration) {
		end := origin.Add(until)
		server.RecordAnswer(end.Add(-290*time.Millisecond), end, typical, periods)
		server.RecordAnswer(end.Add(-250*time.Millisecond), end, typical, periods)
	}
	pause(first, time.Second)
	pause(second, 2*time.Second)
	pause(first, 7*time.Second)
	g.Expect(first.ExpectedWait(origin.Add(12900*time.Millisecond), typical, periods)).To(BeZero(), "one interval shows no period")
	pause(second, 8*time.Second)
	pause(third, 9*time.Second)
	g.Expect(first.ExpectedWait(origin.Add(12900*time.Millisecond), typical, periods)).To(Equal(100 * time.Millisecond))
	g.Expect(second.ExpectedWait(origin.Add(13900*time.Millisecond), typical, periods)).To(Equal(100 * time.Millisecond))
	g.Expect(third.ExpectedWait(origin.Add(14900*time.Millisecond), typical, periods)).To(Equal(100 * time.Millisecond))
	g.Expect(third.ExpectedWait(origin.Add(13900*time.Millisecond), typical, periods)).To(BeZero(), "it pauses at its own time")
}

// TestServersOfTwoProgramsHaveSeparatePeriods: the period of one is soon found wrong for the
// other.
func TestServersOfTwoProgramsHaveSeparatePeriods(t *testing.T) {
	g := NewWithT(t)
	var skipped, metPause, sent, skippedInVain int
	for seed := range uint64(seeds) {
		one, other := newModel(seed, 30), newModel(seed+100, 30)
		other.shared = one.shared
		one.pauses, other.pauses = periodicPauses(time.Second, 5*time.Second, 3*time.Minute), periodicPauses(2*time.Second, 8*time.Second, 3*time.Minute)
		for second := range 180 {
			one.run(time.Second)
			other.run(time.Second)
			if second == 60 {
				one.reset()
				other.reset()
			}
		}
		skipped, metPause = skipped+one.skipped+other.skipped, metPause+one.metPause+other.metPause
		sent, skippedInVain = sent+one.sent+other.sent, skippedInVain+one.skippedInVain+other.skippedInVain
	}
	t.Logf("asked %d, met %d, spared %d, lost %d", sent, metPause, skipped, skippedInVain)
	g.Expect(skipped).To(BeNumerically(">", 2*metPause))
	g.Expect(skippedInVain).To(BeNumerically("<", sent/100))
}

// TestAServerIsNeverSkippedForLong, whatever its answers have shown.
func TestAServerIsNeverSkippedForLong(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(7, 7))
	for range 200 {
		tested, shared := &Server{}, &SharedPeriod{}
		now := origin
		for range 200 {
			now = now.Add(time.Duration(random.Int64N(int64(4 * time.Second))))
			tested.RecordSent(now, shared)
			tested.RecordAnswer(now.Add(-time.Duration(random.Int64N(int64(3*time.Second)))), now, typical, shared)
			if wait := tested.ExpectedWait(now, typical, shared); wait > 0 {
				g.Expect(wait).To(BeNumerically("<=", maxPauseLength+typical))
				g.Expect(tested.ExpectedWait(now.Add(wait), typical, shared)).To(BeZero())
			}
		}
	}
}

// TestPredictionDoesNotAllocate, since each choice of a server asks.
func TestPredictionDoesNotAllocate(t *testing.T) {
	g := NewWithT(t)
	tested, shared, now := predictedServer()
	g.Expect(testing.AllocsPerRun(100, func() {
		tested.ExpectedWait(now, typical, shared)
		tested.RecordSent(now, shared)
		tested.RecordAnswer(now.Add(-typical), now, typical, shared)
	})).To(BeZero())
}

// foreseeing returns a server that is foreseen to pause.
func predictedServer() (*Server, *SharedPeriod, time.Time) {
	m := newModel(1, 30)
	m.pauses = periodicPauses(time.Second, 7*time.Second, time.Minute)
	m.run(time.Minute)
	return &m.tested, m.shared, m.now
}

func BenchmarkWait(b *testing.B) {
	tested, shared, now := predictedServer()
	b.ReportAllocs()
	for b.Loop() {
		tested.ExpectedWait(now, typical, shared)
	}
}

func BenchmarkAnswered(b *testing.B) {
	tested, shared, now := predictedServer()
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(20 * time.Millisecond)
		tested.RecordAnswer(now.Add(-typical), now, typical, shared)
	}
}
