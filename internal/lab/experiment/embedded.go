package experiment

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bramblemast/bramblemast/internal/lab/cluster"
)

// readyTimeout bounds the start of an environment.
const readyTimeout = 30 * time.Second

// EmbeddedLauncher runs stand-ins and nodes in this process. Templates are
// published through a node's operators' interface.
type EmbeddedLauncher struct {
	Logger hclog.Logger
}

// Launch implements Launcher.
func (l *EmbeddedLauncher) Launch(ctx context.Context, setting Setting) (Environment, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	started, err := cluster.Start(ctx, cluster.Options{
		Deployment: setting.Deployment,
		Nodes:      setting.Nodes,
		Templates:  setting.Templates,
		Logger:     l.Logger,
	})
	if err != nil {
		return nil, err
	}
	return &embeddedEnvironment{
		platform: newPlatform(started.Standin().Addresses().Admin),
		cluster:  started,
	}, nil
}

// embeddedEnvironment is a cluster in this process.
type embeddedEnvironment struct {
	*platform
	cluster *cluster.Cluster
}

// Targets implements Environment.
func (e *embeddedEnvironment) Targets() []string { return e.cluster.Targets() }

// Seed implements Environment.
func (e *embeddedEnvironment) Seed() uint64 { return e.cluster.Standin().Addresses().Seed }

// Close implements Environment.
func (e *embeddedEnvironment) Close() error {
	e.admin.Close()
	return e.cluster.Close()
}
