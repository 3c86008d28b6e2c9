package experiment

import (
	"context"
	"time"

	"github.com/bramblemast/bramblemast/internal/lab/oracle"
	"github.com/bramblemast/bramblemast/internal/lab/topology"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// Setting is what an environment is launched with.
type Setting struct {
	Deployment *topology.Deployment
	Nodes      int
	Templates  []*template.Template
}

// Environment is stand-ins and nodes that run.
type Environment interface {
	// Targets are the callers' addresses of the nodes.
	Targets() []string
	// Seed is the seed that the contents of the indexes are made from.
	Seed() uint64
	// Work returns what the back ends of a service did so far.
	Work(ctx context.Context, service target.Service) (BackendWork, error)
	// Executions returns what the execution logs of all back ends still hold
	// since a moment.
	Executions(ctx context.Context, since time.Time) ([]oracle.Execution, error)
	// Publish publishes the next index version of a service, which the servers
	// take up one after the other over the stagger.
	Publish(ctx context.Context, service target.Service, stagger time.Duration) error
	// Repartition splits a shard of a service, or merges the parts of the last
	// split. It is called by one goroutine at a time.
	Repartition(ctx context.Context, service target.Service) error
	// Close stops everything that the launch started.
	Close() error
}

// Launcher makes environments. Launch returns once every node serves the
// templates of the setting.
type Launcher interface {
	Launch(ctx context.Context, setting Setting) (Environment, error)
}
