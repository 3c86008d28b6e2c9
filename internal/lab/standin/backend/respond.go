package backend

import (
	"net/http"
	"strconv"
	"time"

	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
	"github.com/bramblemast/bramblemast/internal/pause"
	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/backend/backendpb"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// result makes the answer to an executed request. A request with a payload is
// answered with one record: its key, the number of times that the key ran at
// this server as the score, and the payload.
func (s *Server) result(query *subQuery, timesRun int64) reply {
	made := reply{version: query.version, within: query.within}
	faults := s.faults.Get()
	if s.dice.chance(faults.WrongVersionShare) {
		made.version++
	}
	if s.dice.chance(faults.WrongRangeShare) {
		made.within = leftHalf(query.within)
	}
	var err error
	if len(query.message.Payload) > 0 {
		made.body, err = encode(receipt(query, timesRun))
	} else {
		made.body, err = s.config.Contents.answer(question{
			version: made.version,
			within:  made.within,
			query:   query.message.Query,
			limit:   query.message.Limit,
		})
	}
	if err != nil {
		s.logger.Error("make answer", "error", err)
	}
	return made
}

func receipt(query *subQuery, timesRun int64) *backendpb.SubResult {
	record := &backendpb.Record{
		Key:     query.message.IdempotencyKey,
		Score:   timesRun,
		Payload: query.message.Payload,
	}
	return &backendpb.SubResult{
		Records:  []*backendpb.Record{record},
		Matches:  1,
		ScoreSum: timesRun,
	}
}

func leftHalf(whole keyspace.Range) keyspace.Range {
	if whole.Width() < 2 {
		return whole
	}
	return keyspace.Range{Start: whole.Start, End: whole.Start + whole.Width()/2}
}

// respond writes the reply, with the faults that concern answers.
func (s *Server) respond(writer http.ResponseWriter, request *http.Request, query *subQuery, answered reply) {
	switch {
	case answered.refusal != "":
		s.writeRefusal(writer, answered.refusal)
	case answered.aborted:
		http.Error(writer, "deadline passed during execution", http.StatusGatewayTimeout)
	default:
		s.writeAnswer(writer, request, query, answered)
	}
}

// writeRefusal tells that a request was not run, and why.
func (s *Server) writeRefusal(writer http.ResponseWriter, reason outcome.Reason) {
	header := writer.Header()
	header.Set(backend.HeaderNotRun, string(reason))
	if reason == outcome.ReasonShed {
		drain := s.drainTime()
		header.Set(backend.HeaderRetryAfterMS, strconv.FormatInt(drain.Milliseconds()+1, 10))
		header.Set("Retry-After", strconv.FormatInt(int64(drain/time.Second)+1, 10))
	}
	writer.WriteHeader(refusalStatus(reason))
}

func refusalStatus(reason outcome.Reason) int {
	switch reason {
	case outcome.ReasonInvalid:
		return http.StatusBadRequest
	case outcome.ReasonVersionGone, outcome.ReasonRangeNotHeld:
		return http.StatusConflict
	case outcome.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

// drainTime is how long the present queue takes at the median service time.
func (s *Server) drainTime() time.Duration {
	median := s.config.Service.ServiceTime.Median.Std()
	return time.Duration(float64(median) * s.slots.load())
}

func (s *Server) writeAnswer(writer http.ResponseWriter, request *http.Request, query *subQuery, answered reply) {
	faults := s.faults.Get()
	if s.dice.chance(faults.LateShare) {
		pause.For(request.Context(), time.Duration(faults.LateMS)*time.Millisecond)
	}
	if s.dice.chance(faults.ResetShare) {
		panic(http.ErrAbortHandler)
	}
	if s.dice.chance(faults.ErrorShare) {
		http.Error(writer, "internal error after execution", http.StatusInternalServerError)
		return
	}
	header := writer.Header()
	if s.dice.chance(faults.WrongIDShare) {
		header.Set(backend.HeaderRequestID, "other-"+query.id)
	}
	header.Set("Content-Type", backend.ContentType)
	header.Set(backend.HeaderVersion, strconv.FormatUint(uint64(answered.version), 10))
	header.Set(backend.HeaderRange, answered.within.String())
	header.Set(backend.HeaderChecksum, answered.body.checksum)
	s.writeBody(writer, answered.body.content, faults)
}

// writeBody writes the body whole, or cut or changed as the faults say.
func (s *Server) writeBody(writer http.ResponseWriter, content []byte, faults labapi.Faults) {
	if s.dice.chance(faults.CorruptShare) {
		content = corrupted(content)
	}
	announced := len(content)
	cut := s.dice.chance(faults.TruncateShare)
	if cut {
		content = content[:len(content)/2]
	}
	if cut && s.dice.chance(0.5) {
		announced = len(content)
	}
	writer.Header().Set("Content-Length", strconv.Itoa(announced))
	// It fails if the other side has gone: there is nobody left to tell.
	_, _ = writer.Write(content)
	if announced > len(content) {
		// It fails if the other side has gone: there is nobody left to tell.
		_ = http.NewResponseController(writer).Flush()
		panic(http.ErrAbortHandler)
	}
}

// corrupted returns a copy with one byte changed.
func corrupted(content []byte) []byte {
	changed := append([]byte(nil), content...)
	if len(changed) > 0 {
		changed[len(changed)/2] ^= 0x20
	}
	return changed
}
