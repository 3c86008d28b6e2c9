package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/internal/armstats"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// Quantiles of latency that reports give.
const (
	medianQuantile = 0.50
	tailQuantile   = 0.99
)

// getExperiment gives the figures of this node, or of all nodes added up.
func (s *Server) getExperiment(c echo.Context) error {
	key := keyOf(c)
	scope, err := readScope(c, operator.ScopeNode)
	if err != nil {
		return err
	}
	document := s.Templates.Get(key)
	if document == nil || document.Deleted {
		return notFound("name", "template "+key.String()+" is not in force at this node")
	}
	report := operator.ExperimentReport{
		Tenant:        key.Tenant,
		Name:          key.Name,
		Experiment:    document.Experiment,
		Asked:         1,
		Answered:      1,
		Unanswered:    []operator.UnansweredNode{},
		OtherRevision: []operator.RevisionAtNode{},
	}
	if scope == operator.ScopeNode {
		return s.answerOwnFigures(c, report)
	}
	return s.answerAllFigures(c, report)
}

// answerOwnFigures gives the figures of this node with their histograms, for a
// peer that adds them up.
func (s *Server) answerOwnFigures(c echo.Context, report operator.ExperimentReport) error {
	own := s.Experiments.Snapshot(keyOf(c))
	fillFigures(&report, own)
	for index := range own.Arms {
		encoded, err := own.Arms[index].EncodeLatency()
		if err != nil {
			return err
		}
		report.Arms[index].LatencyHistogram = encoded
	}
	report.ServedBy = s.Node
	return c.JSON(http.StatusOK, report)
}

// answerAllFigures adds the figures of every known node.
func (s *Server) answerAllFigures(c echo.Context, report operator.ExperimentReport) error {
	key := keyOf(c)
	peers := askPeers(c.Request().Context(), s, func(ctx context.Context, address string) (*nodeFigures, error) {
		return s.askFigures(ctx, address, key)
	})
	all := append([]nodeFigures{{node: s.Node, snapshot: s.Experiments.Snapshot(key)}}, peers.given...)
	snapshots := make([]armstats.Snapshot, 0, len(all))
	for _, one := range all {
		snapshots = append(snapshots, one.snapshot)
	}
	merged := armstats.Merge(snapshots...)
	fillFigures(&report, merged)
	for _, one := range all {
		if revision := one.snapshot.Revision; revision != 0 && revision != merged.Revision {
			report.OtherRevision = append(report.OtherRevision, operator.RevisionAtNode{Node: one.node, Revision: revision})
		}
	}
	report.ServedBy = s.Node
	report.Asked += peers.asked
	report.Answered += len(peers.given)
	report.Unanswered = peers.unanswered
	return c.JSON(http.StatusOK, report)
}

// fillFigures puts a snapshot into a report.
func fillFigures(report *operator.ExperimentReport, snapshot armstats.Snapshot) {
	report.Revision = snapshot.Revision
	report.Arms = make([]operator.ArmFigures, 0, len(snapshot.Arms))
	for index := range snapshot.Arms {
		report.Arms = append(report.Arms, armMessage(&snapshot.Arms[index]))
	}
}

// armMessage turns figures into a message, without the histogram.
func armMessage(figures *armstats.Figures) operator.ArmFigures {
	message := operator.ArmFigures{
		Arm:                figures.Arm,
		Requests:           figures.Requests(),
		Answered:           figures.Answered,
		Refused:            figures.Refused,
		Failed:             figures.Failed,
		P50MS:              milliseconds(figures.Quantile(medianQuantile)),
		P99MS:              milliseconds(figures.Quantile(tailQuantile)),
		CoverageMean:       figures.CoverageMean(),
		PrimarySubRequests: figures.Primary,
		ExtraSubRequests:   figures.Extra,
		ExtraLoadRatio:     figures.ExtraLoadRatio(),
	}
	if figures.Answered > 0 {
		message.CoverageMinimum = figures.CoverageMinimum
	}
	return message
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

// askFigures asks one node for its own figures.
func (s *Server) askFigures(ctx context.Context, address string, key template.Key) (*nodeFigures, error) {
	report, err := s.Peers.Experiment(ctx, address, key)
	if err != nil {
		return nil, err
	}
	answer := &nodeFigures{node: report.ServedBy, snapshot: armstats.Snapshot{Revision: report.Revision}}
	for _, message := range report.Arms {
		figures, err := armFigures(message)
		if err != nil {
			return nil, err
		}
		answer.snapshot.Arms = append(answer.snapshot.Arms, figures)
	}
	return answer, nil
}

// nodeFigures are the figures of one node.
type nodeFigures struct {
	node     target.NodeID
	snapshot armstats.Snapshot
}

// armFigures turns a peer's message back into figures.
func armFigures(message operator.ArmFigures) (armstats.Figures, error) {
	figures := armstats.Figures{
		Arm:             message.Arm,
		Answered:        message.Answered,
		Refused:         message.Refused,
		Failed:          message.Failed,
		CoverageSum:     message.CoverageMean * float64(message.Answered),
		CoverageMinimum: message.CoverageMinimum,
		Primary:         message.PrimarySubRequests,
		Extra:           message.ExtraSubRequests,
	}
	if message.Answered == 0 {
		figures.CoverageMinimum = 1
	}
	return figures, figures.DecodeLatency(message.LatencyHistogram)
}
