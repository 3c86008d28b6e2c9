package owner

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/directory"
	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/loadshed"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/owner/ownerpb"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// Kinds of messages.
const (
	kindQuestion peer.Kind = "owner.question"
	kindPing     peer.Kind = "owner.ping"
)

// probeTimeout bounds a probe: an owner that takes longer is of no use to any request.
const probeTimeout = 500 * time.Millisecond

// Client asks owners. It implements fanout.Owners and is safe for concurrent use.
type Client struct {
	roster    *Roster
	transport peer.Streamer
	events    Events
	// admitter receives the admission shares that owners measure at their services.
	admitter *loadshed.Admitter
	// wake makes Run look for due probes again.
	wake chan struct{}
}

// Events receives what a Client finds out about other nodes. Its methods must not block.
type Events interface {
	// OwnerLost is called when a node is excluded from the owners; cause is the reason.
	OwnerLost(name string, cause error)
	// OwnerRegained is called when a node is readmitted; excludedFor is how long it was excluded.
	OwnerRegained(name string, excludedFor time.Duration)
}

var _ fanout.Owners = (*Client)(nil)

// NewClient returns a client that asks the nodes of a roster. The admitter receives the admission
// shares that they measure.
func NewClient(roster *Roster, transport peer.Streamer, admitter *loadshed.Admitter, events Events) *Client {
	return &Client{roster: roster, transport: transport, events: events, admitter: admitter, wake: make(chan struct{}, 1)}
}

// Divide implements fanout.Owners.
func (c *Client) Divide(services []string, regions route.Regions) []fanout.Group {
	return c.roster.Divide(services, regions)
}

// pending implements fanout.Pending.
type pending struct {
	peer.Stream
	client *Client
	node   directory.Node
	// sentAt is when the question was sent.
	sentAt time.Time
	// leeway is the time allowed for the round trip and the delays of both processes.
	leeway time.Duration
	// isSilent is set once the owner has not reported for too long.
	isSilent atomic.Bool
}

// Grant implements fanout.Pending.
func (p *pending) Grant(indexes []int) {
	grant := &ownerpb.Grant{}
	for _, index := range indexes {
		grant.Indexes = append(grant.Indexes, uint32(index))
	}
	p.Send(grant)
}

// errSilent is the cause given when an owner is excluded because it sent no report.
var errSilent = errors.New("no report came in time")

// MarkSilent implements fanout.Pending.
func (p *pending) MarkSilent() {
	p.isSilent.Store(true)
	p.NoteSilence()
	p.markLost(p.leeway, errSilent)
}

// unsentQuestion is a question whose owner is no longer known.
type unsentQuestion struct{}

func (unsentQuestion) Cancel()     {}
func (unsentQuestion) MarkSilent() {}
func (unsentQuestion) Grant([]int) {}

// Ask implements fanout.Owners.
func (c *Client) Ask(question fanout.Question, report func(fanout.Report)) fanout.Pending {
	node, ok := c.roster.find(question.Owner)
	if !ok {
		report(fanout.Report{Err: &outcome.Error{
			Step: "ask owner", Peer: question.Owner, Outcome: outcome.NotRun, Reason: outcome.ReasonUnreachable,
		}})
		return unsentQuestion{}
	}
	now := time.Now()
	sent := &pending{client: c, node: node, sentAt: now, leeway: question.Leeway()}
	receive := func(body []byte, err error) { sent.receive(body, err, report) }
	sent.Stream = c.transport.Open(
		peer.Address(node.PeerAddress), kindQuestion, encodeQuestion(question, now), question.Plan.Deadline.Sub(now), receive)
	return sent
}

// receive handles one message of the owner, or the end of its answer.
func (p *pending) receive(body []byte, err error, report func(fanout.Report)) {
	switch {
	case errors.Is(err, io.EOF):
		return
	case err != nil:
		// A question that ran into its deadline says nothing about its owner.
		if outcome.ReasonOf(err) != outcome.ReasonDeadline {
			p.markLost(0, err)
		}
		report(fanout.Report{Err: err})
		return
	}
	decoded, measurements, err := decodeReport(body)
	if err != nil {
		err = &outcome.Error{Step: "decode report", Peer: p.node.Name, Reason: outcome.ReasonCorruptResponse, Cause: err}
		p.markLost(0, err)
		decoded = fanout.Report{Err: err}
	}
	if decoded.Err == nil {
		p.client.handleReport(p.node.Name, p.isSilent.Load())
		applyMeasurements(p.client.admitter, measurements, time.Now())
	}
	report(decoded)
}

// handleReport records that a node has sent a report, late or not.
func (c *Client) handleReport(name string, isLate bool) {
	if excludedFor, isReadmitted := c.roster.recordReport(name, isLate, time.Now()); isReadmitted {
		c.events.OwnerRegained(name, excludedFor)
	}
}

// markLost excludes the owner until it returns. leeway is the time within which a probe must be
// answered; zero if the owner was not late.
func (p *pending) markLost(leeway time.Duration, cause error) {
	if p.client.roster.exclude(p.node, leeway, p.sentAt, time.Now()) {
		p.client.events.OwnerLost(p.node.Name, cause)
		p.client.wakeUp()
	}
}

// wakeUp makes Run look for due probes at once. It does not block.
func (c *Client) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run probes the excluded owners until ctx ends. It always returns nil.
func (c *Client) Run(ctx context.Context) error {
	timer := time.AfterFunc(maxProbeDelay, c.wakeUp)
	defer timer.Stop()
	for {
		now := time.Now()
		probes, next := c.roster.dueProbes(now)
		for _, each := range probes {
			go c.probeNode(ctx, each)
		}
		if !next.IsZero() {
			timer.Reset(next.Sub(now))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-c.wake:
		}
	}
}

// probeNode asks a node whether it would answer questions, and measures how long that takes. The
// first ping may have to wait for a connection: if its answer is late, a second one counts.
func (c *Client) probeNode(ctx context.Context, target probe) {
	isAnswered, took := c.ping(ctx, target.node)
	if isAnswered && target.leeway > 0 && took > target.leeway {
		isAnswered, took = c.ping(ctx, target.node)
	}
	excludedFor, isReadmitted := c.roster.recordProbe(target.node, isAnswered, took, time.Now())
	if isReadmitted {
		c.events.OwnerRegained(target.node.Name, excludedFor)
	}
	c.wakeUp()
}

// ping reports whether a node answers, and how long that took. An error is not logged: the node
// stays excluded, which was logged when it was lost.
func (c *Client) ping(ctx context.Context, node directory.Node) (bool, time.Duration) {
	limited, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	start := time.Now()
	err := c.transport.Call(limited, peer.Address(node.PeerAddress), kindPing, &ownerpb.Ping{}, &ownerpb.Ping{})
	return err == nil, time.Since(start)
}

// encodeQuestion returns the message for a question. Times are sent as durations from now, since
// the clocks of nodes differ.
func encodeQuestion(question fanout.Question, now time.Time) *ownerpb.Question {
	plan, request := question.Plan, question.Request
	encoded := &ownerpb.Question{
		RequestId: request.ID, Method: request.Method, Target: request.Target, Host: request.Host, Body: request.Body,
		HasBody: request.HasBody, Kind: plan.Kind, Services: question.Services, Required: uint32(question.Required),
		MaxAttempts: uint32(plan.MaxAttempts), TopRecords: uint32(plan.TopRecords),
		DeadlineUs: toMicroseconds(plan.Deadline.Sub(now)), AssumedUs: toMicroseconds(plan.Assumed),
		ReportUs: toMicroseconds(question.ReportInterval), Version: plan.Version,
		Tenant: plan.Tenant, Priority: int32(plan.Priority), Lot: question.SamplingValue, AdmittedShares: question.AdmittedShares,
	}
	for _, position := range question.Skipped {
		encoded.Spared = append(encoded.Spared, uint32(position))
	}
	if plan.Regions != nil {
		encoded.Regions = plan.Regions().Names()
	}
	if !plan.Target.IsZero() {
		encoded.TargetUs = toMicroseconds(plan.Target.Sub(now))
	}
	for name, values := range request.Header {
		for _, value := range values {
			encoded.Headers = append(encoded.Headers, &ownerpb.Header{Name: name, Value: value})
		}
	}
	return encoded
}

// toMicroseconds returns a duration as messages carry it; zero for a negative one.
func toMicroseconds(duration time.Duration) uint64 { return uint64(max(0, duration.Microseconds())) }

// decodeReport decodes a report and the measurements that go with it. The records of its parts are
// merged, so the answer of one part holds all of them and the other answers have no body.
func decodeReport(body []byte) (fanout.Report, []*ownerpb.Room, error) {
	encoded := &ownerpb.Report{}
	if err := encoded.UnmarshalVT(body); err != nil {
		return fanout.Report{}, nil, err
	}
	report := fanout.Report{
		Answers: make(map[int]*exchange.Response, len(encoded.Parts)), Ended: encoded.Ended,
		Sent: int(encoded.Sent), Hedges: int(encoded.Hedges), Retries: int(encoded.Retries), Denied: int(encoded.Denied),
	}
	for _, each := range encoded.EndedIncarnations {
		report.CrashedServers = append(report.CrashedServers, fleet.Incarnation{ID: each.Id, Start: fleet.Start(each.Start)})
	}
	for _, index := range encoded.Wanted {
		report.Wanted = append(report.Wanted, int(index))
	}
	records := encoded.Records
	for _, part := range encoded.Parts {
		report.Answers[int(part.Index)] = &exchange.Response{Status: http.StatusOK, Evidence: part.Evidence, Body: records}
		records = nil
	}
	if len(encoded.Failures) > 0 {
		report.Failures = make(map[int]fanout.OwnerFailure, len(encoded.Failures))
	}
	for _, failure := range encoded.Failures {
		report.Failures[int(failure.Index)] = fanout.OwnerFailure{
			Cause: errors.New(failure.Cause), Shed: failure.Shed, NotRun: failure.NotRun,
		}
	}
	return report, encoded.Room, nil
}
