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
	// leastPause is the shortest silence that counts: what is shorter, a second server
	// bridges within the time that callers have.
	leastPause = 100 * time.Millisecond
	// leastUsualTimes is how many times a usual answer the shortest silence lasts, where answers
	// take so long that this is more than leastPause.
	leastUsualTimes = 2
	// greatestLength bounds for how long a server is passed over for one pause.
	greatestLength = time.Second
	// leastPeriod and greatestPeriod bound the periods that are learned: a server that
	// pauses more often is slow, and one that pauses more seldom touches few requests.
	leastPeriod    = time.Second
	greatestPeriod = 30 * time.Second
	// tolerance is how far a pause may be from the foreseen moment: the first answer
	// after it comes when its work has ended.
	tolerance = 75 * time.Millisecond
	// greatestUnseen is for how many periods after the last pause that was seen further ones
	// are foreseen: the error of the period adds up.
	greatestUnseen = 6
	// lengthRise and lengthFall divide the difference between the expected length of pauses and
	// that of a longer or a shorter one: by so much the expected length follows it.
	lengthRise = 2
	lengthFall = 16
	// lookEvery tells in which of the foreseen pauses since the last one that was seen a request
	// is sent all the same, to see whether the server still pauses: in every second one.
	lookEvery = 2
	// That request is sent once one lookAfter-th of the foreseen pause is over, and while at least
	// one lookBefore-th is left: its answer then shows the end of the pause. An answer shows that
	// there is no pause if it comes neither in the first nor in the last answersAfter-th.
	lookAfter    = 4
	lookBefore   = 2
	answersAfter = 4
	// togetherFactor times the span in which the requests of a silence were answered is less than
	// that in which they were sent, if a pause has held them back.
	togetherFactor = 2
)

// Server is what the answers of one process of a server have shown. The zero value
// knows nothing.
type Server struct {
	// number tells the server from others once it has shown an interval; zero before.
	number     int
	answeredAt time.Time
	silence    silence
	// pausedUntil is the end of the last pause that was seen; zero if none was.
	pausedUntil time.Time
	// length is how long its pauses last.
	length time.Duration
	// interval is the time between the last two pauses, period what was confirmed;
	// zero if unknown.
	interval time.Duration
	period   time.Duration
	// isOwn says that a pause did not come when it was foreseen, so that only a period
	// that the server shows itself is used.
	isOwn bool
	// isDoubted says that the foreseen pause before the last one that came was not seen.
	isDoubted bool
	// lookedAt is the end of the foreseen pause in which a request was last sent.
	lookedAt time.Time
}

// silence is a span without answers while some were due, and the requests that met it.
type silence struct {
	// notBefore is the last answer before it; from is when an answer was due first.
	notBefore, from time.Time
	// firstAnswered and lastAnswered are when its first and its last request were answered.
	firstAnswered, lastAnswered time.Time
	// firstSent and lastSent are when its requests were sent.
	firstSent, lastSent time.Time
	// isCounted says that it was taken for a pause.
	isCounted bool
}

// Answered takes an answer that the server gave at a moment to a request that was sent at
// another one. usual is the time that such an answer takes, the network included.
func (s *Server) RecordAnswer(sent, now time.Time, usual time.Duration, shared *SharedPeriod) {
	previous := s.answeredAt
	s.answeredAt = now
	due := sent.Add(usual)
	if s.joins(sent, now, due, usual) {
		s.widen(sent, now, due)
		s.judge(shared)
		return
	}
	from := due
	if previous.After(due) {
		from = previous
	}
	foreseen, end := s.foreseenAround(now, shared)
	if now.Sub(from) >= s.leastSilence(usual, foreseen) {
		s.silence = silence{
			notBefore: previous, from: from, firstAnswered: now, lastAnswered: now, firstSent: sent, lastSent: sent,
		}
		if foreseen {
			s.silence.isCounted = true
			s.see(now, now.Sub(from), shared)
		}
		return
	}
	if !end.IsZero() && s.isAmid(now, end) {
		s.forget()
	}
}

// leastSilence returns the shortest silence that counts. At a foreseen moment half of that is
// enough: it is met by the one request that was sent to see it, when a part of it was over.
func (s *Server) leastSilence(usual time.Duration, foreseen bool) time.Duration {
	least := max(leastPause, leastUsualTimes*usual)
	if foreseen {
		return least / 2
	}
	return least
}

// joins reports whether an answer belongs to the last silence: it was due in it and comes
// right after its end.
func (s *Server) joins(sent, now, due time.Time, usual time.Duration) bool {
	last := &s.silence
	return !last.firstAnswered.IsZero() && due.Before(last.firstAnswered) &&
		now.Sub(last.firstAnswered) <= usual && sent.After(last.notBefore.Add(-usual))
}

// widen takes a further request of the last silence.
func (s *Server) widen(sent, now, due time.Time) {
	last := &s.silence
	last.lastAnswered = now
	if sent.Before(last.firstSent) {
		last.firstSent = sent
	}
	if sent.After(last.lastSent) {
		last.lastSent = sent
	}
	if due.Before(last.from) && due.After(last.notBefore) {
		last.from = due
	}
}

// judge takes the last silence for a pause if its requests were answered together. A slow
// server answers in the order and at the pace in which it was asked.
func (s *Server) judge(shared *SharedPeriod) {
	last := &s.silence
	if last.isCounted || last.lastSent.Sub(last.firstSent) <= togetherFactor*last.lastAnswered.Sub(last.firstAnswered) {
		return
	}
	last.isCounted = true
	s.see(last.firstAnswered, last.firstAnswered.Sub(last.from), shared)
}

// see takes a pause that was seen.
func (s *Server) see(until time.Time, length time.Duration, shared *SharedPeriod) {
	previous, period := s.pausedUntil, s.currentPeriod(until, shared)
	elapsed := until.Sub(previous)
	if !previous.IsZero() && period > 0 && elapsed <= greatestUnseen*period+tolerance {
		s.compare(elapsed, period, until, length, shared)
		return
	}
	s.take(until, length, shared)
	if !previous.IsZero() && period == 0 {
		s.learn(elapsed, until, shared)
	}
}

// compare takes a pause that was seen while others were foreseen.
func (s *Server) compare(elapsed, period time.Duration, until time.Time, length time.Duration, shared *SharedPeriod) {
	times, rest, isForeseen := multiple(elapsed, period)
	_, _, isHalfway := multiple(2*elapsed, period)
	switch {
	case isForeseen:
		// Half of the error is taken for one of the period: a single pause may be late by itself.
		s.period = period + rest/time.Duration(2*times)
		s.isDoubted = times > 1
		s.take(until, length, shared)
		shared.confirm(s.period, until)
	case s.period == 0:
		s.forget()
		s.take(until, length, shared)
		s.learn(elapsed, until, shared)
	case isHalfway && period >= 2*leastPeriod:
		s.period = period / 2
		s.take(until, length, shared)
	}
	// Any other silence is one that does not recur: what is foreseen holds until a pause
	// does not come.
}

// take keeps when the last pause ended and how long it was.
func (s *Server) take(until time.Time, length time.Duration, shared *SharedPeriod) {
	s.pausedUntil = until
	s.length = adjustedLength(s.length, length)
	shared.length = adjustedLength(shared.length, length)
}

// adjustedLength returns the length that is expected of pauses after one that lasted for some
// time at least: a pause is seen from when its first request should have been answered, so that
// longer ones tell more.
func adjustedLength(known, seen time.Duration) time.Duration {
	seen = min(seen, greatestLength)
	if known == 0 {
		return seen
	}
	if seen > known {
		return known + (seen-known+1)/lengthRise
	}
	return known + (seen-known)/lengthFall
}

// learn takes the time between two pauses, and the period if another interval is like it.
func (s *Server) learn(elapsed time.Duration, now time.Time, shared *SharedPeriod) {
	before := s.interval
	s.interval = 0
	if elapsed < leastPeriod || elapsed > greatestPeriod {
		return
	}
	s.interval = elapsed
	if period, ok := common(elapsed, before); ok {
		s.period = period
	} else if period, ok := shared.sharedWith(s, elapsed, now); ok {
		s.period = period
	}
	shared.note(s, elapsed, now)
	if s.period > 0 {
		shared.confirm(s.period, now)
	}
}

// forget drops what was foreseen, since a pause did not come then.
func (s *Server) forget() {
	s.pausedUntil, s.length, s.interval, s.period = time.Time{}, 0, 0, 0
	s.isOwn, s.isDoubted = true, false
}

// Wait returns how long a request that is sent now and usually takes some time would wait
// for the end of a foreseen pause; zero if it would not meet one.
func (s *Server) ExpectedWait(now time.Time, usual time.Duration, shared *SharedPeriod) time.Duration {
	end, unseen := s.nextEnd(now, shared)
	if unseen == 0 {
		return 0
	}
	wait := end.Sub(now)
	if wait-usual > s.expectedLength(now, shared) || s.mayLook(now, end, unseen) {
		return 0
	}
	return wait
}

// Foresees reports whether a pause is foreseen at any time to come.
func (s *Server) PredictsPause(now time.Time, shared *SharedPeriod) bool {
	_, unseen := s.nextEnd(now, shared)
	return unseen > 0
}

// Sent takes that a request is sent to the server, which may be one that looks whether it
// pauses as foreseen.
func (s *Server) RecordSent(now time.Time, shared *SharedPeriod) {
	end, unseen := s.nextEnd(now, shared)
	if unseen > 0 && end.Sub(now) <= s.lookSpan() {
		s.lookedAt = end
	}
}

// mayLook reports whether one request may be sent although a pause is foreseen. Mostly one
// that is under way when the pause begins shows it.
func (s *Server) mayLook(now, end time.Time, unseen int) bool {
	if !s.isDoubted && unseen%lookEvery != 0 || s.lookedAt.Equal(end) {
		return false
	}
	left := end.Sub(now)
	return left <= s.lookSpan() && left >= s.length/lookBefore
}

// lookSpan is how long before the end of a foreseen pause a request may first be sent to see
// whether the server pauses.
func (s *Server) lookSpan() time.Duration { return s.length * (lookAfter - 1) / lookAfter }

// nextEnd returns when the next foreseen pause ends and how many periods after the last
// pause that was seen; the number is zero if none is foreseen.
func (s *Server) nextEnd(now time.Time, shared *SharedPeriod) (time.Time, int) {
	if s.pausedUntil.IsZero() {
		return time.Time{}, 0
	}
	period := s.currentPeriod(now, shared)
	if period == 0 {
		return time.Time{}, 0
	}
	unseen := 1 + int(now.Sub(s.pausedUntil)/period)
	if unseen > greatestUnseen {
		return time.Time{}, 0
	}
	return s.pausedUntil.Add(time.Duration(unseen) * period), unseen
}

// expectedLength is how long the next pause lasts: the first ones that are seen of a server
// tell little, while others with the same period have shown more.
func (s *Server) expectedLength(now time.Time, shared *SharedPeriod) time.Duration {
	if period := shared.current(now); period == 0 || (s.currentPeriod(now, shared)-period).Abs() > tolerance {
		return s.length
	}
	return max(s.length, shared.length)
}

// currentPeriod is the server's own period, or that of other servers.
func (s *Server) currentPeriod(now time.Time, shared *SharedPeriod) time.Duration {
	if s.period > 0 || s.isOwn {
		return s.period
	}
	return shared.current(now)
}

// foreseenAround reports whether a moment is about the end of a foreseen pause, and
// returns the end of the next one; zero if none is foreseen.
func (s *Server) foreseenAround(now time.Time, shared *SharedPeriod) (bool, time.Time) {
	end, unseen := s.nextEnd(now, shared)
	if unseen == 0 {
		return false, time.Time{}
	}
	sinceLast := tolerance + 1
	if unseen > 1 {
		sinceLast = now.Sub(end.Add(-s.currentPeriod(now, shared)))
	}
	return end.Sub(now) <= tolerance || sinceLast <= tolerance, end
}

// isAmid reports whether a moment is well within a foreseen pause.
func (s *Server) isAmid(now, end time.Time) bool {
	left := end.Sub(now)
	return left < s.length*(answersAfter-1)/answersAfter && left > s.length/answersAfter
}
