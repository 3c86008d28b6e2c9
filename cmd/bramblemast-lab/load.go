package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/lab/load"
	"github.com/bramblemast/bramblemast/internal/lab/oracle"
	"github.com/bramblemast/bramblemast/internal/lab/topology"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/template"
)

func init() { registrations = append(registrations, registerLoad) }

const loadDescription = `Open-loop load against running nodes.

Requests are sent at the times that the arrival process sets, whatever the
answers do, and latencies count from these times. With --check the oracle
compares every answer with the contents of the preset; the command then fails
if it finds a violation.

Examples:
  bramblemast-lab load --target 127.0.0.1:9000 --template valgsok/tally --rate 200 --duration 10s --seed 1
  bramblemast-lab load --target 127.0.0.1:9000 --target 127.0.0.1:9010 --template valgsok/ticker --stream \
    --step 100:5s --step 400:5s --output json
  bramblemast-lab load --target 127.0.0.1:9000 --template valgsok/tally --rate 200 --duration 10s \
    --check tally.yaml --preset valgsok`

// registerLoad adds "load".
func registerLoad(parser *flags.Parser) error {
	_, err := parser.AddCommand("load", "Open-loop load with progress", loadDescription, &loadCommand{})
	return err
}

// Values of the options named output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// loadCommand is "load".
type loadCommand struct {
	Targets    []string      `long:"target" value-name:"HOST:PORT" required:"yes" description:"Callers' address of a node; may be repeated."`
	Templates  []string      `long:"template" value-name:"TENANT/NAME" required:"yes" description:"Template to ask; may be repeated, with even weights."`
	Rate       float64       `long:"rate" description:"Requests per second over all targets."`
	Duration   time.Duration `long:"duration" description:"Time at that rate."`
	Steps      []string      `long:"step" value-name:"RATE:DURATION" description:"A step, in place of --rate and --duration; may be repeated."`
	Warmup     time.Duration `long:"warmup" description:"Time before the steps that is not part of the result."`
	Arrivals   string        `long:"arrivals" choice:"poisson" choice:"constant" default:"poisson" description:"Arrival process."`
	Seed       uint64        `long:"seed" default:"1" description:"Seed of the arrivals, the mix and the queries."`
	Name       string        `long:"name" description:"Begins the request ids and idempotency keys; made from the time if absent."`
	Queries    []string      `long:"query" description:"Query to draw from; may be repeated. Queries for each of the 16 groups of the data set if absent."`
	Limit      int           `long:"limit" description:"Greatest number of records."`
	Deadline   time.Duration `long:"deadline" description:"Deadline sent along; the template's if absent."`
	Class      string        `long:"class" description:"Class sent along; the template's if absent."`
	Stream     bool          `long:"stream" description:"Ask for a stream of early states."`
	Once       bool          `long:"not-repeatable" description:"Send idempotency keys and payloads."`
	Repeat     float64       `long:"repeat-share" description:"Share of not-repeatable requests that are sent again with the same key."`
	RetryAfter bool          `long:"honour-retry-after" description:"Come back after a refusal when the answer says."`
	Attempts   int           `long:"max-attempts" default:"3" description:"Greatest number of exchanges for a request."`
	Most       int           `long:"max-outstanding" default:"4096" description:"Bound of unanswered requests; arrivals beyond it are counted, not sent."`
	Check      []string      `long:"check" value-name:"FILE" description:"Template file whose answers the oracle checks; may be repeated."`
	Preset     string        `long:"preset" choice:"valgsok" choice:"colour-archive" description:"Deployment whose contents the oracle knows."`
	Contents   *uint64       `long:"contents-seed" description:"Seed of the contents; the preset's if absent."`
	Output     string        `long:"output" choice:"table" choice:"json" default:"table" description:"Form of the result on standard output."`
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	options, err := c.options()
	if err != nil {
		return err
	}
	judge, err := c.judge()
	if err != nil {
		return err
	}
	if judge != nil {
		options.Observer = judge
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	result, err := load.Run(ctx, options)
	if result == nil {
		return err
	}
	if err := writeLoad(os.Stdout, c.Output, result); err != nil {
		return err
	}
	return violationsError(judge)
}

func (c *loadCommand) options() (load.Options, error) {
	steps, err := c.steps()
	if err != nil {
		return load.Options{}, err
	}
	mix, err := c.mix()
	if err != nil {
		return load.Options{}, err
	}
	name := c.Name
	if name == "" {
		name = time.Now().UTC().Format("load-20060102-150405.000")
	}
	return load.Options{
		Targets:          c.Targets,
		Mix:              mix,
		Steps:            steps,
		Arrivals:         load.Arrivals(c.Arrivals),
		Seed:             c.Seed,
		Name:             name,
		Warmup:           c.Warmup,
		MaxOutstanding:   c.Most,
		HonourRetryAfter: c.RetryAfter,
		MaxAttempts:      c.Attempts,
		Progress:         os.Stderr,
	}, nil
}

func (c *loadCommand) steps() ([]load.Step, error) {
	if len(c.Steps) == 0 {
		return []load.Step{{Rate: c.Rate, Duration: policy.Duration(c.Duration)}}, nil
	}
	steps := make([]load.Step, 0, len(c.Steps))
	for _, text := range c.Steps {
		step, err := load.ParseStep(text)
		if err != nil {
			return nil, err
		}
		steps = append(steps, step)
	}
	return steps, nil
}

func (c *loadCommand) mix() ([]load.TemplateLoad, error) {
	queries := c.Queries
	if len(queries) == 0 && !c.Once {
		queries = load.GroupQueries()
	}
	mix := make([]load.TemplateLoad, 0, len(c.Templates))
	for _, name := range c.Templates {
		tenant, short, found := strings.Cut(name, "/")
		if !found {
			return nil, errors.Errorf("template %q: want tenant/name", name)
		}
		mix = append(mix, load.TemplateLoad{
			Tenant:        tenant,
			Template:      short,
			Queries:       queries,
			Limit:         c.Limit,
			Class:         policy.Class(c.Class),
			Deadline:      policy.Duration(c.Deadline),
			Stream:        c.Stream,
			NotRepeatable: c.Once,
			RepeatShare:   c.Repeat,
		})
	}
	return mix, nil
}

// judge returns the oracle, or nil if no answer is to be checked.
func (c *loadCommand) judge() (*oracle.Oracle, error) {
	if len(c.Check) == 0 {
		return nil, nil
	}
	deployment := topology.Preset(c.Preset)
	if deployment == nil {
		return nil, errors.New("--check needs --preset")
	}
	if c.Contents != nil {
		deployment.Seed = *c.Contents
	}
	documents := make([]*template.Template, 0, len(c.Check))
	for _, path := range c.Check {
		content, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "read template")
		}
		document, err := template.Parse(content)
		if err != nil {
			return nil, errors.Wrap(err, path)
		}
		documents = append(documents, document)
	}
	return oracle.New(oracle.ExpectationsOf(deployment, documents)), nil
}

func writeLoad(writer io.Writer, form string, result *load.Result) error {
	if form == outputTable {
		return result.WriteTable(writer)
	}
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", " ")
	return errors.Wrap(encoder.Encode(result), "write result")
}

// violationsError turns violations into the failure of a command.
func violationsError(judge *oracle.Oracle) error {
	if judge == nil {
		return nil
	}
	findings := judge.Findings()
	if findings.Count == 0 {
		return nil
	}
	return errors.Errorf("%d violations, the first is %s", findings.Count, findings.Violations[0])
}
