package experiment

import (
	"context"
	"sync"

	"github.com/hashicorp/go-hclog"

	"github.com/bramblemast/bramblemast/internal/pause"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// Changes happen to the back ends of the varied template's service while the
// load runs; a time of zero stands for never.
type Changes struct {
	// PublishEvery is the time between index versions, PublishStagger the time
	// over which the servers take up each, one after the other.
	PublishEvery   policy.Duration `yaml:"publish_every"`
	PublishStagger policy.Duration `yaml:"publish_stagger"`
	// RepartitionEvery is the time between a split of a shard, the merge of its
	// parts, the next split and so on.
	RepartitionEvery policy.Duration `yaml:"repartition_every"`
}

// start runs the changes until the returned function is called, which waits
// for their end. A change that fails is logged: the run goes on without it.
func (c Changes) start(ctx context.Context, environment Environment, service target.Service, logger hclog.Logger) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	repeatEvery := func(interval policy.Duration, name string, change func() error) {
		if interval <= 0 {
			return
		}
		running.Go(func() {
			for pause.For(ctx, interval.Std()) {
				if err := change(); err != nil && ctx.Err() == nil {
					logger.Warn("change of back ends failed", "change", name, "error", err)
				}
			}
		})
	}
	repeatEvery(c.PublishEvery, "publish", func() error {
		return environment.Publish(ctx, service, c.PublishStagger.Std())
	})
	repeatEvery(c.RepartitionEvery, "repartition", func() error {
		return environment.Repartition(ctx, service)
	})
	return func() {
		cancel()
		running.Wait()
	}
}
