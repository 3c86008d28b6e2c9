package ctl

import (
	"context"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// unknownRemovalError means that a claim may or may not have been removed.
type unknownRemovalError struct {
	request operator.ClaimRemovalRequest
	cause   error
}

// Error implements error.
func (e *unknownRemovalError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *unknownRemovalError) Unwrap() error { return e.cause }

// removeClaim asks one node after the other to remove a claim. A removal is
// idempotent, since it names the claim's id. If a reply is lost, the claim
// itself tells whether it is still there.
func (s *session) removeClaim(ctx context.Context, request operator.ClaimRemovalRequest) (*operator.ClaimRemoval, error) {
	var last, doubtful error
	for _, client := range s.clients {
		removal, err := attempt(ctx, s, client, func(ctx context.Context, client *operator.Client) (*operator.ClaimRemoval, error) {
			return client.RemoveClaim(ctx, request)
		})
		if err == nil {
			return removal, nil
		}
		if outcome.Of(err) == outcome.Unknown {
			doubtful = err
		}
		if doubtful != nil && s.claimGone(ctx, request) {
			return &operator.ClaimRemoval{Tenant: request.Tenant, Key: request.Key, ClaimID: request.ClaimID}, nil
		}
		last = err
		if !elsewhere(err) {
			break
		}
	}
	if doubtful != nil {
		return nil, &unknownRemovalError{request: request, cause: doubtful}
	}
	return nil, last
}

// claimGone reports whether some node knows that the key is free or held by
// another claim.
func (s *session) claimGone(ctx context.Context, request operator.ClaimRemovalRequest) bool {
	for _, client := range s.clients {
		found, err := attempt(ctx, s, client, func(ctx context.Context, client *operator.Client) (*operator.Claim, error) {
			return client.Claim(ctx, request.Tenant, request.Key)
		})
		if err == nil {
			return found.ClaimID != request.ClaimID
		}
		var typed *outcome.Error
		if errors.As(err, &typed) && typed.Reason == operator.ReasonNotFound {
			return true
		}
	}
	return false
}
