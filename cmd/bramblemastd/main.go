// Command bramblemastd is one node of the query tier. Every machine runs the
// same program.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"
	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/node"
	"github.com/bramblemast/bramblemast/internal/settings"
	"github.com/bramblemast/bramblemast/internal/version"
)

// Exit codes; docs/OPERATIONS.md lists them.
const (
	exitOK       = 0
	exitFailure  = 1
	exitSettings = 2
)

const description = `One node of the bramblemast query tier.

Examples:
  bramblemastd --settings node.yaml
  bramblemastd --zone oslo --listen-callers 127.0.0.1:8480 --seed 127.0.0.1:8482
  bramblemastd --settings node.yaml --set stop.timeout=10s --check

Every setting of the file can be given as --set PATH=VALUE; docs/OPERATIONS.md
lists them. SIGTERM and SIGINT begin a planned stop, which cuts off no request
in flight; a second signal ends the process at once.`

type options struct {
	Settings        string            `long:"settings" value-name:"FILE" description:"YAML settings file."`
	Name            string            `long:"name" description:"Name of the node (node.name)."`
	Zone            string            `long:"zone" description:"Zone of the node (node.zone)."`
	Region          string            `long:"region" description:"Region of the node (node.region)."`
	ListenCallers   string            `long:"listen-callers" value-name:"IP:PORT" description:"Callers' listener (listen.callers)."`
	ListenOperators string            `long:"listen-operators" value-name:"IP:PORT" description:"Operators' listener (listen.operators)."`
	ListenPeers     string            `long:"listen-peers" value-name:"IP:PORT" description:"Peers' listener (listen.peers)."`
	Seeds           string            `long:"seed" value-name:"IP:PORT[,IP:PORT]" description:"Peers to join through (peers.seeds)."`
	Store           string            `long:"store" value-name:"URL" description:"Configuration store (store.url)."`
	MachineList     string            `long:"machine-list" value-name:"URL" description:"Machine list (machine_list.url)."`
	Set             map[string]string `long:"set" key-value-delimiter:"=" value-name:"PATH=VALUE" description:"Any setting; may be repeated."`
	Check           bool              `long:"check" description:"Check the settings and exit."`
	Version         bool              `long:"version" description:"Print the version and exit."`
}

func main() { os.Exit(execute(os.Args[1:])) }

func execute(arguments []string) int {
	var given options
	parser := flags.NewNamedParser("bramblemastd", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = description
	if _, err := parser.AddGroup("Options", "", &given); err != nil {
		return fail(exitFailure, err)
	}
	rest, err := parser.ParseArgs(arguments)
	if flags.WroteHelp(err) {
		fmt.Println(err)
		return exitOK
	}
	if err == nil && len(rest) > 0 {
		err = errors.Errorf("unexpected argument %q", rest[0])
	}
	if err != nil {
		return fail(exitSettings, err)
	}
	if given.Version {
		fmt.Println("bramblemastd", version.Version)
		return exitOK
	}
	loaded, err := settings.Load(given.Settings, given.overrides())
	if err != nil {
		return fail(exitSettings, err)
	}
	if given.Check {
		fmt.Println("settings are valid")
		return exitOK
	}
	return serve(loaded)
}

// overrides lists the settings that were given as flags.
func (o *options) overrides() []settings.Override {
	named := []settings.Override{
		{Path: "node.name", Value: o.Name},
		{Path: "node.zone", Value: o.Zone},
		{Path: "node.region", Value: o.Region},
		{Path: "listen.callers", Value: o.ListenCallers},
		{Path: "listen.operators", Value: o.ListenOperators},
		{Path: "listen.peers", Value: o.ListenPeers},
		{Path: "peers.seeds", Value: o.Seeds},
		{Path: "store.url", Value: o.Store},
		{Path: "machine_list.url", Value: o.MachineList},
	}
	var overrides []settings.Override
	for _, override := range named {
		if override.Value != "" {
			overrides = append(overrides, override)
		}
	}
	for path, value := range o.Set {
		overrides = append(overrides, settings.Override{Path: path, Value: value})
	}
	return overrides
}

// serve runs the node until a signal or a failure.
func serve(loaded *settings.Settings) int {
	logger := hclog.New(&hclog.LoggerOptions{
		Name:       "bramblemastd",
		Level:      hclog.LevelFromString(loaded.Log.Level),
		Output:     os.Stderr,
		JSONFormat: true,
	})
	debug.SetGCPercent(loaded.Memory.CollectPercent)
	debug.SetMemoryLimit(loaded.Memory.LimitBytes)
	member, err := node.New(loaded, logger)
	if err != nil {
		return fail(exitFailure, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group run.Group
	group.Add(func() error { return member.Run(ctx) }, func(error) { cancel() })
	group.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	err = group.Run()
	if errors.Is(err, run.ErrSignal) || err == nil {
		return exitOK
	}
	logger.Error("node failed", "error", err)
	return exitFailure
}

func fail(code int, err error) int {
	fmt.Fprintln(os.Stderr, "error:", err)
	return code
}
