package owner

import (
	"context"
	"io"
	"net/http"
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

// The kinds of messages.
const (
	kindQuestion peer.Kind = "owner.question"
	kindPing     peer.Kind = "owner.ping"
)

// Times of the return of owners.
const (
	// pingInterval is how often an owner that did not answer is asked whether it
	// does: requests go to the next in rank meanwhile, so that nobody waits for it.
	pingInterval = time.Second
	pingTimeout  = 500 * time.Millisecond
)

// Client asks owners. It implements fanout.Owners.
type Client struct {
	roster    *Roster
	transport peer.Streamer
	events    Events
	// board takes what owners tell of the room at their services.
	board *loadshed.Board
}

// Events takes what a Client finds out of other nodes. It does not block.
type Events interface {
	// OwnerLost tells that a node is not asked as an owner for now, and why.
	OwnerLost(name string, cause error)
	// OwnerRegained tells that it is asked again, and for how long it was not.
	OwnerRegained(name string, lost time.Duration)
}

var _ fanout.Owners = (*Client)(nil)

// NewClient returns a client that asks the nodes of a roster. The board takes what they tell
// of the room at services.
func NewClient(roster *Roster, transport peer.Streamer, board *loadshed.Board, events Events) *Client {
	return &Client{roster: roster, transport: transport, events: events, board: board}
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
}

// Grant implements fanout.Pending.
func (p *pending) Grant(indexes []int) {
	grant := &ownerpb.Grant{}
	for _, index := range indexes {
		grant.Indexes = append(grant.Indexes, uint32(index))
	}
	p.Send(grant)
}

// errSilent is why an owner that reports nothing is left out.
var errSilent = errors.New("no report came in time")

// Silent implements fanout.Pending.
func (p *pending) Silent() {
	p.NoteSilence()
	p.client.lose(p.node, errSilent)
}

// unsent is a question whose owner is not known any more.
type unsent struct{}

func (unsent) Cancel()     {}
func (unsent) Silent()     {}
func (unsent) Grant([]int) {}

// Ask implements fanout.Owners.
func (c *Client) Ask(question fanout.Question, report func(fanout.Report)) fanout.Pending {
	node, ok := c.roster.find(question.Owner)
	if !ok {
		report(fanout.Report{Err: &outcome.Error{
			Step: "ask owner", Peer: question.Owner, Outcome: outcome.NotRun, Reason: outcome.ReasonUnreachable,
		}})
		return unsent{}
	}
	now := time.Now()
	asked := loadOf(question)
	receive := func(body []byte, err error) { c.receive(node, asked, body, err, report) }
	stream := c.transport.Open(
		peer.Address(node.PeerAddress), kindQuestion, encodeQuestion(question, now), question.Plan.Deadline.Sub(now), receive)
	return &pending{Stream: stream, client: c, node: node}
}

// load is some services, and the key of the regions to which a request is bound.
type load struct {
	services []string
	regions  string
}

func loadOf(question fanout.Question) load {
	asked := load{services: question.Services}
	if question.Plan.Regions != nil {
		asked.regions = question.Plan.Regions().Key()
	}
	return asked
}

// receive hands on one message of an owner about a load, or the end of its answer.
func (c *Client) receive(node directory.Node, asked load, body []byte, err error, report func(fanout.Report)) {
	switch {
	case errors.Is(err, io.EOF):
		return
	case err != nil:
		// A question whose time was over tells nothing of its owner.
		if outcome.ReasonOf(err) != outcome.ReasonDeadline {
			c.lose(node, err)
		}
		report(fanout.Report{Err: err})
		return
	}
	decoded, room, err := decodeReport(body)
	if err != nil {
		err = &outcome.Error{Step: "decode report", Peer: node.Name, Reason: outcome.ReasonCorruptResponse, Cause: err}
		c.lose(node, err)
		decoded = fanout.Report{Err: err}
	}
	if decoded.Err == nil {
		c.regain(node)
		takeReportedRoom(c.board, asked.services, asked.regions, room, time.Now())
	}
	report(decoded)
}

// regain lets a node be an owner again that has shown that it answers.
func (c *Client) regain(node directory.Node) {
	if lost, ok := c.roster.restore(node.Name, time.Now()); ok {
		c.events.OwnerRegained(node.Name, lost)
	}
}

func (c *Client) lose(node directory.Node, cause error) {
	if c.roster.avoid(node, time.Now()) {
		c.events.OwnerLost(node.Name, cause)
	}
}

// Run asks the owners that are left out whether they answer again, until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, node := range c.roster.avoidedNodes() {
			go c.ping(ctx, node)
		}
	}
}

func (c *Client) ping(ctx context.Context, node directory.Node) {
	limited, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	err := c.transport.Call(limited, peer.Address(node.PeerAddress), kindPing, &ownerpb.Ping{}, &ownerpb.Ping{})
	if err != nil {
		// It stays left out, which was told when it was lost.
		return
	}
	c.regain(node)
}

func encodeQuestion(question fanout.Question, now time.Time) *ownerpb.Question {
	plan, request := question.Plan, question.Request
	encoded := &ownerpb.Question{
		RequestId: request.ID, Method: request.Method, Target: request.Target, Host: request.Host, Body: request.Body,
		HasBody: request.HasBody, Kind: plan.Kind, Services: question.Services, Required: uint32(question.Required),
		MaxAttempts: uint32(plan.MaxAttempts), TopRecords: uint32(plan.TopRecords),
		DeadlineUs: microseconds(plan.Deadline.Sub(now)), AssumedUs: microseconds(plan.Assumed),
		ReportUs: microseconds(question.ReportWithin), Version: plan.Version,
		Tenant: plan.Tenant, Priority: int32(plan.Priority), Lot: question.Lot, AdmittedShares: question.AdmittedShares,
	}
	for _, position := range question.Spared {
		encoded.Spared = append(encoded.Spared, uint32(position))
	}
	if plan.Regions != nil {
		encoded.Regions = plan.Regions().Names()
	}
	if !plan.Target.IsZero() {
		encoded.TargetUs = microseconds(plan.Target.Sub(now))
	}
	for name, values := range request.Header {
		for _, value := range values {
			encoded.Headers = append(encoded.Headers, &ownerpb.Header{Name: name, Value: value})
		}
	}
	return encoded
}

func microseconds(span time.Duration) uint64 { return uint64(max(0, span.Microseconds())) }

// decodeReport reads a report. The records of all its parts stand in the answer of
// one of them, since they are merged.
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
		report.EndedServers = append(report.EndedServers, fleet.Incarnation{ID: each.Id, Start: fleet.Start(each.Start)})
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
