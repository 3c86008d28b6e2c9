package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"

	"github.com/bramblemast/bramblemast/internal/lab/demo"
)

func init() { registrations = append(registrations, registerDemo) }

const demoDescription = `Both deployments at their sizes of today, in one process.

Starts the stand-ins and a node in each of three zones, asks every example
template, and shows a straggler, index versions that change mid-query, shards
that split, a lost group and repeated tint orders. Every answer is checked; the
exit code is 1 if one is wrong. Ends by itself in under a minute.

Example:
  bramblemast-lab demo`

// demoTimeout ends a demo that does not end by itself.
const demoTimeout = 55 * time.Second

// registerDemo adds "demo".
func registerDemo(parser *flags.Parser) error {
	_, err := parser.AddCommand("demo", "The whole system in one process", demoDescription, &demoCommand{})
	return err
}

// demoCommand is "demo".
type demoCommand struct {
	Seed     uint64 `long:"seed" description:"Seed of the contents and of all random choices; that of the presets if zero."`
	LogLevel string `long:"log-level" default:"error" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"Least level of the log on standard error."`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	return demo.Run(ctx, demo.Options{
		Output: os.Stdout,
		Seed:   c.Seed,
		Logger: hclog.New(&hclog.LoggerOptions{
			Name:       "demo",
			Level:      hclog.LevelFromString(c.LogLevel),
			Output:     os.Stderr,
			JSONFormat: true,
		}),
	})
}
