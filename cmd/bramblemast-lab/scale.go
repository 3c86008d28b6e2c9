package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/lab/scale"
)

func init() { registrations = append(registrations, registerScale) }

const scaleDescription = `Measures what a node spends on control over growing numbers of hollow nodes.

Hollow nodes run the membership and the configuration of real nodes and share
this process. The table shows bytes, messages, processor time and memory of one
node, the time until a change is in force and until a killed node is removed,
and lines fitted over the number of nodes in a zone.

Examples:
  bramblemast-lab scale
  bramblemast-lab scale --nodes 30 --nodes 100 --zones 1 --transport tcp
  bramblemast-lab scale --nodes 1000 --quiet 30s --json scale.json`

// registerScale adds "scale".
func registerScale(parser *flags.Parser) error {
	_, err := parser.AddCommand("scale", "Hollow nodes: the cost of control", scaleDescription, &scaleCommand{})
	return err
}

// scaleCommand is "scale".
type scaleCommand struct {
	Nodes      []int         `long:"nodes" value-name:"N" default:"30" default:"100" default:"300" default:"1000" description:"Number of nodes; may be repeated."`
	Zones      int           `long:"zones" default:"3" description:"Zones that the nodes are spread over."`
	Transport  string        `long:"transport" choice:"memory" choice:"tcp" default:"memory" description:"How the nodes exchange messages."`
	Templates  int           `long:"templates" default:"100" description:"Templates that every node holds."`
	Quiet      time.Duration `long:"quiet" default:"15s" description:"Time of the measurement without events."`
	Changes    time.Duration `long:"changes" default:"15s" description:"Time in which templates change."`
	ChangeRate float64       `long:"change-rate" default:"1.1" description:"Changes per second."`
	Kills      int           `long:"kills" default:"5" description:"Nodes to kill, one after the other."`
	Seed       uint64        `long:"seed" default:"1" description:"Seed of all random choices."`
	JSON       string        `long:"json" value-name:"FILE" description:"Write the report to a file as well."`
}

// Execute implements flags.Commander.
func (c *scaleCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := scale.Run(ctx, scale.Options{
		Sizes:      c.Nodes,
		Zones:      c.Zones,
		Transport:  scale.TransportKind(c.Transport),
		Templates:  c.Templates,
		Quiet:      c.Quiet,
		Changes:    c.Changes,
		ChangeRate: c.ChangeRate,
		Kills:      c.Kills,
		Seed:       c.Seed,
		Logger:     hclog.New(&hclog.LoggerOptions{Name: "scale", Output: os.Stderr, JSONFormat: true}),
	})
	if err != nil {
		return err
	}
	if c.JSON != "" {
		if err := writeScaleJSON(c.JSON, report); err != nil {
			return err
		}
	}
	return report.WriteTable(os.Stdout)
}

func writeScaleJSON(path string, report *scale.Report) error {
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "write report")
}
