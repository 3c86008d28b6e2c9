// Package demo shows the query tier at work: both deployments at their sizes of
// today, with three zones of nodes each, in one process. It sends real queries
// over loopback HTTP, brings about the failures that are routine, and has every
// answer checked.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/lab/topology"
)

// nodesPerDeployment puts one node in each zone.
const nodesPerDeployment = 3

// Options describe a demo.
type Options struct {
	// Output gets the report, line by line.
	Output io.Writer
	// Seed replaces the seeds of the deployments if it is not zero.
	Seed   uint64
	Logger hclog.Logger
}

// Run shows both deployments and returns an error if an answer was wrong or a
// scene did not go as it should.
func Run(ctx context.Context, options Options) error {
	begin := time.Now()
	var failed []string
	var checked int64
	for _, name := range topology.Presets() {
		deployment := topology.Preset(name)
		if options.Seed != 0 {
			deployment.Seed = options.Seed
		}
		stage, err := newStage(ctx, deployment, options)
		if err != nil {
			return errors.Wrapf(err, "start %s", name)
		}
		stage.play(ctx)
		failed = append(failed, stage.finish()...)
		checked += stage.oracle.Findings().Answers
	}
	fmt.Fprintf(options.Output, "\n%d answers checked against the contents of the indexes in %s: ",
		checked, time.Since(begin).Round(time.Millisecond))
	if len(failed) > 0 {
		fmt.Fprintf(options.Output, "%d faults\n", len(failed))
		for _, fault := range failed {
			fmt.Fprintln(options.Output, "  FAULT:", fault)
		}
		return errors.Errorf("%d faults", len(failed))
	}
	fmt.Fprintln(options.Output, "none is wrong")
	return nil
}
