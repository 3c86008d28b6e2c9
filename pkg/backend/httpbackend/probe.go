package httpbackend

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// maxStatusBytes bounds the body of a probe's answer.
const maxStatusBytes = 1 << 20

// Probe implements backend.Prober. The error is an *outcome.Error.
func (c *Client) Probe(ctx context.Context, server target.ServerID) (*backend.Status, error) {
	pool, err := c.pools.get(server)
	if err != nil {
		return nil, notSent(stepConnect, server, outcome.ReasonInvalid, err)
	}
	pool.noteProbe(time.Now())
	message := (&http.Request{
		Method:     http.MethodGet,
		URL:        pool.statusURL,
		Host:       pool.statusURL.Host,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     http.Header{"User-Agent": noUserAgent},
	}).WithContext(ctx)
	answer, err := pool.probes.RoundTrip(message)
	if err != nil {
		return nil, probeFailed(ctx, server, outcome.ReasonUnreachable, err)
	}
	// It has been read, or is given up: its end tells nothing.
	defer func() { _ = answer.Body.Close() }()
	return c.readStatus(ctx, server, answer)
}

func (c *Client) readStatus(
	ctx context.Context, server target.ServerID, answer *http.Response,
) (*backend.Status, error) {
	buffer := takeBuffer()
	defer giveBuffer(buffer)
	if err := readBody(buffer, answer, maxStatusBytes); err != nil {
		return nil, probeFailed(ctx, server, outcome.ReasonConnectionLost, err)
	}
	if answer.StatusCode != http.StatusOK {
		return nil, inDoubt(stepProbe, server, outcome.ReasonBackendError,
			errors.Errorf("status %d", answer.StatusCode))
	}
	var document backend.StatusDocument
	if err := json.Unmarshal(buffer.Bytes(), &document); err != nil {
		return nil, corrupt(stepProbe, server, err)
	}
	status, err := document.Status()
	if err != nil {
		return nil, corrupt(stepProbe, server, err)
	}
	return status, nil
}

// probeFailed classifies a probe that got no whole answer.
func probeFailed(ctx context.Context, server target.ServerID, reason outcome.Reason, cause error) error {
	if ended := ctx.Err(); ended != nil {
		reason = contextReason(ended)
	}
	return inDoubt(stepProbe, server, reason, cause)
}
