package experiment

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/lab/oracle"
	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// platform drives stand-ins through their admin interface. Repartition must
// not be called by several goroutines at once.
type platform struct {
	admin *labapi.Client
	// parts are the two shards of the last split, until they are merged.
	parts []backend.ShardDocument
}

func newPlatform(address string) *platform { return &platform{admin: labapi.NewClient(address)} }

// Work implements Environment.
func (p *platform) Work(ctx context.Context, service target.Service) (BackendWork, error) {
	servers, err := p.admin.Servers(ctx)
	if err != nil {
		return BackendWork{}, err
	}
	var work BackendWork
	for _, server := range servers {
		if server.Service == service {
			work.add(server.Counters)
		}
	}
	return work, nil
}

func (w *BackendWork) add(counters labapi.Counters) {
	w.Received += counters.Received
	w.Executed += counters.Executed
	w.Shed += counters.Shed
}

// Executions implements Environment.
func (p *platform) Executions(ctx context.Context, since time.Time) ([]oracle.Execution, error) {
	log, err := p.admin.Executions(ctx, labapi.ExecutionsQuery{Since: since})
	if err != nil {
		return nil, err
	}
	return ranOnly(log), nil
}

// ranOnly leaves out what was received and did not start to run.
func ranOnly(log []labapi.Execution) []oracle.Execution {
	var ran []oracle.Execution
	for _, entry := range log {
		if entry.Ran() {
			ran = append(ran, oracle.Execution{
				RequestID:      entry.RequestID,
				IdempotencyKey: entry.IdempotencyKey,
				Server:         string(entry.Server),
			})
		}
	}
	return ran
}

// Publish implements Environment.
func (p *platform) Publish(ctx context.Context, service target.Service, stagger time.Duration) error {
	_, err := p.admin.Publish(ctx, service, labapi.PublishRequest{StaggerMS: stagger.Milliseconds()})
	return err
}

// Repartition implements Environment.
func (p *platform) Repartition(ctx context.Context, service target.Service) error {
	if p.parts != nil {
		return p.merge(ctx, service)
	}
	first, err := p.firstShard(ctx, service)
	if err != nil {
		return err
	}
	layout, err := p.admin.Split(ctx, service, labapi.SplitRequest{Group: first.Group})
	if err != nil {
		return err
	}
	for _, shard := range layout.Shards {
		if first.Range.Covers(shard.Range) {
			p.parts = append(p.parts, shard)
		}
	}
	return nil
}

func (p *platform) merge(ctx context.Context, service target.Service) error {
	parts := p.parts
	p.parts = nil
	if len(parts) != 2 {
		return errors.Errorf("a split left %d parts", len(parts))
	}
	_, err := p.admin.Merge(ctx, service, labapi.MergeRequest{Left: parts[0].Group, Right: parts[1].Group})
	return err
}

// firstShard returns a shard that a server of the service holds.
func (p *platform) firstShard(ctx context.Context, service target.Service) (backend.ShardDocument, error) {
	servers, err := p.admin.Servers(ctx)
	if err != nil {
		return backend.ShardDocument{}, err
	}
	for _, server := range servers {
		if server.Service == service && len(server.Indexes) > 0 {
			return server.Indexes[len(server.Indexes)-1].Shards[0], nil
		}
	}
	return backend.ShardDocument{}, errors.Errorf("no shard of service %q", service)
}
