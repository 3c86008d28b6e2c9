package serve

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/query"
)

// noStoreRetry is when a caller should come back to a node without a store.
const noStoreRetry = 5 * time.Second

// Once runs not-repeatable requests at most once for each idempotency key.
type Once struct{}

func (o *Once) run(context.Context, *plannedRequest, func(context.Context) (*query.Answer, error)) (*Result, error) {
	return nil, refused("claim request", outcome.ReasonStoreAway, noStoreRetry, errors.New("this node has no configuration store"))
}
