package owner

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/gather"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/owner/ownerpb"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/route"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// ServerOptions configures a Server.
type ServerOptions struct {
	Transport peer.Streamer
	// Runner sends the requests to the servers.
	Runner  *fanout.Runner
	Servers Servers
	// Draining reports whether this node is shutting down.
	Draining func() bool
	// Policies returns the hedge policy for a kind of request, and the share of the extra load that
	// it may use.
	Policies func(kind, requestID string) (policy.HedgePolicy, float64)
	// Regions returns the regions in which a request may be served now, by the newer one of this
	// node's configuration and the asking node's.
	Regions func(scope RequestScope) route.Regions
	// Announcer adds the admission shares that this node measures to reports; nil to add none.
	Announcer *Announcer
	// Recorder receives a record of each question; it must not block.
	Recorder func(Record)
}

// Record describes how one question was answered, for logs.
type Record struct {
	RequestID string
	Kind      string
	AskedBy   string
	Services  []string
	Took      time.Duration
	Result    fanout.Result
}

// RequestScope is what decides in which regions a request may be served, as sent by the asking node.
type RequestScope struct {
	Host, Target string
	// Version is that of the asking node's configuration.
	Version uint64
	// Tenant is the name of the caller; empty where callers have no keys.
	Tenant  string
	Regions route.Regions
}

// Server answers other nodes' questions. It is safe for concurrent use.
type Server struct{ options ServerOptions }

// NewServer returns a Server and registers its handlers for other nodes' questions.
func NewServer(options ServerOptions) *Server {
	created := &Server{options: options}
	options.Transport.HandleStream(kindQuestion, created.answer)
	options.Transport.Handle(kindPing, created.ping)
	return created
}

// ping succeeds if questions would be answered, and fails while this node is shutting down.
func (s *Server) ping(context.Context, target.NodeID, []byte) (proto.Message, error) {
	if s.options.Draining() {
		return nil, refusal(outcome.ReasonDraining)
	}
	return &ownerpb.Ping{}, nil
}

// answer sends the request of a question to the servers and reports their answers.
func (s *Server) answer(ctx context.Context, from target.NodeID, body []byte, open peer.Exchange) error {
	question := &ownerpb.Question{}
	if err := question.UnmarshalVT(body); err != nil {
		return errors.Wrap(err, "decode question")
	}
	if s.options.Draining() {
		return refusal(outcome.ReasonDraining)
	}
	if len(question.Services) == 0 || !s.options.Servers.HasServersFor(question.Services) {
		return refusal(outcome.ReasonNoReplica)
	}
	start := time.Now()
	plan := s.plan(question, start)
	reported := make(map[int]bool, len(question.Services))
	plan.Collect.Report = func(answers map[int]*exchange.Response, wanted []int) error {
		for index := range answers {
			reported[index] = true
		}
		report := buildReport(answers, int(question.TopRecords))
		for _, index := range wanted {
			report.Wanted = append(report.Wanted, uint32(index))
		}
		report.Room = s.options.Announcer.measurementsFor(question, plan.Regions().Key(), time.Now())
		return open.Send(report)
	}
	plan.Collect.Granted = listenForGrants(open, len(question.Services))
	runContext, release := untilCancelled(ctx)
	defer release()
	result := s.options.Runner.Run(runContext, plan, decodeRequest(question))
	defer result.Release()
	s.options.Recorder(Record{
		RequestID: question.RequestId, Kind: question.Kind, AskedBy: string(from), Services: question.Services,
		Took: time.Since(start), Result: result,
	})
	if result.Reason == fanout.StopCancelled {
		return context.Canceled
	}
	report := finalReport(result, reported, int(question.TopRecords))
	report.Room = s.options.Announcer.measurementsFor(question, plan.Regions().Key(), time.Now())
	return open.Send(report)
}

// untilCancelled returns a context that ends when the asking node cancels its question or its
// connection ends, but not at the deadline of ctx. That deadline is in whole milliseconds and so
// passes slightly before the question's own, at which the run ends by itself.
func untilCancelled(ctx context.Context) (context.Context, func()) {
	runContext, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			cancel()
		}
	})
	return runContext, func() {
		stop()
		cancel()
	}
}

// listenForGrants returns a channel of the grants that the asking node sends. It grants each
// service of the question once for each further server that is wanted, so the number of messages is
// bounded. Messages beyond the capacity of the channel are dropped.
func listenForGrants(open peer.Exchange, services int) <-chan []int {
	grants := make(chan []int, services)
	open.Listen(func(body []byte) {
		grant := &ownerpb.Grant{}
		if err := grant.UnmarshalVT(body); err != nil {
			// Not logged: an unreadable message grants nothing, and the asking node, which logs a
			// silent owner itself, turns to the servers.
			return
		}
		indexes := make([]int, len(grant.Indexes))
		for position, index := range grant.Indexes {
			indexes[position] = int(index)
		}
		select {
		case grants <- indexes:
		default:
			// More grants than servers were wanted; a correct node does not send these.
		}
	})
	return grants
}

// refusal returns the error for a question that was refused before any of it was run.
func refusal(reason outcome.Reason) error {
	return &outcome.Error{Step: "take question", Outcome: outcome.NotRun, Reason: reason}
}

// plan returns the fan-out plan for a question that arrived at start.
func (s *Server) plan(question *ownerpb.Question, start time.Time) fanout.Plan {
	hedge, share := s.options.Policies(question.Kind, question.RequestId)
	remaining := fromMicroseconds(question.DeadlineUs)
	plan := fanout.Plan{
		Kind: question.Kind, Tenant: question.Tenant, Priority: int(question.Priority),
		Services: question.Services, Required: int(question.Required), Repeatable: true,
		MaxAttempts: int(question.MaxAttempts), Deadline: start.Add(remaining), Assumed: fromMicroseconds(question.AssumedUs),
		MaxServerWait: remaining, Hedge: hedge, ExtraShare: share,
		Collect: &fanout.Collect{ReportInterval: fromMicroseconds(question.ReportUs), SamplingValue: question.Lot},
	}
	scope := RequestScope{
		Host: question.Host, Target: question.Target, Version: question.Version, Tenant: question.Tenant,
		Regions: route.OnlyRegions(question.Regions),
	}
	plan.Regions = func() route.Regions { return s.options.Regions(scope) }
	for _, position := range question.Spared {
		plan.Collect.Skipped = append(plan.Collect.Skipped, int(position))
	}
	if len(question.AdmittedShares) == len(question.Services) {
		plan.Collect.AdmittedShares = question.AdmittedShares
	}
	if question.TargetUs > 0 {
		plan.Target = start.Add(fromMicroseconds(question.TargetUs))
	}
	return plan
}

// fromMicroseconds returns a duration from the form in which messages carry it.
func fromMicroseconds(microseconds uint64) time.Duration {
	return time.Duration(microseconds) * time.Microsecond
}

// decodeRequest returns the client's request that a question carries.
func decodeRequest(question *ownerpb.Question) *exchange.Request {
	request := &exchange.Request{
		Method: question.Method, Target: question.Target, Host: question.Host, ID: question.RequestId,
		Header: make(http.Header, len(question.Headers)), HasBody: question.HasBody, Body: question.Body,
	}
	for _, each := range question.Headers {
		request.Header.Add(each.Name, each.Value)
	}
	return request
}

// buildReport merges answers into one report with at most topRecords records.
func buildReport(answers map[int]*exchange.Response, topRecords int) *ownerpb.Report {
	report := &ownerpb.Report{}
	bodies := make([][]byte, 0, len(answers))
	for index, answer := range answers {
		report.Parts = append(report.Parts, &ownerpb.Part{Index: uint32(index), Evidence: answer.Evidence})
		bodies = append(bodies, answer.Body)
	}
	if len(bodies) > 0 {
		report.Records = gather.Greatest(bodies, topRecords)
	}
	return report
}

// finalReport returns the last report of a question: the answers that were not reported yet, and
// the failures of the other services.
func finalReport(result fanout.Result, reported map[int]bool, topRecords int) *ownerpb.Report {
	rest := make(map[int]*exchange.Response)
	for index, answer := range result.Parts {
		if answer != nil && !reported[index] {
			rest[index] = answer
		}
	}
	report := buildReport(rest, topRecords)
	report.Ended = true
	report.Sent, report.Hedges = uint32(result.Sent), uint32(result.Hedges)
	report.Retries, report.Denied = uint32(result.Retries), uint32(result.Denied)
	for _, each := range result.CrashedServers {
		crashed := &ownerpb.Incarnation{Id: each.ID, Start: int64(each.Start)}
		report.EndedIncarnations = append(report.EndedIncarnations, crashed)
	}
	for index, answer := range result.Parts {
		if answer != nil {
			continue
		}
		failure := &ownerpb.Failure{
			Index: uint32(index), Cause: "no answer", Shed: result.ShedParts[index], NotRun: !result.MayRun[index],
		}
		if err := result.Failures[index]; err != nil {
			failure.Cause = err.Error()
		}
		report.Failures = append(report.Failures, failure)
	}
	return report
}
