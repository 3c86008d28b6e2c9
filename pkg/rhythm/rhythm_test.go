package rhythm

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const usual = 30 * time.Millisecond

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
	// heldBack says that work which a pause interrupts is done after it; otherwise its
	// answers all come at its end.
	heldBack bool

	now     time.Time
	pending []request
	// met counts the requests that were sent and met a pause, spared those that were passed
	// over and would have met one, lost those that were passed over for nothing.
	asked, met, spared, lost int
}

type span struct{ from, until time.Duration }

type request struct{ sent, answered time.Time }

var origin = time.Unix(1000, 0)

func newModel(seed uint64, rate float64) *model {
	return &model{shared: &SharedPeriod{}, random: rand.New(rand.NewPCG(seed, 1)), rate: rate, now: origin, heldBack: true}
}

// every are pauses of 300 ms that begin each period.
func every(first, period, until time.Duration) []span {
	var pauses []span
	for at := first; at < until; at += period {
		pauses = append(pauses, span{at, at + 300*time.Millisecond})
	}
	return pauses
}

// randomly are pauses of 300 ms with exponential times between them.
func randomly(random *rand.Rand, mean, until time.Duration) []span {
	var pauses []span
	for at := mean; at < until; at += 300*time.Millisecond + time.Duration(random.ExpFloat64()*float64(mean)) {
		pauses = append(pauses, span{at, at + 300*time.Millisecond})
	}
	return pauses
}

// play lets requests come for a span after the last one.
func (m *model) play(long time.Duration) {
	for end := m.now.Add(long); ; {
		m.now = m.now.Add(time.Duration(m.random.ExpFloat64() / m.rate * float64(time.Second)))
		if m.now.After(end) {
			m.now = end
			return
		}
		m.deliver()
		m.ask()
	}
}

// ask lets one request come.
func (m *model) ask() {
	answered, meets := m.answerAt()
	isSilent := len(m.pending) > 0 && m.now.Sub(m.oldest()) > 2*usual && m.now.Sub(m.tested.lastAnswerAt) > 2*usual
	if m.tested.ExpectedWait(m.now, usual, m.shared) > 0 {
		if meets {
			m.spared++
		} else {
			m.lost++
		}
		return
	}
	if isSilent {
		return
	}
	m.asked++
	if meets {
		m.met++
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
	work := usual * time.Duration(60+m.random.IntN(60)) / 100
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
		if !m.heldBack {
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
		m.tested.RecordAnswer(each.sent, each.answered, usual, m.shared)
	}
}

// reset sets the counts back.
func (m *model) reset() { m.asked, m.met, m.spared, m.lost = 0, 0, 0, 0 }

// seeds are those with which each model is played.
const seeds = 20

// played returns the sums of a model over all seeds: a first span is learned from, the second
// counts.
func played(make func(seed uint64) *model, learn, counted time.Duration) (sum model) {
	for seed := range uint64(seeds) {
		each := make(seed)
		each.play(learn)
		each.reset()
		each.play(counted)
		sum.asked += each.asked
		sum.met += each.met
		sum.spared += each.spared
		sum.lost += each.lost
	}
	return sum
}

// TestPausesThatRecurAreForeseen at an owner of a shard, that asks a server 30 times a second:
// most requests that would meet a pause are passed over, and few others.
func TestPausesThatRecurAreForeseen(t *testing.T) {
	for name, heldBack := range map[string]bool{"work goes on after a pause": true, "all answers come at its end": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sum := played(func(seed uint64) *model {
				m := newModel(seed, 30)
				m.heldBack = heldBack
				m.pauses = every(time.Duration(seed)*300*time.Millisecond, 7500*time.Millisecond, 3*time.Minute)
				return m
			}, 45*time.Second, 90*time.Second)
			t.Logf("asked %d, met %d, spared %d, lost %d", sum.asked, sum.met, sum.spared, sum.lost)
			g.Expect(sum.spared).To(BeNumerically(">", 3*sum.met))
			g.Expect(sum.lost).To(BeNumerically("<", sum.spared/4))
		})
	}
}

// TestNothingIsForeseenWithoutPauses, although some requests take four times as long.
func TestNothingIsForeseenWithoutPauses(t *testing.T) {
	g := NewWithT(t)
	for _, rate := range []float64{2, 30, 300} {
		long := time.Duration(9000 / rate * float64(time.Second))
		sum := played(func(seed uint64) *model { return newModel(seed, rate) }, 0, long)
		g.Expect(sum.spared+sum.lost).To(BeZero(), "at %g a second for %s", rate, long)
	}
}

// TestRandomPausesCostNextToNothing: a period that they seem to have does not hold.
func TestRandomPausesCostNextToNothing(t *testing.T) {
	g := NewWithT(t)
	for _, mean := range []time.Duration{2 * time.Second, 7 * time.Second} {
		sum := played(func(seed uint64) *model {
			m := newModel(seed, 30)
			m.pauses = randomly(m.random, mean, 5*time.Minute)
			return m
		}, 0, 5*time.Minute)
		t.Logf("mean %s: asked %d, met %d, spared %d, lost %d", mean, sum.asked, sum.met, sum.spared, sum.lost)
		g.Expect(sum.lost).To(BeNumerically("<", sum.asked/100))
	}
}

// TestClocksMayDrift: the period follows what is seen, for a clock that runs wrong by ever more,
// 5 ms in each period, and is off by up to 10 ms each time.
func TestClocksMayDrift(t *testing.T) {
	g := NewWithT(t)
	sum := played(func(seed uint64) *model {
		m := newModel(seed, 30)
		period := 7 * time.Second
		for at := time.Second; at < 3*time.Minute; at += period {
			off := time.Duration(m.random.Int64N(int64(20*time.Millisecond))) - 10*time.Millisecond
			m.pauses = append(m.pauses, span{at + off, at + off + 300*time.Millisecond})
			period += 5 * time.Millisecond
		}
		return m
	}, 45*time.Second, 90*time.Second)
	t.Logf("asked %d, met %d, spared %d, lost %d", sum.asked, sum.met, sum.spared, sum.lost)
	g.Expect(sum.spared).To(BeNumerically(">", 2*sum.met))
	g.Expect(sum.lost).To(BeNumerically("<", sum.asked/100))
}

// TestASlowServerIsNotOneThatPauses, however regular it is slow: it goes on answering.
func TestASlowServerIsNotOneThatPauses(t *testing.T) {
	g := NewWithT(t)
	for _, times := range []float64{2.5, 6, 10} {
		sum := played(func(seed uint64) *model {
			m := newModel(seed, 30)
			m.slow, m.slowBy = every(time.Second, 7*time.Second, 3*time.Minute), times
			return m
		}, 0, 2*time.Minute)
		t.Logf("%g times: asked %d, lost %d", times, sum.asked, sum.lost)
		g.Expect(sum.lost).To(BeNumerically("<", sum.asked/100), "%g times", times)
	}
}

// TestAPeriodThatChangesIsLearnedAnew, and the old one costs next to nothing.
func TestAPeriodThatChangesIsLearnedAnew(t *testing.T) {
	g := NewWithT(t)
	sum := played(func(seed uint64) *model {
		m := newModel(seed, 30)
		m.pauses = append(every(time.Second, 7500*time.Millisecond, 60*time.Second), every(61*time.Second, 5*time.Second, 4*time.Minute)...)
		return m
	}, 60*time.Second, 90*time.Second)
	t.Logf("asked %d, met %d, spared %d, lost %d", sum.asked, sum.met, sum.spared, sum.lost)
	g.Expect(sum.spared).To(BeNumerically(">", sum.met))
	g.Expect(sum.lost).To(BeNumerically("<", sum.asked/100))
}

// TestPausesThatEndAreForgotten within some periods.
func TestPausesThatEndAreForgotten(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(seeds) {
		m := newModel(seed, 30)
		m.pauses = every(time.Second, 7*time.Second, time.Minute)
		m.play(time.Minute)
		m.play(7 * 7 * time.Second)
		m.reset()
		m.play(time.Minute)
		g.Expect(m.lost).To(BeZero(), "seed %d", seed)
	}
}

// TestANodeThatAsksSeldomLosesNothing: two requests a second show little of a server's pauses.
func TestANodeThatAsksSeldomLosesNothing(t *testing.T) {
	g := NewWithT(t)
	sum := played(func(seed uint64) *model {
		m := newModel(seed, 2)
		m.pauses = every(time.Second, 6*time.Second, 6*time.Minute)
		return m
	}, 0, 5*time.Minute)
	t.Logf("asked %d, met %d, spared %d, lost %d", sum.asked, sum.met, sum.spared, sum.lost)
	g.Expect(sum.lost).To(BeNumerically("<", sum.asked/100))
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
		server.RecordAnswer(end.Add(-290*time.Millisecond), end, usual, periods)
		server.RecordAnswer(end.Add(-250*time.Millisecond), end, usual, periods)
	}
	pause(first, time.Second)
	pause(second, 2*time.Second)
	pause(first, 7*time.Second)
	g.Expect(first.ExpectedWait(origin.Add(12900*time.Millisecond), usual, periods)).To(BeZero(), "one interval shows no period")
	pause(second, 8*time.Second)
	pause(third, 9*time.Second)
	g.Expect(first.ExpectedWait(origin.Add(12900*time.Millisecond), usual, periods)).To(Equal(100 * time.Millisecond))
	g.Expect(second.ExpectedWait(origin.Add(13900*time.Millisecond), usual, periods)).To(Equal(100 * time.Millisecond))
	g.Expect(third.ExpectedWait(origin.Add(14900*time.Millisecond), usual, periods)).To(Equal(100 * time.Millisecond))
	g.Expect(third.ExpectedWait(origin.Add(13900*time.Millisecond), usual, periods)).To(BeZero(), "it pauses at its own time")
}

// TestServersOfTwoProgramsHavePeriodsOfTheirOwn: the period of one is soon found wrong for the
// other.
func TestServersOfTwoProgramsHavePeriodsOfTheirOwn(t *testing.T) {
	g := NewWithT(t)
	var spared, met, asked, lost int
	for seed := range uint64(seeds) {
		one, other := newModel(seed, 30), newModel(seed+100, 30)
		other.shared = one.shared
		one.pauses, other.pauses = every(time.Second, 5*time.Second, 3*time.Minute), every(2*time.Second, 8*time.Second, 3*time.Minute)
		for second := range 180 {
			one.play(time.Second)
			other.play(time.Second)
			if second == 60 {
				one.reset()
				other.reset()
			}
		}
		spared, met = spared+one.spared+other.spared, met+one.met+other.met
		asked, lost = asked+one.asked+other.asked, lost+one.lost+other.lost
	}
	t.Logf("asked %d, met %d, spared %d, lost %d", asked, met, spared, lost)
	g.Expect(spared).To(BeNumerically(">", 2*met))
	g.Expect(lost).To(BeNumerically("<", asked/100))
}

// TestAServerIsNeverPassedOverForLong, whatever its answers have shown.
func TestAServerIsNeverPassedOverForLong(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(7, 7))
	for range 200 {
		tested, shared := &Server{}, &SharedPeriod{}
		now := origin
		for range 200 {
			now = now.Add(time.Duration(random.Int64N(int64(4 * time.Second))))
			tested.RecordSent(now, shared)
			tested.RecordAnswer(now.Add(-time.Duration(random.Int64N(int64(3*time.Second)))), now, usual, shared)
			if wait := tested.ExpectedWait(now, usual, shared); wait > 0 {
				g.Expect(wait).To(BeNumerically("<=", maxPauseLength+usual))
				g.Expect(tested.ExpectedWait(now.Add(wait), usual, shared)).To(BeZero())
			}
		}
	}
}

// TestForeseeingAllocatesNothing, since each choice of a server asks.
func TestForeseeingAllocatesNothing(t *testing.T) {
	g := NewWithT(t)
	tested, shared, now := foreseeing()
	g.Expect(testing.AllocsPerRun(100, func() {
		tested.ExpectedWait(now, usual, shared)
		tested.RecordSent(now, shared)
		tested.RecordAnswer(now.Add(-usual), now, usual, shared)
	})).To(BeZero())
}

// foreseeing returns a server that is foreseen to pause.
func foreseeing() (*Server, *SharedPeriod, time.Time) {
	m := newModel(1, 30)
	m.pauses = every(time.Second, 7*time.Second, time.Minute)
	m.play(time.Minute)
	return &m.tested, m.shared, m.now
}

func BenchmarkWait(b *testing.B) {
	tested, shared, now := foreseeing()
	b.ReportAllocs()
	for b.Loop() {
		tested.ExpectedWait(now, usual, shared)
	}
}

func BenchmarkAnswered(b *testing.B) {
	tested, shared, now := foreseeing()
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(20 * time.Millisecond)
		tested.RecordAnswer(now.Add(-usual), now, usual, shared)
	}
}
