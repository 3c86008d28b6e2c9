package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/lab/experiment"
	"github.com/bramblemast/bramblemast/internal/lab/report"
	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
)

func init() { registrations = append(registrations, registerExperiment) }

const experimentDescription = `Policies side by side at the same offered load.

Stand-ins and nodes run in this process unless --target names running nodes.
Every answer is checked; the command fails if one is wrong, and, with --strict,
if an aim is missed. docs/EXPERIMENTS.md describes the file.

Examples:
  bramblemast-lab experiment run examples/experiments/stragglers.yaml
  bramblemast-lab experiment run examples/experiments/overload.yaml --json /tmp/overload.json --report /tmp/overload
  bramblemast-lab experiment run shared.yaml --target 127.0.0.1:9000 --addresses /tmp/addresses.json
  bramblemast-lab experiment check examples/experiments/stragglers.yaml`

// registerExperiment adds "experiment run" and "experiment check".
func registerExperiment(parser *flags.Parser) error {
	parent, err := parser.AddCommand("experiment", "Compare policies", experimentDescription, &struct{}{})
	if err != nil {
		return err
	}
	if _, err := parent.AddCommand("run", "Run an experiment file", experimentDescription, &experimentRun{}); err != nil {
		return err
	}
	_, err = parent.AddCommand("check", "Check an experiment file", "Reports every error of a file at once.", &experimentCheck{})
	return err
}

// experimentRun is "experiment run".
type experimentRun struct {
	JSON      string   `long:"json" value-name:"FILE" description:"Write the whole output as JSON to this file."`
	Report    string   `long:"report" value-name:"DIR" description:"Write plots and an HTML page into this directory."`
	Targets   []string `long:"target" value-name:"HOST:PORT" description:"Callers' address of a running node; may be repeated."`
	Addresses string   `long:"addresses" value-name:"FILE" description:"Addresses that the running stand-ins wrote."`
	Repeats   int      `long:"repeats" description:"Replaces the repeats of the file."`
	Seed      *uint64  `long:"seed" description:"Replaces the seed of the file."`
	Strict    bool     `long:"strict" description:"Fail if an aim is missed."`
	Quiet     bool     `long:"quiet" description:"Print no progress lines."`
	LogLevel  string   `long:"log-level" default:"warn" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"Least level of the log on standard error."`
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"Experiment file."`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *experimentRun) Execute([]string) error {
	document, source, err := experiment.LoadDocument(c.Arguments.File)
	if err != nil {
		return err
	}
	if c.Repeats > 0 {
		document.Repeats = c.Repeats
	}
	if c.Seed != nil {
		document.Seed = *c.Seed
	}
	runner, err := c.runner()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	output, err := runner.Run(ctx, document, source)
	if err != nil {
		return err
	}
	return c.finish(output)
}

func (c *experimentRun) runner() (*experiment.Runner, error) {
	logger := hclog.New(&hclog.LoggerOptions{
		Name:       "lab",
		Level:      hclog.LevelFromString(c.LogLevel),
		Output:     os.Stderr,
		JSONFormat: true,
	})
	runner := &experiment.Runner{Logger: logger.Named("experiment")}
	if !c.Quiet {
		runner.Progress = os.Stderr
	}
	if len(c.Targets) == 0 {
		runner.Launcher = &experiment.EmbeddedLauncher{Logger: logger}
		return runner, nil
	}
	addresses, err := readAddresses(c.Addresses)
	if err != nil {
		return nil, err
	}
	runner.Launcher = &experiment.RunningLauncher{Nodes: c.Targets, Addresses: addresses}
	return runner, nil
}

func readAddresses(path string) (labapi.Addresses, error) {
	var addresses labapi.Addresses
	if path == "" {
		return addresses, errors.New("--target needs --addresses")
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return addresses, errors.Wrap(err, "read addresses")
	}
	return addresses, errors.Wrap(json.Unmarshal(content, &addresses), "parse addresses")
}

// finish prints and writes the output, and says whether the run failed.
func (c *experimentRun) finish(output *experiment.Output) error {
	if err := output.WriteTable(os.Stdout); err != nil {
		return err
	}
	if c.JSON != "" {
		if err := writeOutput(c.JSON, output); err != nil {
			return err
		}
	}
	if c.Report != "" {
		page, err := report.Write(output, c.Report)
		if err != nil {
			return err
		}
		fmt.Println("report:", page)
	}
	if violations := output.Violations(); violations > 0 {
		return errors.Errorf("%d violations", violations)
	}
	if missed := output.MissedAims(); c.Strict && missed > 0 {
		return errors.Errorf("%d aims missed", missed)
	}
	return nil
}

func writeOutput(path string, output *experiment.Output) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "make output file")
	}
	if err := output.Write(file); err != nil {
		// The error of the write is the one to tell.
		_ = file.Close()
		return err
	}
	return errors.Wrap(file.Close(), "close output file")
}

// experimentCheck is "experiment check".
type experimentCheck struct {
	Arguments struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"Experiment files."`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *experimentCheck) Execute([]string) error {
	for _, path := range c.Arguments.Files {
		if _, _, err := experiment.LoadDocument(path); err != nil {
			return err
		}
		fmt.Println(path, "is valid")
	}
	return nil
}
