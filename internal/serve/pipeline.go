package serve

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/armstats"
	"github.com/bramblemast/bramblemast/pkg/admission"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/query"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// retryStarting is when callers should retry at a node that is starting:
// fetching the templates takes about this long unless the store is slow.
const retryStarting = time.Second

// Templates gives the template in force at this node.
type Templates interface {
	// Ready reports whether the node holds what its peers or the store hold. An
	// answer before that could come from a revision that was replaced.
	Ready() bool
	Get(key template.Key) (*template.Compiled, bool)
}

// Gates gives the admission gate of a service.
type Gates interface {
	For(service target.Service) *admission.Gate
}

// Executor runs one admitted request.
type Executor interface {
	Execute(ctx context.Context, request *query.Request, partial query.PartialFunc) (*query.Answer, error)
}

// Options are the parts that a Pipeline is made of. All are required.
type Options struct {
	Templates Templates
	Gates     Gates
	Executor  Executor
	Once      *Once
	Arms      *armstats.Recorder
	Observer  Observer
}

// Pipeline takes requests from the callers' interface to their answers.
type Pipeline struct {
	options Options
}

// New returns a pipeline of the given parts.
func New(options Options) *Pipeline { return &Pipeline{options: options} }

// Serve runs one request to its answer. The error is a *FieldError for a
// request that is wrong in itself, and otherwise carries an *outcome.Error.
// partial may be nil; it is never called for a not-repeatable request.
func (p *Pipeline) Serve(ctx context.Context, request *Request, partial query.PartialFunc) (*Result, error) {
	if !p.options.Templates.Ready() {
		return nil, refused("find template", outcome.ReasonStarting, retryStarting, errors.New("the node is starting"))
	}
	compiled, found := p.options.Templates.Get(request.Template)
	if !found {
		return nil, &FieldError{Field: "template", Message: "no template " + request.Template.String(), Missing: true}
	}
	plan, err := p.plan(request, compiled)
	if err != nil {
		return nil, err
	}
	result, err := p.admitAndRun(ctx, plan, partial)
	elapsed := time.Since(request.Arrived)
	p.options.Arms.Record(request.Template, plan.template.Revision, plan.arm, sampleOf(result, err, elapsed))
	p.options.Observer.Finished(plan.template.Service, plan.class, elapsed, err)
	return result, err
}

// plannedRequest is a request that was checked against its template.
type plannedRequest struct {
	request  *Request
	template *template.Template
	arm      string
	policies policy.Set
	class    policy.Class
	deadline time.Time
	limit    int
}

func (p *Pipeline) plan(request *Request, compiled *template.Compiled) (*plannedRequest, error) {
	document := compiled.Template
	if err := check(request, document); err != nil {
		return nil, err
	}
	arm, policies := compiled.PoliciesFor(request.ID)
	plan := &plannedRequest{
		request:  request,
		template: document,
		arm:      arm.Name,
		policies: policies,
		class:    document.Class,
		limit:    document.Limit,
	}
	if request.Class != "" {
		plan.class = request.Class
	}
	if request.Limit > 0 && (plan.limit == 0 || request.Limit < plan.limit) {
		plan.limit = request.Limit
	}
	allowed := document.Deadline.Std()
	if request.Deadline > 0 {
		allowed = request.Deadline
	}
	plan.deadline = request.Arrived.Add(allowed)
	return plan, nil
}

// admitAndRun holds an admission ticket for as long as the request runs.
func (p *Pipeline) admitAndRun(ctx context.Context, plan *plannedRequest, partial query.PartialFunc) (*Result, error) {
	bounded, cancel := context.WithDeadline(ctx, plan.deadline)
	defer cancel()
	gate := p.options.Gates.For(plan.template.Service)
	ticket, err := gate.Acquire(bounded, admission.Request{
		Tenant:   plan.template.Tenant,
		Class:    plan.class,
		Policy:   plan.policies.Admission,
		Deadline: plan.deadline,
	})
	if err != nil {
		return nil, err
	}
	started := time.Now()
	result, err := p.run(ctx, plan, partial)
	ticket.Release(admission.Result{
		Latency:    time.Since(started),
		Overloaded: overloaded(result, err),
		Cancelled:  errors.Is(ctx.Err(), context.Canceled),
	})
	return result, err
}

func (p *Pipeline) run(ctx context.Context, plan *plannedRequest, partial query.PartialFunc) (*Result, error) {
	execute := func(ctx context.Context) (*query.Answer, error) {
		return p.options.Executor.Execute(ctx, plan.executorRequest(), partial)
	}
	if plan.template.NotRepeatable {
		partial = nil
		return p.options.Once.run(ctx, plan, execute)
	}
	answer, err := execute(ctx)
	if err != nil {
		return nil, err
	}
	return plan.result(answer), nil
}

func (plan *plannedRequest) result(answer *query.Answer) *Result {
	return &Result{Answer: answer, Template: plan.template, Arm: plan.arm}
}

func (plan *plannedRequest) executorRequest() *query.Request {
	return &query.Request{
		ID:             plan.request.ID,
		Template:       plan.template,
		Arm:            plan.arm,
		Policies:       plan.policies,
		Query:          plan.request.Query,
		Key:            plan.request.Key,
		Limit:          plan.limit,
		Deadline:       plan.deadline,
		Payload:        plan.request.Payload,
		IdempotencyKey: plan.request.IdempotencyKey,
	}
}

// overloaded reports whether back ends refused work for load, or this node had
// no room for it, so much that the request counts against the gate's limit. A
// part that is missing for another reason, such as a lost group, does not.
func overloaded(result *Result, err error) bool {
	if err == nil {
		extra := result.Answer.ExtraLoad
		return admission.Overloaded(sentOf(extra), extra.Refused, !result.Answer.Coverage.Complete())
	}
	var short *query.CoverageError
	if errors.As(err, &short) {
		return admission.Overloaded(sentOf(short.ExtraLoad), short.ExtraLoad.Refused, true)
	}
	reason := outcome.ReasonOf(err)
	return reason == outcome.ReasonShed || reason == outcome.ReasonOverloaded
}

// sentOf counts the sub-requests that were sent.
func sentOf(extra query.ExtraLoad) int { return extra.Primary + extra.Hedges + extra.Retries }
