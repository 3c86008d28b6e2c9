package serve

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/claim"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/query"
)

// finishTimeout bounds the recording of how a not-repeatable request ended,
// for which its caller waits. The claimer goes on with it after that.
const finishTimeout = time.Second

// Claimer gives the right to run a not-repeatable request; see claim.Claimer.
type Claimer interface {
	Acquire(ctx context.Context, request claim.Request) (*claim.Claim, error)
}

// Once runs not-repeatable requests at most once for each idempotency key. It
// is safe for concurrent use.
type Once struct {
	claimer Claimer
}

// NewOnce returns a Once whose claims come from claimer.
func NewOnce(claimer Claimer) *Once { return &Once{claimer: claimer} }

// claimContent is what a repeat with the same idempotency key must have in
// common with the first request.
type claimContent struct {
	Template string          `json:"template"`
	Key      string          `json:"key"`
	Query    string          `json:"query"`
	Payload  json.RawMessage `json:"payload"`
}

// run claims the request, executes it, and records how it ended. The claim is
// given back only on evidence that the request did not run.
func (o *Once) run(ctx context.Context, plan *plannedRequest, execute func(context.Context) (*query.Answer, error)) (*Result, error) {
	held, err := o.acquire(ctx, plan)
	var done *claim.Done
	if errors.As(err, &done) {
		return plan.replay(done)
	}
	if err != nil {
		return nil, err
	}
	if err := held.MaySend(); err != nil {
		finish(ctx, held.Release)
		return nil, err
	}
	answer, err := execute(ctx)
	switch outcome.Of(err) {
	case outcome.Completed:
		finish(ctx, func(ctx context.Context) error { return held.Complete(ctx, encodeAnswer(answer)) })
		return plan.result(answer), nil
	case outcome.NotRun:
		finish(ctx, held.Release)
	default:
		finish(ctx, held.Abandon)
	}
	return nil, err
}

func (o *Once) acquire(ctx context.Context, plan *plannedRequest) (*claim.Claim, error) {
	ctx, cancel := context.WithDeadline(ctx, plan.deadline)
	defer cancel()
	request := plan.request
	content, err := json.Marshal(claimContent{
		Template: plan.template.Name,
		Key:      request.Key,
		Query:    request.Query,
		Payload:  request.Payload,
	})
	if err != nil {
		return nil, refused("claim request", outcome.ReasonInvalid, 0, err)
	}
	return o.claimer.Acquire(ctx, claim.Request{
		Tenant:  plan.template.Tenant,
		Key:     request.IdempotencyKey,
		Content: content,
	})
}

// finish runs the last step of a claim, whether or not the caller still waits.
// Its error needs no answer: the claimer repeats the step by itself.
func finish(ctx context.Context, step func(context.Context) error) {
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	_ = step(bounded)
}

// encodeAnswer returns the form in which an answer is recorded; nil if it has
// none.
func encodeAnswer(answer *query.Answer) []byte {
	encoded, err := json.Marshal(answer)
	if err != nil {
		return nil
	}
	return encoded
}

// replay returns the recorded result of an earlier run.
func (plan *plannedRequest) replay(done *claim.Done) (*Result, error) {
	answer := &query.Answer{}
	if done.Dropped || json.Unmarshal(done.Result, answer) != nil {
		return nil, &outcome.Error{
			Step:    "read recorded result",
			Peer:    string(done.Node),
			Outcome: outcome.Unknown,
			Reason:  outcome.ReasonDuplicate,
			Cause:   errors.New("the request ran before under this idempotency key, and its result was too large to record"),
		}
	}
	answer.ExtraLoad = query.ExtraLoad{} // this repeat caused none
	result := plan.result(answer)
	result.Replayed = true
	return result, nil
}
