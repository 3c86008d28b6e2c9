package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/pause"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/publish"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// commentBytes pads templates to the size of real ones, about 1 KB.
const commentBytes = 600

func (n *hollowNode) held(key template.Key) (template.Published, bool) { return n.replica.Held(key) }

func (n *hollowNode) accepted(change template.Published) { n.replica.Announce(change) }

// contentOf returns a template of the usual size.
func contentOf(number int) *template.Template {
	return &template.Template{
		Tenant:   "scale",
		Name:     fmt.Sprintf("template%d", number),
		Comment:  strings.Repeat("x", commentBytes),
		Service:  "resultatside",
		Class:    policy.ClassTicker,
		Deadline: policy.Duration(time.Second),
	}
}

// change is a published template whose arrival at the nodes is timed.
type change struct {
	key      template.Key
	revision uint64

	mutex sync.Mutex
	// accepted and arrived are guarded by mutex. Arrived holds a time for each
	// node at which the change is in force.
	accepted time.Time
	arrived  map[*hollowNode]time.Time
}

// note records the arrival at a node, the first time.
func (c *change) note(node *hollowNode, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, ok := c.arrived[node]; !ok {
		c.arrived[node] = now
	}
}

// delays returns the time from accepted to in force for each node; a node may
// have taken the change while the publisher still waited for the store.
func (c *change) delays() []time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delays := make([]time.Duration, 0, len(c.arrived))
	for _, at := range c.arrived {
		delays = append(delays, max(at.Sub(c.accepted), 0))
	}
	return delays
}

// changeLog holds the changes that are being timed.
type changeLog struct {
	mutex sync.Mutex
	// changes is guarded by mutex.
	changes []*change
}

func (l *changeLog) add(added *change) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.changes = append(l.changes, added)
}

func (l *changeLog) all() []*change {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.changes)
}

// watch notes the arrival of changes at a node until ctx ends.
func (l *changeLog) watch(ctx context.Context, node *hollowNode) {
	changed, stop := node.replica.Subscribe()
	defer stop()
	next := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		now := time.Now()
		changes := l.all()
		for _, each := range changes[next:] {
			if held, ok := node.held(each.key); ok && held.Template.Revision >= each.revision {
				each.note(node, now)
			}
		}
		next = max(next, len(changes)-recentChanges)
	}
}

// recentChanges is the number of latest changes that a node looks at again.
const recentChanges = 50

// publish changes templates at the wanted rate through random nodes, and
// returns the time from accepted to in force for each change and node.
func (p *population) publish(ctx context.Context, options Options) ([]time.Duration, error) {
	log := &changeLog{}
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	var watchers sync.WaitGroup
	for _, node := range p.nodes {
		watchers.Go(func() { log.watch(watching, node) })
	}
	random := rand.New(rand.NewPCG(options.Seed, 1))
	interval := time.Duration(float64(time.Second) / options.ChangeRate)
	deadline := time.Now().Add(options.Changes)
	for number := 0; time.Now().Before(deadline); number++ {
		if err := p.publishOne(ctx, log, p.nodes[random.IntN(len(p.nodes))], number%options.Templates); err != nil {
			return nil, err
		}
		if !pause.For(ctx, interval) {
			return nil, ctx.Err()
		}
	}
	if err := p.awaitChanges(ctx, log); err != nil {
		return nil, err
	}
	stopWatching()
	watchers.Wait()
	var delays []time.Duration
	for _, each := range log.all() {
		delays = append(delays, each.delays()...)
	}
	return delays, nil
}

// publishOne publishes the next revision of a template through a node.
func (p *population) publishOne(ctx context.Context, log *changeLog, node *hollowNode, number int) error {
	content := contentOf(number)
	held, _ := node.held(content.Key())
	if held.Template == nil {
		return errors.Errorf("%s does not hold %s", node.id, content.Key())
	}
	expected := held.Template.Revision
	timed := &change{key: content.Key(), revision: expected + 1, arrived: make(map[*hollowNode]time.Time)}
	log.add(timed)
	if _, err := node.publisher.Publish(ctx, content, expected); err != nil {
		return errors.Wrap(err, "publish")
	}
	timed.mutex.Lock()
	defer timed.mutex.Unlock()
	timed.accepted = time.Now()
	return nil
}

// awaitChanges waits until every change is in force at every node.
func (p *population) awaitChanges(ctx context.Context, log *changeLog) error {
	deadline := time.Now().Add(spreadLimit)
	for {
		missing := 0
		for _, each := range log.all() {
			missing += len(p.nodes) - len(each.delays())
		}
		if missing == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Errorf("%d arrivals of changes are missing after %v", missing, spreadLimit)
		}
		if !pause.For(ctx, pollPeriod) {
			return ctx.Err()
		}
	}
}

// seedTemplates writes the templates that the nodes find at their start.
func (p *population) seedTemplates(count int) error {
	publisher, err := publish.New(publish.Options{Store: p.store})
	if err != nil {
		return err
	}
	for number := range count {
		if _, err := publisher.Publish(context.Background(), contentOf(number), 0); err != nil {
			return errors.Wrap(err, "publish the first templates")
		}
	}
	return nil
}
