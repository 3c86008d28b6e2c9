// Command bramblemast-edge is the node of a routed deployment: it serves the
// requests of an operator's routes on the platform that package platform meets.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/edge"
	"github.com/bramblemast/bramblemast/internal/version"
	"github.com/bramblemast/bramblemast/platform"
)

// Exit codes; docs/OPERATIONS.md lists them.
const (
	exitOK       = 0
	exitFailure  = 1
	exitSettings = 2
)

// logsWithin is for how long an ending process waits for a slow reader of its log. It comes on top of
// the grace time, and is small beside the shortest one (1 s).
const logsWithin = 100 * time.Millisecond

// collectPercent trades a little processor time for memory.
const collectPercent = 50

const description = `The node of a routed deployment: it fans requests out over the shards that the
operator's routes name.

Examples:
  bramblemast-edge --settings edge.json
  bramblemast-edge --settings edge.json --check

docs/OPERATIONS.md lists the settings. SIGTERM and SIGINT begin a planned stop,
which cuts off no request in flight.`

type options struct {
	Settings string `long:"settings" value-name:"FILE" description:"JSON settings file; the platform's variable names it otherwise."`
	Check    bool   `long:"check" description:"Check the settings and exit."`
	Version  bool   `long:"version" description:"Print the version and exit."`
}

func main() { os.Exit(execute(os.Args[1:])) }

func execute(arguments []string) int {
	var given options
	parser := flags.NewNamedParser("bramblemast-edge", flags.HelpFlag|flags.PassDoubleDash)
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
		fmt.Println("bramblemast-edge", version.Version)
		return exitOK
	}
	heard := listen()
	defer heard.close()
	if given.Settings == "" {
		given.Settings = os.Getenv(platform.SettingsVariable)
	}
	loaded, err := edge.LoadSettings(given.Settings)
	if err != nil {
		return fail(exitSettings, err)
	}
	if given.Check {
		fmt.Println("settings are valid")
		return exitOK
	}
	return serve(loaded, given.Settings, heard)
}

// signals are the signals that the process handles, and what it does on them.
type signals struct {
	// stop ends with the first signal of a planned stop; close ends it too, and takes no more of them.
	stop  context.Context
	close context.CancelFunc
	// hangups takes the signals to read the settings again.
	hangups chan os.Signal
}

// listen begins to handle signals. It is called before the settings are read, since a signal without a
// handler ends the process as if it had failed.
func listen() *signals {
	heard := &signals{hangups: make(chan os.Signal, 1)}
	signal.Notify(heard.hangups, syscall.SIGHUP)
	heard.stop, heard.close = signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	return heard
}

// serve runs the node until a signal or a failure.
func serve(settings *edge.Settings, path string, heard *signals) int {
	if heard.stop.Err() != nil {
		// No listener is open yet, so that there is nothing to stop.
		return exitOK
	}
	debug.SetGCPercent(collectPercent)
	if limit := settings.MemoryBytes(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	log := edge.OpenLog("bramblemast-edge", os.Stdout)
	defer log.Flush(logsWithin)
	logger := log.Logger()
	node, err := edge.New(edge.Options{
		Settings: settings, Logger: logger, Platform: platform.NewStore(settings.Store.Address),
		Dialect: platform.Dialect(), ReadyPath: platform.ReadyPath,
		Reload: func() (*edge.Settings, error) { return edge.LoadSettings(path) }, ReloadSignals: heard.hangups,
	})
	if err != nil {
		return fail(exitFailure, err)
	}
	if err := node.Run(heard.stop); err != nil {
		logger.Error("node failed", "error", err.Error())
		return exitFailure
	}
	return exitOK
}

func fail(code int, err error) int {
	fmt.Fprintln(os.Stderr, "error:", err)
	return code
}
