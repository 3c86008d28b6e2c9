// Command bramblemast-lab holds what the project is proved and measured with:
// stand-ins of the platform, a fault-injecting proxy, load, experiments and a
// demo. It is never needed in production, and starts no other process.
//
// Each file of this package adds its commands by a function in registrations.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/version"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

// registration adds the commands of one file to the parser.
type registration func(parser *flags.Parser) error

// registrations is filled by the init functions of the other files.
var registrations []registration

// globalOptions are the options before any command.
type globalOptions struct {
	Version func() `long:"version" description:"Print the version and exit."`
}

const longDescription = `Stand-ins, faults, load and experiments for bramblemast.

Examples:
  bramblemast-lab demo
  bramblemast-lab standin run --preset valgsok --addresses /tmp/valgsok.json
  bramblemast-lab proxy run faults.yaml`

func main() { os.Exit(run(os.Args[1:])) }

// run parses the arguments, runs the chosen command and returns the exit code.
func run(arguments []string) int {
	options := globalOptions{Version: printVersion}
	parser := flags.NewNamedParser("bramblemast-lab", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longDescription
	if _, err := parser.AddGroup("Global options", "", &options); err != nil {
		return fail(err)
	}
	for _, register := range registrations {
		if err := register(parser); err != nil {
			return fail(err)
		}
	}
	_, err := parser.ParseArgs(arguments)
	return exitCode(err)
}

func exitCode(err error) int {
	if err == nil {
		return 0
	}
	var usage *flags.Error
	if !errors.As(err, &usage) {
		return fail(err)
	}
	if usage.Type == flags.ErrHelp {
		fmt.Println(usage.Message)
		return 0
	}
	fmt.Fprintln(os.Stderr, usage.Message)
	return exitUsage
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, "error:", err)
	return exitFailure
}

func printVersion() {
	fmt.Println("bramblemast-lab", version.Version)
	os.Exit(0)
}
