package callerapi

import (
	"encoding/json"
	"time"

	"github.com/bramblemast/bramblemast/api"
	"github.com/bramblemast/bramblemast/internal/serve"
	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/query"
)

func (s *Server) answerMessage(request *serve.Request, result *serve.Result) *api.Answer {
	answer := result.Answer
	message := &api.Answer{
		RequestID:  request.ID,
		Outcome:    outcome.Completed,
		Snapshot:   uint64(answer.Version),
		Coverage:   coverageMessage(answer.Coverage),
		Records:    recordMessages(answer.Records),
		Matches:    answer.Matches,
		ScoreSum:   answer.ScoreSum,
		StopReason: string(answer.StopReason),
		ExtraLoad:  extraLoadMessage(answer.ExtraLoad),
		Tenant:     request.Template.Tenant,
		Template:   request.Template.Name,
		ElapsedMS:  millisecondsSince(request.Arrived),
		Node:       string(s.options.Node),
		Arm:        result.Arm,
		Revision:   result.Template.Revision,
		Replayed:   result.Replayed,
	}
	return message
}

func (s *Server) partialMessage(request *serve.Request, partial query.Partial) *api.Partial {
	return &api.Partial{
		RequestID: request.ID,
		Snapshot:  uint64(partial.Version),
		Coverage:  coverageMessage(partial.Coverage),
		Records:   recordMessages(partial.Records),
		ElapsedMS: millisecondsSince(request.Arrived),
		Node:      string(s.options.Node),
	}
}

func millisecondsSince(moment time.Time) float64 {
	return float64(time.Since(moment).Microseconds()) / 1000
}

func coverageMessage(coverage query.Coverage) api.Coverage {
	missing := coverage.Missing
	if missing == nil {
		missing = []keyspace.Range{}
	}
	return api.Coverage{
		Complete:     coverage.Complete(),
		Share:        coverage.Share(),
		Asked:        coverage.Requested,
		Missing:      missing,
		PartsCovered: coverage.PartsCovered,
		PartsTotal:   coverage.PartsTotal,
	}
}

func extraLoadMessage(extra query.ExtraLoad) api.ExtraLoad {
	return api.ExtraLoad{Primary: extra.Primary, Hedges: extra.Hedges, Retries: extra.Retries, Ratio: extra.Ratio()}
}

func recordMessages(records []backend.Record) []api.Record {
	messages := make([]api.Record, 0, len(records))
	for _, record := range records {
		messages = append(messages, api.Record{Key: record.Key, Score: record.Score, Payload: payloadMessage(record.Payload)})
	}
	return messages
}

// payloadMessage passes a JSON payload on as it is and encodes any other as a
// base64 text.
func payloadMessage(payload []byte) json.RawMessage {
	if len(payload) == 0 {
		return nil
	}
	if json.Valid(payload) {
		return payload
	}
	encoded, err := json.Marshal(payload)
	if err != nil {
		return nil // a byte slice always encodes
	}
	return encoded
}
