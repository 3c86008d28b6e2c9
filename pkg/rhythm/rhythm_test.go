package rhythm

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const typical = 30 * time.Millisecond

// model simulates a server that pauses, and callers that send it requests unless it is predicted to
// pause or has been silent for longer than callers wait.
type model struct {
	tested Server
	shared *SharedPeriod
	random *rand.Rand
	// rate is the number of requests that arrive per second.
	rate float64
	// pauses are the spans in which the server answers nothing, in order.
	pauses []span
	// slow are the spans in which the work of the server takes slowBy times as long.
	slow   []span
	slowBy float64
	// resumesWork is set if work that a pause interrupts goes on after the pause; otherwise all
	// its answers come at the end of the pause.
	resumesWork bool

	now     time.Time
	pending []request
	// sent counts the requests that were sent, and metPause those among them that met a pause.
	// skipped counts the requests that were not sent and would have met a pause, and skippedInVain
	// those that were not sent and would have met none.
	sent, metPause, skipped, skippedInVain int
}

type span struct{ from, until time.Duration }

type request struct{ sent, answered time.Time }

var origin = time.Unix(1000, 0)

func newModel(seed uint64, rate float64) *model {
	return &model{shared: &SharedPeriod{}, random: rand.New(rand.NewPCG(seed, 1)), rate: rate, now: origin, resumesWork: true}
}

// periodicPauses returns pauses of 300 ms, one in each period.
func periodicPauses(first, period, until time.Duration) []span {
	var pauses []span
	for at := first; at < until; at += period {
		pauses = append(pauses, span{at, at + 300*time.Millisecond})
	}
	return pauses
}

// randomPauses returns pauses of 300 ms with exponentially distributed times between them.
func randomPauses(random *rand.Rand, mean, until time.Duration) []span {
	var pauses []span
	for at := mean; at < until; at += 300*time.Millisecond + time.Duration(random.ExpFloat64()*float64(mean)) {
		pauses = append(pauses, span{at, at + 300*time.Millisecond})
	}
	return pauses
}

// run simulates arriving requests for a duration.
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

// offer simulates the arrival of one request.
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

// oldest returns when the oldest unanswered request was sent.
func (m *model) oldest() time.Time {
	oldest := m.now
	for _, each := range m.pending {
		if each.sent.Before(oldest) {
			oldest = each.sent
		}
	}
	return oldest
}

// answerAt returns when a request that is sent now is answered, and whether it meets a pause.
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

// deliver records the answers that have arrived by now.
func (m *model) deliver() {
	slices.SortFunc(m.pending, func(a, b request) int { return a.answered.Compare(b.answered) })
	for len(m.pending) > 0 && !m.pending[0].answered.After(m.now) {
		each := m.pending[0]
		m.pending = m.pending[1:]
		m.tested.RecordAnswer(each.sent, each.answered, typical, m.shared)
	}
}

// reset clears the counts.
func (m *model) reset() { m.sent, m.metPause, m.skipped, m.skippedInVain = 0, 0, 0, 0 }

// seeds is the number of seeds with which each model is run.
const seeds = 20

// runAllSeeds returns the sums of the counts over all seeds. Each model first learns for a while
// that is not counted.
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

// TestRecurringPausesArePredicted: a node that sends a server 30 requests a second, like the owner
// of a shard, skips most of the requests that would meet a periodic pause, and few others.
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
			t.Logf("sent %d, met a pause %d, skipped %d, skipped in vain %d", sum.sent, sum.metPause, sum.skipped, sum.skippedInVain)
			g.Expect(sum.skipped).To(BeNumerically(">", 3*sum.metPause))
			g.Expect(sum.skippedInVain).To(BeNumerically("<", sum.skipped/4))
		})
	}
}

// TestNothingIsPredictedWithoutPauses: some requests that take four times as long as usual must not
// be taken for pauses.
func TestNothingIsPredictedWithoutPauses(t *testing.T) {
	g := NewWithT(t)
	for _, rate := range []float64{2, 30, 300} {
		duration := time.Duration(9000 / rate * float64(time.Second))
		sum := runAllSeeds(func(seed uint64) *model { return newModel(seed, rate) }, 0, duration)
		g.Expect(sum.skipped+sum.skippedInVain).To(BeZero(), "requests skipped at %g requests a second for %s", rate, duration)
	}
}

// TestRandomPausesSkipFewRequestsInVain: random pauses sometimes seem to have a period. It must be
// dropped once a predicted pause does not come.
func TestRandomPausesSkipFewRequestsInVain(t *testing.T) {
	g := NewWithT(t)
	for _, mean := range []time.Duration{2 * time.Second, 7 * time.Second} {
		sum := runAllSeeds(func(seed uint64) *model {
			m := newModel(seed, 30)
			m.pauses = randomPauses(m.random, mean, 5*time.Minute)
			return m
		}, 0, 5*time.Minute)
		t.Logf("mean %s: sent %d, met a pause %d, skipped %d, skipped in vain %d", mean, sum.sent, sum.metPause, sum.skipped, sum.skippedInVain)
		g.Expect(sum.skippedInVain).To(BeNumerically("<", sum.sent/100))
	}
}

// TestThePeriodFollowsADriftingClock: the period of the pauses grows by 5 ms each time, and each
// pause is off by up to 10 ms. The learned period has to follow.
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
	t.Logf("sent %d, met a pause %d, skipped %d, skipped in vain %d", sum.sent, sum.metPause, sum.skipped, sum.skippedInVain)
	g.Expect(sum.skipped).To(BeNumerically(">", 2*sum.metPause))
	g.Expect(sum.skippedInVain).To(BeNumerically("<", sum.sent/100))
}

// TestASlowServerIsNotOneThatPauses: a server that is periodically slow goes on answering, and must
// not be taken for one that pauses.
func TestASlowServerIsNotOneThatPauses(t *testing.T) {
	g := NewWithT(t)
	for _, factor := range []float64{2.5, 6, 10} {
		sum := runAllSeeds(func(seed uint64) *model {
			m := newModel(seed, 30)
			m.slow, m.slowBy = periodicPauses(time.Second, 7*time.Second, 3*time.Minute), factor
			return m
		}, 0, 2*time.Minute)
		t.Logf("%g times: sent %d, skipped in vain %d", factor, sum.sent, sum.skippedInVain)
		g.Expect(sum.skippedInVain).To(BeNumerically("<", sum.sent/100), "skipped in vain although the server is only %g times slower", factor)
	}
}

// TestAPeriodThatChangesIsLearnedAnew: when the period changes, the new one is learned and the old
// one causes few needless skips.
func TestAPeriodThatChangesIsLearnedAnew(t *testing.T) {
	g := NewWithT(t)
	sum := runAllSeeds(func(seed uint64) *model {
		m := newModel(seed, 30)
		m.pauses = append(periodicPauses(time.Second, 7500*time.Millisecond, 60*time.Second), periodicPauses(61*time.Second, 5*time.Second, 4*time.Minute)...)
		return m
	}, 60*time.Second, 90*time.Second)
	t.Logf("sent %d, met a pause %d, skipped %d, skipped in vain %d", sum.sent, sum.metPause, sum.skipped, sum.skippedInVain)
	g.Expect(sum.skipped).To(BeNumerically(">", sum.metPause))
	g.Expect(sum.skippedInVain).To(BeNumerically("<", sum.sent/100))
}

// TestPausesThatEndAreForgotten: once a server has stopped pausing, the prediction ends within a
// few periods.
func TestPausesThatEndAreForgotten(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(seeds) {
		m := newModel(seed, 30)
		m.pauses = periodicPauses(time.Second, 7*time.Second, time.Minute)
		m.run(time.Minute)
		m.run(7 * 7 * time.Second)
		m.reset()
		m.run(time.Minute)
		g.Expect(m.skippedInVain).To(BeZero(), "requests skipped in vain with seed %d", seed)
	}
}

// TestALowRateSkipsFewRequestsInVain: two requests a second show little of a server's pauses, and
// must not lead to wrong predictions.
func TestALowRateSkipsFewRequestsInVain(t *testing.T) {
	g := NewWithT(t)
	sum := runAllSeeds(func(seed uint64) *model {
		m := newModel(seed, 2)
		m.pauses = periodicPauses(time.Second, 6*time.Second, 6*time.Minute)
		return m
	}, 0, 5*time.Minute)
	t.Logf("sent %d, met a pause %d, skipped %d, skipped in vain %d", sum.sent, sum.metPause, sum.skipped, sum.skippedInVain)
	g.Expect(sum.skippedInVain).To(BeNumerically("<", sum.sent/100))
}

// TestServersShareAPeriod: a server that has paused once is predicted to pause with the period of
// the other servers, but at its own time.
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
	g.Expect(first.ExpectedWait(origin.Add(12900*time.Millisecond), typical, periods)).To(BeZero(), "one interval is not enough for a period")
	pause(second, 8*time.Second)
	pause(third, 9*time.Second)
	g.Expect(first.ExpectedWait(origin.Add(12900*time.Millisecond), typical, periods)).To(Equal(100 * time.Millisecond))
	g.Expect(second.ExpectedWait(origin.Add(13900*time.Millisecond), typical, periods)).To(Equal(100 * time.Millisecond))
	g.Expect(third.ExpectedWait(origin.Add(14900*time.Millisecond), typical, periods)).To(Equal(100 * time.Millisecond))
	g.Expect(third.ExpectedWait(origin.Add(13900*time.Millisecond), typical, periods)).To(BeZero(), "the third server pauses at its own time, not that of the second")
}

// TestServersOfTwoProgramsHaveSeparatePeriods: the shared period of one program is wrong for the
// servers of another one, which has to be noticed soon.
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
	t.Logf("sent %d, met a pause %d, skipped %d, skipped in vain %d", sent, metPause, skipped, skippedInVain)
	g.Expect(skipped).To(BeNumerically(">", 2*metPause))
	g.Expect(skippedInVain).To(BeNumerically("<", sent/100))
}

// TestAServerIsNeverSkippedForLong: whatever answers came, the expected wait is bounded and zero
// after the predicted end.
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

// TestPredictionDoesNotAllocate: every choice of a server runs the prediction.
func TestPredictionDoesNotAllocate(t *testing.T) {
	g := NewWithT(t)
	tested, shared, now := predictedServer()
	g.Expect(testing.AllocsPerRun(100, func() {
		tested.ExpectedWait(now, typical, shared)
		tested.RecordSent(now, shared)
		tested.RecordAnswer(now.Add(-typical), now, typical, shared)
	})).To(BeZero())
}

// predictedServer returns a server that is predicted to pause.
func predictedServer() (*Server, *SharedPeriod, time.Time) {
	m := newModel(1, 30)
	m.pauses = periodicPauses(time.Second, 7*time.Second, time.Minute)
	m.run(time.Minute)
	return &m.tested, m.shared, m.now
}

func BenchmarkExpectedWait(b *testing.B) {
	tested, shared, now := predictedServer()
	b.ReportAllocs()
	for b.Loop() {
		tested.ExpectedWait(now, typical, shared)
	}
}

func BenchmarkRecordAnswer(b *testing.B) {
	tested, shared, now := predictedServer()
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(20 * time.Millisecond)
		tested.RecordAnswer(now.Add(-typical), now, typical, shared)
	}
}
