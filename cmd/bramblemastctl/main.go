// Command bramblemastctl is the operators' command line. docs/CLI.md is the
// reference.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/bramblemast/bramblemast/internal/ctl"
	"github.com/bramblemast/bramblemast/internal/version"
	"github.com/bramblemast/bramblemast/pkg/configstore"
	"github.com/bramblemast/bramblemast/platform"
)

func main() {
	os.Exit(run())
}

// openStore connects to the platform's store.
func openStore(address string) configstore.Store { return platform.NewConfigStore(address) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	streams := ctl.Streams{Input: os.Stdin, Output: os.Stdout, Errors: os.Stderr, OpenStore: openStore}
	return int(ctl.Run(ctx, version.Version, os.Args[1:], streams))
}
