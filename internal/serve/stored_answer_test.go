package serve

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/query"
)

// storedAnswer is an answer as the claims in the stores hold it. Nodes of several builds read and
// write these records, so the text must not follow a renaming of the Go fields.
const storedAnswer = `{
	"Version": 3,
	"Records": [{"Key": "k", "Score": -7, "Payload": "cGF5bG9hZA=="}, {"Key": "l", "Score": -8, "Payload": null}],
	"Matches": 11,
	"ScoreSum": -15,
	"Coverage": {
		"Asked": {"start": 16, "end": 4096},
		"CoveredWidth": 4000,
		"Missing": [{"start": 32, "end": 112}],
		"PartsCovered": 4,
		"PartsTotal": 5
	},
	"StopReason": "deadline",
	"ExtraLoad": {"Primary": 5, "Hedges": 2, "Retries": 1, "NotRun": 6, "Refused": 9},
	"Restarts": 10,
	"Elapsed": 1500000
}`

func answerInStore() *query.Answer {
	return &query.Answer{
		Version:  3,
		Records:  []backend.Record{{Key: "k", Score: -7, Payload: []byte("payload")}, {Key: "l", Score: -8}},
		Matches:  11,
		ScoreSum: -15,
		Coverage: query.Coverage{
			Requested:    keyspace.Range{Start: 16, End: 4096},
			CoveredWidth: 4000,
			Missing:      []keyspace.Range{{Start: 32, End: 112}},
			PartsCovered: 4,
			PartsTotal:   5,
		},
		StopReason: "deadline",
		ExtraLoad:  query.ExtraLoad{Primary: 5, Hedges: 2, Retries: 1, NotRun: 6, Refused: 9},
		Restarts:   10,
		Elapsed:    1500 * time.Microsecond,
	}
}

func TestAnswerIsRecordedUnderTheStoredNames(t *testing.T) {
	g := NewWithT(t)
	g.Expect(encodeAnswer(answerInStore())).To(MatchJSON(storedAnswer))
}

func TestStoredAnswerIsReadWhole(t *testing.T) {
	g := NewWithT(t)
	decoded := &query.Answer{}
	g.Expect(json.Unmarshal([]byte(storedAnswer), decoded)).To(Succeed())
	g.Expect(decoded).To(Equal(answerInStore()))
}
