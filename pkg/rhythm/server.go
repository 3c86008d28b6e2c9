// Package rhythm foresees the pauses of servers that pause by a clock, such as one that
// collects garbage or flushes a file every some seconds, from the times of their answers.
//
// A pause shows as a silence: requests that were sent in a span are answered together
// after it. Two like intervals between pauses, of one server or of two, make a period.
// While a server is foreseen to pause, Wait tells how long a request would wait there;
// which server is asked is decided elsewhere. Without a period nothing is foreseen.
//
// Nothing here is safe for concurrent use; there is no clock, no lock and no allocation.
package rhythm

import "time"

// What counts as a pause and for how long it is trusted.
const (
	// minPause is the shortest silence that counts: what is shorter, a second server
	// bridges within the time that callers have.
	minPause = 100 * time.Millisecond
	// minPauseFactor is how many times a usual answer the shortest silence lasts, where answers
	// take so long that this is more than minPause.
	minPauseFactor = 2
	// maxPauseLength bounds for how long a server is passed over for one pause.
	maxPauseLength = time.Second
	// minPeriod and maxPeriod bound the periods that are learned: a server that
	// pauses more often is slow, and one that pauses more seldom touches few requests.
	minPeriod = time.Second
	maxPeriod = 30 * time.Second
	// tolerance is how far a pause may be from the foreseen moment: the first answer
	// after it comes when its work has ended.
	tolerance = 75 * time.Millisecond
	// maxUnseenPeriods is for how many periods after the last pause that was seen further ones
	// are foreseen: the error of the period adds up.
	maxUnseenPeriods = 6
	// lengthRiseDivisor and lengthFallDivisor divide the difference between the expected length of pauses and
	// that of a longer or a shorter one: by so much the expected length follows it.
	lengthRiseDivisor = 2
	lengthFallDivisor = 16
	// probeEvery tells in which of the foreseen pauses since the last one that was seen a request
	// is sent all the same, to see whether the server still pauses: in every second one.
	probeEvery = 2
	// That request is sent once one probeAfterDivisor-th of the foreseen pause is over, and while at least
	// one probeBeforeDivisor-th is left: its answer then shows the end of the pause. An answer shows that
	// there is no pause if it comes neither in the first nor in the last answerMarginDivisor-th.
	probeAfterDivisor   = 4
	probeBeforeDivisor  = 2
	answerMarginDivisor = 4
	// togetherFactor times the span in which the requests of a silence were answered is less than
	// that in which they were sent, if a pause has held them back.
	togetherFactor = 2
)

// Server is what the answers of one process of a server have shown. The zero value
// knows nothing.
type Server struct {
	// number tells the server from others once it has shown an interval; zero before.
	number       int
	lastAnswerAt time.Time
	silence      silence
	// lastPauseEnd is the end of the last pause that was seen; zero if none was.
	lastPauseEnd time.Time
	// length is how long its pauses last.
	pauseLength time.Duration
	// interval is the time between the last two pauses, period what was confirmed;
	// zero if unknown.
	interval time.Duration
	period   time.Duration
	// ignoresShared says that a pause did not come when it was foreseen, so that only a period
	// that the server shows itself is used.
	ignoresShared bool
	// isDoubted says that the foreseen pause before the last one that came was not seen.
	isDoubted bool
	// probedPauseEnd is the end of the foreseen pause in which a request was last sent.
	probedPauseEnd time.Time
}

// silence is a span without answers while some were due, and the requests that met it.
type silence struct {
	// previousAnswerAt is the last answer before it; from is when an answer was due first.
	previousAnswerAt, from time.Time
	// firstAnswered and lastAnswered are when its first and its last request were answered.
	firstAnswered, lastAnswered time.Time
	// firstSent and lastSent are when its requests were sent.
	firstSent, lastSent time.Time
	// isPause says that it was taken for a pause.
	isPause bool
}

// Answered takes an answer that the server gave at a moment to a request that was sent at
// another one. usual is the time that such an answer takes, the network included.
func (s *Server) RecordAnswer(sent, now time.Time, typical time.Duration, shared *SharedPeriod) {
	previous := s.lastAnswerAt
	s.lastAnswerAt = now
	expectedAt := sent.Add(typical)
	if s.belongsToSilence(sent, now, expectedAt, typical) {
		s.extendSilence(sent, now, expectedAt)
		s.classifySilence(shared)
		return
	}
	from := expectedAt
	if previous.After(expectedAt) {
		from = previous
	}
	isPredicted, end := s.predictedAround(now, shared)
	if now.Sub(from) >= s.minSilence(typical, isPredicted) {
		s.silence = silence{
			previousAnswerAt: previous, from: from, firstAnswered: now, lastAnswered: now, firstSent: sent, lastSent: sent,
		}
		if isPredicted {
			s.silence.isPause = true
			s.recordPause(now, now.Sub(from), shared)
		}
		return
	}
	if !end.IsZero() && s.isMidPause(now, end) {
		s.forget()
	}
}

// minSilence returns the shortest silence that counts. At a foreseen moment half of that is
// enough: it is met by the one request that was sent to see it, when a part of it was over.
func (s *Server) minSilence(typical time.Duration, isPredicted bool) time.Duration {
	shortest := max(minPause, minPauseFactor*typical)
	if isPredicted {
		return shortest / 2
	}
	return shortest
}

// joins reports whether an answer belongs to the last silence: it was due in it and comes
// right after its end.
func (s *Server) belongsToSilence(sent, now, expectedAt time.Time, typical time.Duration) bool {
	last := &s.silence
	return !last.firstAnswered.IsZero() && expectedAt.Before(last.firstAnswered) &&
		now.Sub(last.firstAnswered) <= typical && sent.After(last.previousAnswerAt.Add(-typical))
}

// widen takes a further request of the last silence.
func (s *Server) extendSilence(sent, now, expectedAt time.Time) {
	last := &s.silence
	last.lastAnswered = now
	if sent.Before(last.firstSent) {
		last.firstSent = sent
	}
	if sent.After(last.lastSent) {
		last.lastSent = sent
	}
	if expectedAt.Before(last.from) && expectedAt.After(last.previousAnswerAt) {
		last.from = expectedAt
	}
}

// judge takes the last silence for a pause if its requests were answered together. A slow
// server answers in the order and at the pace in which it was asked.
func (s *Server) classifySilence(shared *SharedPeriod) {
	last := &s.silence
	if last.isPause || last.lastSent.Sub(last.firstSent) <= togetherFactor*last.lastAnswered.Sub(last.firstAnswered) {
		return
	}
	last.isPause = true
	s.recordPause(last.firstAnswered, last.firstAnswered.Sub(last.from), shared)
}

// see takes a pause that was seen.
func (s *Server) recordPause(until time.Time, length time.Duration, shared *SharedPeriod) {
	previous, period := s.lastPauseEnd, s.currentPeriod(until, shared)
	elapsed := until.Sub(previous)
	if !previous.IsZero() && period > 0 && elapsed <= maxUnseenPeriods*period+tolerance {
		s.comparePause(elapsed, period, until, length, shared)
		return
	}
	s.updatePause(until, length, shared)
	if !previous.IsZero() && period == 0 {
		s.learnInterval(elapsed, until, shared)
	}
}

// compare takes a pause that was seen while others were foreseen.
func (s *Server) comparePause(elapsed, period time.Duration, until time.Time, length time.Duration, shared *SharedPeriod) {
	count, remainder, isPredicted := nearestMultiple(elapsed, period)
	_, _, isHalfway := nearestMultiple(2*elapsed, period)
	switch {
	case isPredicted:
		// Half of the error is taken for one of the period: a single pause may be late by itself.
		s.period = period + remainder/time.Duration(2*count)
		s.isDoubted = count > 1
		s.updatePause(until, length, shared)
		shared.confirm(s.period, until)
	case s.period == 0:
		s.forget()
		s.updatePause(until, length, shared)
		s.learnInterval(elapsed, until, shared)
	case isHalfway && period >= 2*minPeriod:
		s.period = period / 2
		s.updatePause(until, length, shared)
	}
	// Any other silence is one that does not recur: what is foreseen holds until a pause
	// does not come.
}

// take keeps when the last pause ended and how long it was.
func (s *Server) updatePause(until time.Time, length time.Duration, shared *SharedPeriod) {
	s.lastPauseEnd = until
	s.pauseLength = adjustedLength(s.pauseLength, length)
	shared.pauseLength = adjustedLength(shared.pauseLength, length)
}

// adjustedLength returns the length that is expected of pauses after one that lasted for some
// time at least: a pause is seen from when its first request should have been answered, so that
// longer ones tell more.
func adjustedLength(known, seen time.Duration) time.Duration {
	seen = min(seen, maxPauseLength)
	if known == 0 {
		return seen
	}
	if seen > known {
		return known + (seen-known+1)/lengthRiseDivisor
	}
	return known + (seen-known)/lengthFallDivisor
}

// learn takes the time between two pauses, and the period if another interval is like it.
func (s *Server) learnInterval(elapsed time.Duration, now time.Time, shared *SharedPeriod) {
	previous := s.interval
	s.interval = 0
	if elapsed < minPeriod || elapsed > maxPeriod {
		return
	}
	s.interval = elapsed
	if period, ok := commonPeriod(elapsed, previous); ok {
		s.period = period
	} else if period, ok := shared.periodWith(s, elapsed, now); ok {
		s.period = period
	}
	shared.addInterval(s, elapsed, now)
	if s.period > 0 {
		shared.confirm(s.period, now)
	}
}

// forget drops what was foreseen, since a pause did not come then.
func (s *Server) forget() {
	s.lastPauseEnd, s.pauseLength, s.interval, s.period = time.Time{}, 0, 0, 0
	s.ignoresShared, s.isDoubted = true, false
}

// Wait returns how long a request that is sent now and usually takes some time would wait
// for the end of a foreseen pause; zero if it would not meet one.
func (s *Server) ExpectedWait(now time.Time, typical time.Duration, shared *SharedPeriod) time.Duration {
	end, unseen := s.nextPauseEnd(now, shared)
	if unseen == 0 {
		return 0
	}
	wait := end.Sub(now)
	if wait-typical > s.expectedLength(now, shared) || s.mayProbe(now, end, unseen) {
		return 0
	}
	return wait
}

// Foresees reports whether a pause is foreseen at any time to come.
func (s *Server) PredictsPause(now time.Time, shared *SharedPeriod) bool {
	_, unseen := s.nextPauseEnd(now, shared)
	return unseen > 0
}

// Sent takes that a request is sent to the server, which may be one that looks whether it
// pauses as foreseen.
func (s *Server) RecordSent(now time.Time, shared *SharedPeriod) {
	end, unseen := s.nextPauseEnd(now, shared)
	if unseen > 0 && end.Sub(now) <= s.probeSpan() {
		s.probedPauseEnd = end
	}
}

// mayProbe reports whether one request may be sent although a pause is foreseen. Mostly one
// that is under way when the pause begins shows it.
func (s *Server) mayProbe(now, end time.Time, unseen int) bool {
	if !s.isDoubted && unseen%probeEvery != 0 || s.probedPauseEnd.Equal(end) {
		return false
	}
	left := end.Sub(now)
	return left <= s.probeSpan() && left >= s.pauseLength/probeBeforeDivisor
}

// probeSpan is how long before the end of a foreseen pause a request may first be sent to see
// whether the server pauses.
func (s *Server) probeSpan() time.Duration {
	return s.pauseLength * (probeAfterDivisor - 1) / probeAfterDivisor
}

// nextPauseEnd returns when the next foreseen pause ends and how many periods after the last
// pause that was seen; the number is zero if none is foreseen.
func (s *Server) nextPauseEnd(now time.Time, shared *SharedPeriod) (time.Time, int) {
	if s.lastPauseEnd.IsZero() {
		return time.Time{}, 0
	}
	period := s.currentPeriod(now, shared)
	if period == 0 {
		return time.Time{}, 0
	}
	unseen := 1 + int(now.Sub(s.lastPauseEnd)/period)
	if unseen > maxUnseenPeriods {
		return time.Time{}, 0
	}
	return s.lastPauseEnd.Add(time.Duration(unseen) * period), unseen
}

// expectedLength is how long the next pause lasts: the first ones that are seen of a server
// tell little, while others with the same period have shown more.
func (s *Server) expectedLength(now time.Time, shared *SharedPeriod) time.Duration {
	if period := shared.current(now); period == 0 || (s.currentPeriod(now, shared)-period).Abs() > tolerance {
		return s.pauseLength
	}
	return max(s.pauseLength, shared.pauseLength)
}

// currentPeriod is the server's own period, or that of other servers.
func (s *Server) currentPeriod(now time.Time, shared *SharedPeriod) time.Duration {
	if s.period > 0 || s.ignoresShared {
		return s.period
	}
	return shared.current(now)
}

// predictedAround reports whether a moment is about the end of a foreseen pause, and
// returns the end of the next one; zero if none is foreseen.
func (s *Server) predictedAround(now time.Time, shared *SharedPeriod) (bool, time.Time) {
	end, unseen := s.nextPauseEnd(now, shared)
	if unseen == 0 {
		return false, time.Time{}
	}
	sinceLast := tolerance + 1
	if unseen > 1 {
		sinceLast = now.Sub(end.Add(-s.currentPeriod(now, shared)))
	}
	return end.Sub(now) <= tolerance || sinceLast <= tolerance, end
}

// isMidPause reports whether a moment is well within a foreseen pause.
func (s *Server) isMidPause(now, end time.Time) bool {
	left := end.Sub(now)
	return left < s.pauseLength*(answerMarginDivisor-1)/answerMarginDivisor && left > s.pauseLength/answerMarginDivisor
}
