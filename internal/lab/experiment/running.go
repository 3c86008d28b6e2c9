package experiment

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/lab/oracle"
	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
	"github.com/bramblemast/bramblemast/pkg/target"
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
			return &runningEnvironment{launcher: l, admin: labapi.NewClient(l.Addresses.Admin)}, nil
		}
	}
	return nil, errors.New("running nodes need the shared mode")
}

type runningEnvironment struct {
	launcher *RunningLauncher
	admin    *labapi.Client
}

// Targets implements Environment.
func (e *runningEnvironment) Targets() []string { return e.launcher.Nodes }

// Seed implements Environment.
func (e *runningEnvironment) Seed() uint64 { return e.launcher.Addresses.Seed }

// Work implements Environment.
func (e *runningEnvironment) Work(ctx context.Context, service target.Service) (BackendWork, error) {
	servers, err := e.admin.Servers(ctx)
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
func (e *runningEnvironment) Executions(ctx context.Context, since time.Time) ([]oracle.Execution, error) {
	log, err := e.admin.Executions(ctx, labapi.ExecutionsQuery{Since: since})
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

// Close implements Environment. The nodes and stand-ins keep running.
func (e *runningEnvironment) Close() error {
	e.admin.Close()
	return nil
}
