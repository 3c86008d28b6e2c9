package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// idlePeerConnections bounds the connections that are kept to peers; most of
// the time no operator asks.
const (
	idlePeerConnections = 8
	idlePeerTimeout     = 10 * time.Second
)

// HTTPPeers implements Peers over the operators' listeners of the other nodes.
// It is safe for concurrent use.
type HTTPPeers struct {
	client *http.Client
}

// NewHTTPPeers returns an HTTPPeers that uses client, or a client of its own if
// that is nil.
func NewHTTPPeers(client *http.Client) *HTTPPeers {
	if client == nil {
		client = &http.Client{Transport: &http.Transport{
			MaxIdleConns:        idlePeerConnections,
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     idlePeerTimeout,
		}}
	}
	return &HTTPPeers{client: client}
}

// Close closes the idle connections.
func (p *HTTPPeers) Close() { p.client.CloseIdleConnections() }

// Revisions implements Peers.
func (p *HTTPPeers) Revisions(ctx context.Context, address, unlessDigest string) (*operator.NodeRevisions, error) {
	return operator.NewClient(address, p.client).Revisions(ctx, unlessDigest)
}

// Experiment implements Peers.
func (p *HTTPPeers) Experiment(ctx context.Context, address string, key template.Key) (*operator.ExperimentReport, error) {
	return operator.NewClient(address, p.client).Experiment(ctx, key, operator.ScopeNode)
}

// SetDraining implements Peers.
func (p *HTTPPeers) SetDraining(ctx context.Context, address string, request operator.DrainRequest) (*operator.DrainResult, error) {
	return operator.NewClient(address, p.client).SetDraining(ctx, request)
}
