package edge

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/loadshed"
)

// countingSink counts the lines of a logger.
type countingSink struct{ lines int }

func (s *countingSink) Accept(string, hclog.Level, string, ...any) { s.lines++ }

// TestChangesBackAndForthAreToldOncePerSpan: of twenty shortages that begin and end within two
// intervals, at most three are logged, with a line for the beginning and one for the end.
func TestChangesBackAndForthAreToldOncePerSpan(t *testing.T) {
	g := NewWithT(t)
	sink := &countingSink{}
	logger := hclog.NewInterceptLogger(&hclog.LoggerOptions{Level: hclog.Off})
	logger.RegisterSink(sink)
	log, began := newAdmissionLog(logger), time.Unix(100, 0)
	short := loadshed.Shares{Ranks: []loadshed.RankShare{{Share: 0.5}}}
	for step := range 20 {
		at := began.Add(time.Duration(step) * admissionLogInterval / 10)
		key := loadshed.Key{Service: "a"}
		log.write([]loadshed.Measurement{{Key: key, Shares: short, MeasuredAt: at}})
		log.write([]loadshed.Measurement{{Key: key, MeasuredAt: at.Add(admissionLogInterval / 20)}})
	}
	g.Expect(sink.lines).To(And(BeNumerically(">=", 2), BeNumerically("<=", 6)))
}
