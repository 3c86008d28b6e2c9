package experiment

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/lab/load"
	"github.com/bramblemast/bramblemast/internal/lab/oracle"
	"github.com/bramblemast/bramblemast/internal/lab/topology"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// Runner runs experiments, one after the other.
type Runner struct {
	Launcher Launcher
	Logger   hclog.Logger
	// Progress, if set, gets the progress lines of the load.
	Progress io.Writer
}

// session is one run of an experiment.
type session struct {
	*Runner
	document *Document
	output   *Output
	arms     []*armFigures
}

// Run runs all repeats. The text of the document goes into the output.
func (r *Runner) Run(ctx context.Context, document *Document, source string) (*Output, error) {
	deployment := document.deployment(document.Seed)
	s := &session{Runner: r, document: document, output: &Output{
		Name:        document.Name,
		Description: document.Description,
		Mode:        document.Mode,
		Seed:        document.Seed,
		Repeats:     document.Repeats,
		Started:     time.Now(),
		Nodes:       document.Nodes,
		Capacity:    document.capacity(deployment),
		Steps:       document.steps(deployment),
		Baseline:    document.Baseline,
		Source:      source,
	}}
	for _, arm := range document.Arms {
		s.arms = append(s.arms, &armFigures{name: arm.Name})
	}
	for repeat := range document.Repeats {
		if err := s.repeat(ctx, repeat); err != nil {
			return nil, err
		}
	}
	s.output.Arms = compare(s.arms, document.Baseline)
	s.output.Aims = judge(document.Aims, s.arms)
	return s.output, nil
}

// repeat runs every arm once. The order turns with each repeat, so that a
// drift of the machine does not favour one arm.
func (s *session) repeat(ctx context.Context, repeat int) error {
	if s.document.Mode == ModeShared {
		return s.runShared(ctx, repeat)
	}
	count := len(s.document.Arms)
	for offset := range count {
		index := (offset + repeat) % count
		if err := s.runIsolated(ctx, repeat, index); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) runIsolated(ctx context.Context, repeat, index int) error {
	arm := &s.document.Arms[index]
	run, err := s.run(ctx, repeat, arm)
	if err != nil {
		return errors.Wrapf(err, "repeat %d of arm %s", repeat, arm.Name)
	}
	s.record(index, run, run.Backend)
	return nil
}

func (s *session) runShared(ctx context.Context, repeat int) error {
	run, err := s.run(ctx, repeat, nil)
	if err != nil {
		return errors.Wrapf(err, "repeat %d", repeat)
	}
	for index := range s.arms {
		s.record(index, run, nil)
	}
	return nil
}

// record adds the figures of one arm of a run.
func (s *session) record(index int, run *RunOutput, work *BackendWork) {
	name := s.document.Arms[index].Name
	summary, _ := run.Load.Arm(name)
	seen := observation{
		summary:    summary,
		capacity:   s.output.Capacity,
		violations: run.Oracle.Count,
		backend:    work,
	}
	s.arms[index].repeats = append(s.arms[index].repeats, seen.figures())
}

// run launches an environment, loads it, and checks what it did. A nil arm
// stands for the shared mode.
func (s *session) run(ctx context.Context, repeat int, arm *Arm) (*RunOutput, error) {
	seed := s.document.Seed + uint64(repeat)
	deployment := s.document.deployment(seed)
	environment, err := s.Launcher.Launch(ctx, Setting{
		Deployment: deployment,
		Nodes:      s.document.Nodes,
		Templates:  s.document.templatesFor(arm),
	})
	if err != nil {
		return nil, errors.Wrap(err, "launch environment")
	}
	defer s.close(environment)
	run := &RunOutput{Repeat: repeat, Seed: seed}
	if arm != nil {
		run.Arm = arm.Name
	}
	deployment.Seed = environment.Seed()
	judge := oracle.New(oracle.ExpectationsOf(deployment, s.document.templatesFor(arm)))
	if err := s.measure(ctx, environment, deployment, run, arm, judge); err != nil {
		return nil, err
	}
	run.Oracle = judge.Findings()
	s.output.Runs = append(s.output.Runs, *run)
	s.Logger.Info("run finished", "repeat", repeat, "arm", run.Arm, "offered", run.Load.Offered,
		"violations", run.Oracle.Count, "machine_busy", run.Load.Processor.Machine)
	return run, nil
}

func (s *session) measure(ctx context.Context, environment Environment, deployment *topology.Deployment,
	run *RunOutput, arm *Arm, judge *oracle.Oracle) error {
	options := s.loadOptions(environment, deployment, run, arm, judge)
	service := s.document.varied().Service
	started := time.Now()
	before := s.workAfter(ctx, environment, service, options.Warmup)
	stopChanges := s.document.Changes.start(ctx, environment, service, s.Logger)
	result, err := load.Run(ctx, options)
	stopChanges()
	if err != nil {
		return errors.Wrap(err, "run load")
	}
	run.Load = result
	earlier, err := (<-before).unpack()
	if err != nil {
		return err
	}
	later, err := environment.Work(ctx, service)
	if err != nil {
		return errors.Wrap(err, "read the work of the back ends")
	}
	work := later.since(earlier)
	run.Backend = &work
	executions, err := environment.Executions(ctx, started)
	if err != nil {
		return errors.Wrap(err, "read the execution logs")
	}
	judge.CheckExecutions(executions)
	return nil
}

func (w BackendWork) since(earlier BackendWork) BackendWork {
	return BackendWork{
		Received: w.Received - earlier.Received,
		Executed: w.Executed - earlier.Executed,
		Shed:     w.Shed - earlier.Shed,
	}
}

// workResult is the work of back ends, or why it can't be told.
type workResult struct {
	work BackendWork
	err  error
}

func (w workResult) unpack() (BackendWork, error) {
	return w.work, errors.Wrap(w.err, "read the work of the back ends")
}

// workAfter reads the work of the back ends when the warm-up ends.
func (s *session) workAfter(ctx context.Context, environment Environment, service target.Service, wait time.Duration) <-chan workResult {
	results := make(chan workResult, 1)
	go func() {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
		work, err := environment.Work(ctx, service)
		results <- workResult{work: work, err: err}
	}()
	return results
}

func (s *session) loadOptions(environment Environment, deployment *topology.Deployment, run *RunOutput, arm *Arm, judge *oracle.Oracle) load.Options {
	settings := s.document.Load
	options := load.Options{
		Targets:          environment.Targets(),
		Mix:              settings.Mix,
		Steps:            s.document.steps(deployment),
		Arrivals:         settings.Arrivals,
		Seed:             run.Seed,
		Name:             fmt.Sprintf("%s-%d", s.document.Name, run.Repeat),
		Warmup:           settings.Warmup.Std(),
		MaxOutstanding:   settings.MaxOutstanding,
		HonourRetryAfter: settings.HonourRetryAfter,
		MaxAttempts:      settings.MaxAttempts,
		Arm:              run.Arm,
		Observer:         judge,
		Progress:         s.Progress,
	}
	if arm != nil && arm.HonourRetryAfter != nil {
		options.HonourRetryAfter = *arm.HonourRetryAfter
	}
	return options
}

func (s *session) close(environment Environment) {
	if err := environment.Close(); err != nil {
		s.Logger.Warn("close environment", "error", err)
	}
}
