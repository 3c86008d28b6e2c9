// Package scale measures what a node spends on control, and how fast news
// spreads, over growing numbers of hollow nodes that share this process.
//
// A hollow node runs the membership and the configuration replica of a real
// node, with its own transport, and serves no queries. Messages are encoded in
// full, so bytes and messages are those of real nodes; processor time and
// memory include the simulated network, and with the in-memory transport leave
// out system calls.
package scale

import (
	"context"
	"runtime"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/pause"
)

// TransportKind names how hollow nodes exchange messages.
type TransportKind string

// The kinds of transport.
const (
	// TransportMemory passes messages inside the process.
	TransportMemory TransportKind = "memory"
	// TransportTCP uses loopback sockets; each node needs some dozens of them.
	TransportTCP TransportKind = "tcp"
)

// Options sets up a scale run.
type Options struct {
	// Sizes are the numbers of nodes to measure, one after the other.
	Sizes []int
	// Zones is the number of zones that the nodes are spread over.
	Zones     int
	Transport TransportKind
	// Templates is the number of templates that every node holds.
	Templates int
	// Quiet is the time of the measurement without events.
	Quiet time.Duration
	// Changes is the time in which templates change, ChangeRate how many in a
	// second.
	Changes    time.Duration
	ChangeRate float64
	// Kills is the number of nodes that are killed, one after the other.
	Kills int
	Seed  uint64
	// Logger gets the progress.
	Logger hclog.Logger
}

const (
	// settleLimit bounds the time until all nodes of a size agree.
	settleLimit = 2 * time.Minute
	// calmTime is the wait after all agree for the news of the start to end.
	calmTime = 8 * time.Second
	// spreadLimit bounds the time in which a change must be in force and a
	// death be known everywhere.
	spreadLimit = 30 * time.Second
	// killPause is the wait between two kills.
	killPause = 500 * time.Millisecond
)

// Run measures every size and fits slopes. It returns what was measured so far
// with the error of ctx if that ends.
func Run(ctx context.Context, options Options) (*Report, error) {
	if len(options.Sizes) == 0 || options.Zones < 1 {
		return nil, errors.New("scale: sizes and zones are required")
	}
	report := &Report{
		Zones:      options.Zones,
		Transport:  options.Transport,
		Templates:  options.Templates,
		ChangeRate: options.ChangeRate,
		Seed:       options.Seed,
		Cores:      runtime.NumCPU(),
		Budget:     defaultBudget,
	}
	for _, size := range options.Sizes {
		options.Logger.Info("measuring", "nodes", size)
		measured, err := measure(ctx, options, size)
		if err != nil {
			return report, errors.Wrapf(err, "%d nodes", size)
		}
		report.Sizes = append(report.Sizes, measured)
	}
	report.fit()
	return report, nil
}

// measure runs one size from its start to its end.
func measure(ctx context.Context, options Options, size int) (Measurement, error) {
	before := memoryInUse()
	nodes, err := startPopulation(options, size)
	if err != nil {
		return Measurement{}, err
	}
	defer nodes.stop()
	result := Measurement{Nodes: size, ZoneNodes: (size + options.Zones - 1) / options.Zones}
	started := time.Now()
	if err := nodes.settle(ctx); err != nil {
		return result, err
	}
	result.SettleSeconds = time.Since(started).Seconds()
	if !pause.For(ctx, calmTime) {
		return result, ctx.Err()
	}
	result.MemoryBytes = float64(memoryInUse()-before) / float64(size)
	result.Quiet = nodes.observe(ctx, options.Quiet, func() {})
	var propagation []time.Duration
	result.Changing = nodes.observe(ctx, options.Changes, func() { propagation, err = nodes.publish(ctx, options) })
	if err != nil {
		return result, err
	}
	result.Propagation = summarize(propagation, size)
	suspected, removed, err := nodes.killSome(ctx, options.Kills)
	if err != nil {
		return result, err
	}
	result.Suspected = summarize(suspected, len(suspected))
	result.Removed = summarize(removed, len(removed))
	return result, ctx.Err()
}
