// Package ctl implements the operators' command line: one type for each
// command, in a file of its own. A command runs in process by Run, so that its
// output and exit code can be tested.
package ctl

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/configstore"
)

// programName is what usage texts call the program.
const programName = "bramblemastctl"

// maxTimeout bounds --timeout.
const maxTimeout = 10 * time.Minute

// options are the flags of every command.
type options struct {
	Address []string      `short:"a" long:"address" value-name:"HOST:PORT" env:"BRAMBLEMAST_ADDRESS" env-delim:"," default:"127.0.0.1:8481" description:"operators' address of a node; repeat it to name others to try when one can't be reached"`
	Store   string        `long:"store" value-name:"HOST:PORT" env:"BRAMBLEMAST_STORE" description:"platform's store; commands on templates go to it in place of a node, where operators call no nodes"`
	Timeout time.Duration `long:"timeout" value-name:"DURATION" default:"10s" description:"time for each attempt at one node"`
	Output  string        `short:"o" long:"output" choice:"table" choice:"json" default:"table" description:"format of the output"`
	Version func()        `long:"version" description:"print the version and exit"`
}

// environment is what a command works with.
type environment struct {
	ctx     context.Context
	options options
	input   io.Reader
	output  io.Writer
	errors  io.Writer
	// openStore connects to the store of --store.
	openStore OpenStore
}

// OpenStore returns the configuration store at an address.
type OpenStore func(address string) configstore.Store

// Streams are the standard streams of a run.
type Streams struct {
	Input  io.Reader
	Output io.Writer
	Errors io.Writer
	// OpenStore serves --store; nil if there is none.
	OpenStore OpenStore
}

// errVersionShown ends parsing after --version.
var errVersionShown = errors.New("version shown")

// Run runs one command line, without the program's name, and returns its exit
// code. Cancelling ctx ends the command; a change under way is then reported
// as unknown unless it can be settled.
func Run(ctx context.Context, version string, arguments []string, streams Streams) ExitCode {
	env := &environment{ctx: ctx, input: streams.Input, output: streams.Output, errors: streams.Errors, openStore: streams.OpenStore}
	parser := newParser(env)
	showVersion := false
	env.options.Version = func() { showVersion = true }
	parser.CommandHandler = func(command flags.Commander, rest []string) error {
		if showVersion {
			return errVersionShown
		}
		return env.execute(command, rest)
	}
	_, err := parser.ParseArgs(arguments)
	if showVersion {
		fmt.Fprintln(env.output, programName, version)
		return ExitOK
	}
	return env.finish(err)
}

// execute checks the flags of every command and runs one.
func (env *environment) execute(command flags.Commander, rest []string) error {
	switch {
	case command == nil:
		return usagef("a command is missing; see --help")
	case len(rest) > 0:
		return usagef("unexpected argument %q", rest[0])
	case env.options.Store != "" && env.openStore == nil:
		return usagef("--store: this program knows no store")
	case env.options.Timeout <= 0 || env.options.Timeout > maxTimeout:
		return usagef("--timeout: want above 0, at most %v", maxTimeout)
	}
	return command.Execute(rest)
}

// finish prints the error of a command and returns the exit code.
func (env *environment) finish(err error) ExitCode {
	var help *flags.Error
	if errors.As(err, &help) && help.Type == flags.ErrHelp {
		fmt.Fprintln(env.output, help.Message)
		return ExitOK
	}
	if err != nil {
		env.printError(err)
	}
	return exitCodeOf(err)
}

// session opens a session with the nodes of --address, or with the store of
// --store.
func (env *environment) session() *session {
	if env.options.Store != "" {
		return newStoreSession(env.openStore(env.options.Store), env.options.Timeout)
	}
	return newSession(env.options.Address, env.options.Timeout)
}
