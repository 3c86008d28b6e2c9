package experiment

import (
	"context"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
)

// RunningLauncher gives the same running nodes and stand-ins to every run. It
// publishes nothing: the templates, with the experiment of the shared mode,
// must be in force already. It is for the shared mode alone, because arms that
// run after each other would need other templates.
type RunningLauncher struct {
	// Nodes are the callers' addresses of the nodes.
	Nodes []string
	// Addresses are those that the stand-ins printed.
	Addresses labapi.Addresses
}

// Launch implements Launcher.
func (l *RunningLauncher) Launch(_ context.Context, setting Setting) (Environment, error) {
	for _, document := range setting.Templates {
		if document.Experiment != nil {
			return &runningEnvironment{launcher: l, platform: newPlatform(l.Addresses.Admin)}, nil
		}
	}
	return nil, errors.New("running nodes need the shared mode")
}

type runningEnvironment struct {
	*platform
	launcher *RunningLauncher
}

// Targets implements Environment.
func (e *runningEnvironment) Targets() []string { return e.launcher.Nodes }

// Seed implements Environment.
func (e *runningEnvironment) Seed() uint64 { return e.launcher.Addresses.Seed }

// Close implements Environment. The nodes and stand-ins keep running.
func (e *runningEnvironment) Close() error {
	e.admin.Close()
	return nil
}
