package configstore

import (
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// Failure wraps one of the errors of this package with the step and the peer
// at which it arose. errors.Is finds the kind in the result; for ErrLimited,
// ErrUnavailable and ErrUnknown the result is an *outcome.Error as well.
func Failure(step, peer string, kind, cause error) error {
	described := kind
	if cause != nil {
		described = errors.WithMessage(kind, cause.Error())
	}
	switch kind {
	case ErrLimited, ErrUnavailable:
		return &outcome.Error{Step: step, Peer: peer, Outcome: outcome.NotRun, Reason: outcome.ReasonStoreAway, Cause: described}
	case ErrUnknown:
		return &outcome.Error{Step: step, Peer: peer, Outcome: outcome.Unknown, Reason: outcome.ReasonStoreAway, Cause: described}
	default:
		return errors.WithMessagef(described, "%s at %s", step, peer)
	}
}
