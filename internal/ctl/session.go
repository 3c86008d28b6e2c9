package ctl

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/internal/pause"
	"github.com/bramblemast/bramblemast/pkg/configstore"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// How often a change with a lost reply is settled, and the pause between.
const (
	settleRounds = 3
	settlePause  = 300 * time.Millisecond
)

// session sends commands to the nodes at the given addresses. Each attempt is
// bounded by timeout.
type session struct {
	clients []*operator.Client
	timeout time.Duration
	pause   time.Duration
}

// newTransport returns a transport that connects to nodes directly, whatever proxy the environment
// names for other traffic.
func newTransport() *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	return transport
}

// newSession returns a session whose clients share one transport.
func newSession(addresses []string, timeout time.Duration) *session {
	transport := newTransport()
	opened := &session{timeout: timeout, pause: settlePause}
	for _, address := range addresses {
		opened.clients = append(opened.clients, operator.NewClient(address, &http.Client{Transport: transport}))
	}
	return opened
}

// newStoreSession returns a session with a gateway to the store.
func newStoreSession(store configstore.Store, timeout time.Duration) *session {
	client := operator.NewClient(gatewayNode, &http.Client{Transport: newGateway(store, timeout)})
	return &session{clients: []*operator.Client{client}, timeout: timeout, pause: settlePause}
}

// read asks one node after the other until one answers; ask must be idempotent.
// A node that answers with a refusal has the last word.
func read[Message any](ctx context.Context, s *session, ask func(context.Context, *operator.Client) (*Message, error)) (*Message, error) {
	var last error
	for _, client := range s.clients {
		message, err := attempt(ctx, s, client, ask)
		if err == nil || !elsewhere(err) {
			return message, err
		}
		last = withoutEffect(err)
	}
	return nil, last
}

// attempt asks one node, within the time for one attempt.
func attempt[Message any](ctx context.Context, s *session, client *operator.Client, ask func(context.Context, *operator.Client) (*Message, error)) (*Message, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	return ask(ctx, client)
}

// plannedChange is one change with the id that the client chose for it.
type plannedChange struct {
	key  template.Key
	id   string
	send func(ctx context.Context, client *operator.Client, changeID string) (*operator.Change, error)
}

// unknownChangeError means that a change may or may not have been accepted.
type unknownChangeError struct {
	change plannedChange
	cause  error
}

// Error implements error.
func (e *unknownChangeError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *unknownChangeError) Unwrap() error { return e.cause }

// change sends a change to one node after the other. It goes on to the next
// node only if the attempt before certainly did not take effect: on its own
// evidence, or because the change id was settled so. No node gets it twice.
func (s *session) change(ctx context.Context, planned plannedChange) (*operator.Change, error) {
	var last error
	for _, client := range s.clients {
		accepted, err := attempt(ctx, s, client, func(ctx context.Context, client *operator.Client) (*operator.Change, error) {
			return planned.send(ctx, client, planned.id)
		})
		if err == nil {
			return accepted, nil
		}
		if outcome.Of(err) == outcome.Unknown {
			settled := s.settle(ctx, planned)
			if settled == nil {
				return nil, &unknownChangeError{change: planned, cause: err}
			}
			if settled.Outcome == outcome.Completed {
				return settled, nil
			}
			last = withoutEffect(err)
			// An id that was settled as rejected can't be used again.
			planned.id = operator.NewChangeID()
			continue
		}
		if !elsewhere(err) {
			return nil, err
		}
		last = err
	}
	return nil, last
}

// settle asks every node what became of a change until one knows; nil if none
// does.
func (s *session) settle(ctx context.Context, planned plannedChange) *operator.Change {
	for round := range settleRounds {
		if round > 0 && !pause.For(ctx, s.pause) {
			return nil
		}
		for _, client := range s.clients {
			settled, err := attempt(ctx, s, client, func(ctx context.Context, client *operator.Client) (*operator.Change, error) {
				return client.SettleChange(ctx, planned.key, planned.id)
			})
			if err == nil && settled.Outcome != outcome.Unknown {
				return settled
			}
		}
	}
	return nil
}

// elsewhere reports whether another node may succeed where this one failed:
// it, or the store behind it, was not reached.
func elsewhere(err error) bool {
	var refused *operator.ProblemError
	if errors.As(err, &refused) {
		return refused.Problem.Status >= http.StatusInternalServerError
	}
	return true
}

// withoutEffect marks a failure that certainly had no effect: of a command that
// changes nothing, or of a change whose id was settled so.
func withoutEffect(err error) error {
	var typed *outcome.Error
	if !errors.As(err, &typed) {
		return err
	}
	settled := *typed
	settled.Outcome = outcome.NotRun
	return &settled
}
