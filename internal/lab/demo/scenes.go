package demo

import (
	"context"
	"time"

	"github.com/bramblemast/bramblemast/internal/lab/standin/backend"
	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
	"github.com/bramblemast/bramblemast/internal/lab/topology"
)

// Rates and durations of the scenes.
const (
	fewRate        = 15
	fewDuration    = 200 * time.Millisecond
	steadyRate     = 100
	steadyDuration = time.Second
	// splitOverlap is how long servers keep a shard beside its parts.
	splitOverlap = steadyDuration / 2
	// stragglerFactor is how much longer the straggler of a scene takes.
	stragglerFactor = 50
)

// mainTemplate is the template that the scenes with failures use.
func mainTemplate(deployment string) string {
	if deployment == topology.PresetValgsok {
		return "full-tally"
	}
	return "batch-history"
}

// play runs the scenes of a deployment.
func (s *stage) play(ctx context.Context) {
	s.everyTemplate(ctx)
	if s.deployment.Name == topology.PresetValgsok {
		s.ticker(ctx)
	}
	s.straggler(ctx)
	s.versionChange(ctx)
	s.repartition(ctx)
	s.lostGroup(ctx)
	if s.deployment.Name == topology.PresetColourArchive {
		s.repeatedOrder(ctx)
	}
}

// everyTemplate asks each template at each node.
func (s *stage) everyTemplate(ctx context.Context) {
	s.print("\n-- every template, asked at each node")
	s.printHeader()
	for _, document := range s.templates {
		seen := s.ask(ctx, loadOf(document), fewRate, fewDuration)
		s.expect(len(seen) > 0, "no answer for %s", document.Key())
		for _, exchange := range seen {
			s.printExchange(exchange)
			s.expect(exchange.Answer != nil, "%s gave no answer: %s", document.Key(), describe(exchange))
		}
	}
}

// ticker asks for a stream, which gives the first leaders early.
func (s *stage) ticker(ctx context.Context) {
	s.print("\n-- a ticker's stream: the first leaders, then the answer")
	wanted := loadOf(s.template("ticker"))
	wanted.Stream = true
	seen := s.ask(ctx, wanted, fewRate, fewDuration)
	for _, exchange := range seen {
		for _, event := range exchange.Events {
			s.printEvent(event)
		}
		s.printExchange(exchange)
		s.expect(exchange.Answer != nil, "the ticker's stream ended without an answer: %s", describe(exchange))
	}
}

// straggler makes one server slow and compares with the time before.
func (s *stage) straggler(ctx context.Context) {
	document := s.template(mainTemplate(s.deployment.Name))
	slow := s.serversOf(document.Service)[0]
	s.print("\n-- a straggler: %s takes %d times as long", slow.Name, stragglerFactor)
	before := s.ask(ctx, loadOf(document), steadyRate, steadyDuration)
	s.setFaults(slow, labapi.Faults{SlowFactor: stragglerFactor})
	during := s.ask(ctx, loadOf(document), steadyRate, steadyDuration)
	s.setFaults(slow, labapi.Faults{})
	s.printSummary("before", before)
	s.printSummary("with the straggler", during)
	s.expectAllAnswered("straggler", during)
}

func (s *stage) setFaults(wanted labapi.ServerAddress, faults labapi.Faults) {
	for _, server := range s.cluster.Standin().Fleet(wanted.Service).Servers() {
		if server.Address() == wanted.Address {
			server.SetFaults(faults)
		}
	}
}

// versionChange publishes index versions while queries run.
func (s *stage) versionChange(ctx context.Context) {
	document := s.template(mainTemplate(s.deployment.Name))
	fleet := s.cluster.Standin().Fleet(document.Service)
	s.print("\n-- index versions change mid-query: the servers of %s take up two versions one by one", document.Service)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for range 2 {
			s.publish(fleet, steadyDuration/2)
			time.Sleep(steadyDuration / 2)
		}
	}()
	seen := s.ask(ctx, loadOf(document), steadyRate, steadyDuration+steadyDuration/2)
	<-ended
	s.printSummary("during the changes", seen)
	s.expectAllAnswered("version change", seen)
	snapshots := snapshotsOf(seen)
	s.expect(len(snapshots) > 1, "no answer came from a newer version: %v", snapshots)
}

// publish is called on another goroutine than expect, so it only prints.
func (s *stage) publish(fleet *backend.Fleet, stagger time.Duration) {
	version, err := fleet.Publish(0, stagger)
	if err != nil {
		s.print("   publish: %v", err)
		return
	}
	s.print("   version %d is published over %s", version, stagger)
}

// repartition splits a shard while queries run.
func (s *stage) repartition(ctx context.Context) {
	document := s.template(mainTemplate(s.deployment.Name))
	fleet := s.cluster.Standin().Fleet(document.Service)
	group := fleet.Layout()[0].Group
	s.print("\n-- shards are repartitioned: %s of %s splits in two, each half on two of its servers", group, document.Service)
	ended := make(chan error)
	go func() {
		time.Sleep(steadyDuration / 4)
		_, err := fleet.Split(labapi.SplitRequest{
			Group:     group,
			Separate:  true,
			OverlapMS: splitOverlap.Milliseconds(),
		})
		ended <- err
	}()
	seen := s.ask(ctx, loadOf(document), steadyRate, steadyDuration)
	if err := <-ended; err != nil {
		s.expect(false, "split: %v", err)
	}
	s.printSummary("during the split", seen)
	s.expectAllAnswered("repartition", seen)
}

// lostGroup stops every replica of a part: answers then state the gap, or are
// withheld at once where the template wants more.
func (s *stage) lostGroup(ctx context.Context) {
	document := s.template(lossyTemplate(s.deployment.Name))
	fleet := s.cluster.Standin().Fleet(document.Service)
	group := fleet.Servers()[0].Identity().Group
	s.print("\n-- every server of %s/%s is lost: the gap is stated, never hidden", document.Service, group)
	var lost []*backend.Server
	for _, server := range fleet.Servers() {
		if server.Identity().Group == group {
			server.Stop()
			lost = append(lost, server)
		}
	}
	s.printHeader()
	for _, exchange := range s.ask(ctx, loadOf(document), fewRate, fewDuration) {
		s.printExchange(exchange)
		hidden := exchange.Answer != nil && exchange.Answer.Coverage.Complete
		s.expect(!hidden, "an answer claims to be complete although %s is lost", group)
	}
	for _, server := range lost {
		if err := server.Start(); err != nil {
			s.expect(false, "start again: %v", err)
		}
	}
}

// lossyTemplate is the template that is asked when a group is lost.
func lossyTemplate(deployment string) string {
	if deployment == topology.PresetValgsok {
		return "candidate"
	}
	return "colour-lookup"
}

// repeatedOrder sends each tint order twice with the same key, to two nodes.
func (s *stage) repeatedOrder(ctx context.Context) {
	document := s.template("tint-orders")
	s.print("\n-- tint orders, each sent twice with the same key to two nodes")
	wanted := loadOf(document)
	wanted.RepeatShare = 1
	seen := s.ask(ctx, wanted, fewRate, 2*fewDuration)
	runs := make(map[string]int)
	for _, execution := range s.cluster.Standin().Executions(labapi.ExecutionsQuery{Service: document.Service, Since: s.begin}) {
		if execution.Ran() && execution.IdempotencyKey != "" {
			runs[execution.IdempotencyKey]++
		}
	}
	s.printHeader()
	completed := make(map[string]bool)
	for _, exchange := range seen {
		s.printExchange(exchange)
		key := exchange.Request.IdempotencyKey
		completed[key] = completed[key] || exchange.Answer != nil
	}
	most := 0
	for key, done := range completed {
		s.expect(done && runs[key] == 1, "order %s: completed %t, ran %d times", key, done, runs[key])
		most = max(most, runs[key])
	}
	s.print("   %d orders in %d exchanges; the back ends ran each at most %d times", len(completed), len(seen), most)
}
