// Package rhythm predicts the pauses of servers that pause periodically, for example to collect
// garbage or to flush a file every few seconds, from the times of their answers.
//
// A pause shows as a silence: requests that were sent over some time are answered together after
// it. Two similar intervals between pauses, of one server or of two, make a period. While a server
// is predicted to pause, ExpectedWait returns how long a request would wait there; the caller
// chooses the server. Without a period nothing is predicted.
//
// Nothing here is safe for concurrent use. The package reads no clock, takes no locks and does not
// allocate memory.
package rhythm

import "time"

// Constants for detecting and predicting pauses.
const (
	// minPause is the shortest silence that counts as a pause: a request that meets a shorter one
	// can still be answered by a second server within the time that callers have.
	minPause = 100 * time.Millisecond
	// minPauseFactor times the typical answer time is the shortest silence that counts, if that is
	// more than minPause.
	minPauseFactor = 2
	// maxPauseLength bounds for how long a server is avoided because of one pause.
	maxPauseLength = time.Second
	// minPeriod and maxPeriod bound the periods that are learned: a server that pauses more often
	// is just slow, and one that pauses less often affects few requests.
	minPeriod = time.Second
	maxPeriod = 30 * time.Second
	// tolerance is how far the end of a pause may be from the predicted time: the first answer
	// after a pause comes only when the work for it is done.
	tolerance = 75 * time.Millisecond
	// maxUnseenPeriods is the number of periods after the last seen pause for which further pauses
	// are predicted: the error of the period adds up over them.
	maxUnseenPeriods = 6
	// lengthRiseDivisor and lengthFallDivisor set how quickly the expected length of pauses follows
	// a longer or a shorter one: it changes by the difference divided by them.
	lengthRiseDivisor = 2
	lengthFallDivisor = 16
	// A probe is a normal request that is sent during a predicted pause to show whether the server
	// still pauses. It is sent in every probeEvery-th predicted pause since the last seen one.
	probeEvery = 2
	// A probe is sent after the first 1/probeAfterDivisor of the predicted pause and while at least
	// 1/probeBeforeDivisor of it is left, so that its answer shows the end of the pause. An answer
	// shows that there is no pause if it comes neither in the first nor in the last
	// 1/answerMarginDivisor of the predicted pause.
	probeAfterDivisor   = 4
	probeBeforeDivisor  = 2
	answerMarginDivisor = 4
	// togetherFactor separates pauses from slow answers: a silence counts as a pause if the time
	// over which its requests were sent is more than togetherFactor times the time over which they
	// were answered.
	togetherFactor = 2
)

// Server predicts the pauses of one process of a server from its answers. The zero value predicts
// nothing. It is not safe for concurrent use.
type Server struct {
	// number identifies the server in SharedPeriod; zero until it has shown an interval.
	number       int
	lastAnswerAt time.Time
	silence      silence
	// lastPauseEnd is the end of the last seen pause; zero if there is none.
	lastPauseEnd time.Time
	// pauseLength is the expected length of a pause of this server.
	pauseLength time.Duration
	// interval is the time between the last two pauses, and period the period that was confirmed;
	// zero if unknown.
	interval time.Duration
	period   time.Duration
	// ignoresShared is set if a predicted pause did not come, so that only a period that the server
	// itself shows is used.
	ignoresShared bool
	// isDoubted is set if the predicted pause before the last seen one was not seen.
	isDoubted bool
	// probedPauseEnd is the end of the predicted pause in which a probe was last sent.
	probedPauseEnd time.Time
}

// silence is a span without answers although some were expected, and the requests that met it.
type silence struct {
	// previousAnswerAt is the time of the last answer before it, and from the time at which the
	// first answer was expected.
	previousAnswerAt, from time.Time
	// firstAnswered and lastAnswered are the times of the first and the last answer after it.
	firstAnswered, lastAnswered time.Time
	// firstSent and lastSent are the times at which its first and its last request were sent.
	firstSent, lastSent time.Time
	// isPause is set once the silence was classified as a pause.
	isPause bool
}

// RecordAnswer records an answer that came at now to a request that was sent at sent. typical is
// the time that such an answer usually takes, including the network.
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

// minSilence returns the shortest silence that counts. At a predicted time half of it is enough:
// the only request that meets the pause is then the probe, which is sent when a part of it is over.
func (s *Server) minSilence(typical time.Duration, isPredicted bool) time.Duration {
	shortest := max(minPause, minPauseFactor*typical)
	if isPredicted {
		return shortest / 2
	}
	return shortest
}

// belongsToSilence reports whether an answer belongs to the last silence: it was expected during
// the silence and comes right after its end.
func (s *Server) belongsToSilence(sent, now, expectedAt time.Time, typical time.Duration) bool {
	last := &s.silence
	return !last.firstAnswered.IsZero() && expectedAt.Before(last.firstAnswered) &&
		now.Sub(last.firstAnswered) <= typical && sent.After(last.previousAnswerAt.Add(-typical))
}

// extendSilence adds a request to the last silence.
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

// classifySilence records the last silence as a pause if its requests were answered together. A
// server that is only slow answers in the order and at the pace in which requests were sent.
func (s *Server) classifySilence(shared *SharedPeriod) {
	last := &s.silence
	if last.isPause || last.lastSent.Sub(last.firstSent) <= togetherFactor*last.lastAnswered.Sub(last.firstAnswered) {
		return
	}
	last.isPause = true
	s.recordPause(last.firstAnswered, last.firstAnswered.Sub(last.from), shared)
}

// recordPause records a seen pause.
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

// comparePause records a pause that was seen while pauses were predicted.
func (s *Server) comparePause(elapsed, period time.Duration, until time.Time, length time.Duration, shared *SharedPeriod) {
	count, remainder, isPredicted := nearestMultiple(elapsed, period)
	_, _, isHalfway := nearestMultiple(2*elapsed, period)
	switch {
	case isPredicted:
		// Half of the deviation is attributed to the period: a single pause may also be late by
		// itself.
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
	// Any other silence is taken as one that does not recur: the prediction holds until a predicted
	// pause does not come.
}

// updatePause stores the end of the last pause and updates the expected lengths.
func (s *Server) updatePause(until time.Time, length time.Duration, shared *SharedPeriod) {
	s.lastPauseEnd = until
	s.pauseLength = adjustedLength(s.pauseLength, length)
	shared.pauseLength = adjustedLength(shared.pauseLength, length)
}

// adjustedLength returns the expected length of pauses after a seen one. A pause is seen only from
// the time at which its first request should have been answered, so that the seen length is a lower
// bound and longer ones count more.
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

// learnInterval records the time between two pauses, and sets the period if another interval is
// similar.
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

// forget drops the prediction after a predicted pause did not come.
func (s *Server) forget() {
	s.lastPauseEnd, s.pauseLength, s.interval, s.period = time.Time{}, 0, 0, 0
	s.ignoresShared, s.isDoubted = true, false
}

// ExpectedWait returns how long a request that is sent at now and typically takes the given time
// would wait for the end of a predicted pause. It is zero if the request would not meet a pause, or
// may be sent as a probe.
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

// PredictsPause reports whether any future pause is predicted.
func (s *Server) PredictsPause(now time.Time, shared *SharedPeriod) bool {
	_, unseen := s.nextPauseEnd(now, shared)
	return unseen > 0
}

// RecordSent records that a request is sent to the server, which may serve as a probe.
func (s *Server) RecordSent(now time.Time, shared *SharedPeriod) {
	end, unseen := s.nextPauseEnd(now, shared)
	if unseen > 0 && end.Sub(now) <= s.probeSpan() {
		s.probedPauseEnd = end
	}
}

// mayProbe reports whether a request may be sent as a probe although a pause is predicted. Probes
// are rare, since a request that is in flight when the pause begins mostly shows it.
func (s *Server) mayProbe(now, end time.Time, unseen int) bool {
	if !s.isDoubted && unseen%probeEvery != 0 || s.probedPauseEnd.Equal(end) {
		return false
	}
	left := end.Sub(now)
	return left <= s.probeSpan() && left >= s.pauseLength/probeBeforeDivisor
}

// probeSpan returns how long before the end of a predicted pause a probe may be sent at the
// earliest.
func (s *Server) probeSpan() time.Duration {
	return s.pauseLength * (probeAfterDivisor - 1) / probeAfterDivisor
}

// nextPauseEnd returns when the next predicted pause ends, and how many periods that is after the
// last seen pause. The number is zero if no pause is predicted.
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

// expectedLength returns the expected length of the next pause. The first seen pauses of a server
// show little of their length, while other servers with the same period have shown more.
func (s *Server) expectedLength(now time.Time, shared *SharedPeriod) time.Duration {
	if period := shared.current(now); period == 0 || (s.currentPeriod(now, shared)-period).Abs() > tolerance {
		return s.pauseLength
	}
	return max(s.pauseLength, shared.pauseLength)
}

// currentPeriod returns the server's own period, or else the shared one unless the server ignores
// it.
func (s *Server) currentPeriod(now time.Time, shared *SharedPeriod) time.Duration {
	if s.period > 0 || s.ignoresShared {
		return s.period
	}
	return shared.current(now)
}

// predictedAround reports whether now is within the tolerance of the end of a predicted pause, and
// returns the end of the next one; zero if no pause is predicted.
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

// isMidPause reports whether now is well within the predicted pause that ends at end.
func (s *Server) isMidPause(now, end time.Time) bool {
	left := end.Sub(now)
	return left < s.pauseLength*(answerMarginDivisor-1)/answerMarginDivisor && left > s.pauseLength/answerMarginDivisor
}
