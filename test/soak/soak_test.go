// Package soak runs the real node as several processes on one machine, breaks
// from outside what it depends on, and checks the product's promises by what
// callers and servers see. Everything random follows from one seed; the order
// of events within a run still depends on the machine.
//
//	make soak SOAK=5m           fresh seed, the time-bound promises checked too
//	go test ./test/soak -args -soak.seed 7 -soak.span 2m -soak.timed -soak.folder out
package soak

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega/gexec"
)

var (
	seedFlag   = flag.Uint64("soak.seed", 1, "seed of all faults and requests; 0 for a fresh one")
	spanFlag   = flag.Duration("soak.span", 25*time.Second, "how long the soak runs")
	timedFlag  = flag.Bool("soak.timed", false, "check promises with time bounds too; not on a busy machine")
	nodesFlag  = flag.Int("soak.nodes", 0, "number of nodes; 0 for that of each test")
	folderFlag = flag.String("soak.folder", "", "folder for settings, logs and the history; a temporary one if empty")
)

// Phases of a soak.
const (
	chaosSpan  = 8 * time.Second
	calmSpan   = 6 * time.Second
	recoverFor = 2 * time.Second
	// servedShare is the least share of requests that are served when nothing
	// is broken.
	servedShare = 0.98
)

// TestSoak keeps the promises while everything fails in turn.
func TestSoak(t *testing.T) { soak(t, smallShape) }

// TestSoakOfReaders is the same where two nodes read the store for the others.
func TestSoakOfReaders(t *testing.T) { soak(t, sharedShape) }

// TestSoakOfOwners is the same where nodes ask each other for shards.
func TestSoakOfOwners(t *testing.T) { soak(t, ownersShape) }

func soak(t *testing.T, shaped shape) {
	seed, folder := *seedFlag, *folderFlag
	if *nodesFlag > 0 {
		shaped.nodes = *nodesFlag
	}
	if seed == 0 {
		seed = rand.Uint64()
	}
	if folder == "" {
		folder = t.TempDir()
	} else if folder = filepath.Join(folder, t.Name()); os.MkdirAll(folder, 0o755) != nil {
		t.Fatalf("the folder %s cannot be made", folder)
	}
	t.Logf("seed %d, %s, logs in %s", seed, *spanFlag, folder)
	program, err := gexec.Build("github.com/bramblemast/bramblemast/cmd/bramblemast-edge")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(gexec.CleanupBuildArtifacts)
	deployed := newDeployment(t, shaped, seed)
	deployed.startNodes(program, folder)
	ctx, cancel := context.WithCancel(context.Background())
	requests := deployed.traffic(ctx, seed)
	pestered := deployed.pester(ctx, seed)
	roving := deployed.rove(ctx, seed)
	asking := deployed.askLimited(ctx, seed)
	deployed.run(sources{
		faults: rand.New(rand.NewPCG(seed, 1)), series: rand.New(rand.NewPCG(seed, 2)), servers: rand.New(rand.NewPCG(seed, 3)),
		restores: rand.New(rand.NewPCG(seed, 4)),
	}, *spanFlag, *timedFlag)
	cancel()
	requests.Wait()
	pestered.Wait()
	roving.Wait()
	asking.Wait()
	deployed.judgeAll(*timedFlag)
	deployed.report(t, folder)
}

// sources are the sources of randomness of a seed. Each part of the faults has its own, so that a
// seed draws the same in one whatever another one draws.
type sources struct{ faults, series, servers, restores *rand.Rand }

// run alternates between faults and calm until the span is over.
func (d *deployment) run(random sources, span time.Duration, timed bool) {
	broken := &injector{deployment: d, random: random.faults, busy: make(map[*node]bool)}
	end := time.Now().Add(span)
	for time.Now().Before(end) {
		span := min(chaosSpan, time.Until(end))
		broken.running.Go(func() { broken.chaosOfSeries(random.series, span) })
		broken.running.Go(func() { broken.chaosOfServers(random.servers, span) })
		broken.running.Go(func() { broken.chaosOfRestores(random.restores, span) })
		broken.chaos(span)
		for _, each := range d.running {
			each.awaitReady()
		}
		if timed {
			d.calm(random.faults)
		}
	}
}

// calm does planned work while nothing is broken, long enough after the last
// fault for every time bound to hold.
func (d *deployment) calm(random *rand.Rand) {
	time.Sleep(contactBound + time.Second)
	began := time.Now()
	d.history.note("calm")
	// Beside the work that is drawn below, so that a seed still draws the same.
	defer d.evacuate()()
	switch random.IntN(4) {
	case 0:
		d.replace(d.anyServer(random))
	case 1:
		d.configure(d.history.newest().Shards)
	case 2:
		d.recut(random)
	case 3:
		d.stopAndStart(d.running[random.IntN(len(d.running))])
	}
	time.Sleep(time.Until(began.Add(calmSpan)))
	d.checkServed()
}

// stopAndStart stops a node as planned and starts it again.
func (d *deployment) stopAndStart(chosen *node) {
	d.history.note("planned stop of %s", chosen.name)
	if !chosen.end(syscall.SIGTERM, graceBound) {
		d.history.violated("%s did not stop within its grace time", chosen.name)
	}
	chosen.start()
	chosen.awaitReady()
}

// checkServed checks that nearly everything was served at the end of a calm.
func (d *deployment) checkServed() {
	end := time.Now()
	served, asked := 0, 0
	d.history.mutex.Lock()
	for _, got := range d.history.replies {
		if got.Sent.Before(end.Add(-recoverFor)) || got.Failure == context.DeadlineExceeded.Error() {
			continue
		}
		asked++
		if got.Status == 200 || got.Failure != "" {
			served++
		}
	}
	d.history.mutex.Unlock()
	if asked == 0 || float64(served) < servedShare*float64(asked) {
		d.history.violated("%d of %d requests served while nothing was broken", served, asked)
	}
}

// judgeAll checks what needs the whole history.
func (d *deployment) judgeAll(timed bool) {
	arrivals := arrivalsOf(d.all())
	replies := d.history.replies
	for _, broken := range append(checkOnce(replies, arrivals), checkNeverBack(replies)...) {
		d.history.violated("%s", broken)
	}
	d.judgeTenants(arrivals, timed)
	d.judgeLimits(arrivals, timed)
	if timed {
		d.judgeTimes(replies, arrivals)
	}
	requests := make(map[string][]time.Time)
	for _, got := range replies {
		for _, service := range d.servicesOf(got) {
			requests[service] = append(requests[service], got.Sent)
		}
	}
	for _, got := range d.history.limited {
		requests[lookupName] = append(requests[lookupName], got.Sent)
	}
	for _, got := range d.history.keyed {
		requests[lookupName] = append(requests[lookupName], got.Sent)
	}
	for service, sent := range requests {
		for _, broken := range checkExtra(service, sent, arrivals) {
			d.history.violated("%s", broken)
		}
	}
}

// servicesOf returns the services that a request may have been for.
func (d *deployment) servicesOf(got reply) []string {
	switch got.Path {
	case "/tally/":
		return d.history.newestBefore(got.Ended).Shards
	case "/orders/":
		return []string{ordersName}
	}
	return []string{lookupName}
}

// judgeTimes checks the promises with bounds in time, where nothing was broken.
func (d *deployment) judgeTimes(replies []reply, arrivals []arrival) {
	for _, each := range arrivals {
		since, leaves := d.history.leaving[each.Server]
		if leaves && each.At.Sub(since) > d.drainBound+arrivalSlack && d.history.calm(since.Add(-contactBound), each.At) {
			d.history.violated("%s reached %s %s after it left", each.ID, each.Server, each.At.Sub(since))
		}
	}
	for _, broken := range d.checkDeadly() {
		d.history.violated("%s", broken)
	}
	for _, broken := range checkEvacuations(d.history, arrivals, d.known(), d.drainBound) {
		d.history.violated("%s", broken)
	}
	arrived := make(map[string]bool, len(arrivals))
	for _, each := range arrivals {
		arrived[each.ID] = true
	}
	for _, got := range replies {
		number, versioned := versionOfPath(got.Path)
		if versioned && got.Status == 404 {
			since := d.history.versions[number-1].At
			if got.Sent.Sub(since) > d.configBound && d.history.calm(since.Add(-contactBound), got.Ended) {
				d.history.violated("%s: version %d not in force at %s after %s", got.ID, number, got.Node, got.Sent.Sub(since))
			}
		}
		// What crosses the end of a kept connection and reaches no server is no loss.
		isLost := got.Failure == failureCutOff && (!got.IsKept || arrived[got.ID])
		if isLost && d.history.calm(got.Sent.Add(-contactBound), got.Ended) {
			d.history.violated("%s was cut off at %s", got.ID, got.Node)
		}
	}
}

// report writes the history and fails the test for each broken promise.
func (d *deployment) report(t *testing.T, folder string) {
	statuses := make(map[string]int)
	for _, got := range d.history.replies {
		key := fmt.Sprint(got.Status)
		if got.Failure != "" {
			key = "failure"
		}
		statuses[key]++
	}
	t.Logf("%d requests by status: %v; %d events", len(d.history.replies), statuses, len(d.history.events))
	if len(d.history.replies) == 0 || statuses["200"] == 0 {
		t.Error("nothing was served")
	}
	for _, each := range d.history.violations {
		t.Errorf("%s %s", each.At.Format(time.StampMilli), each.What)
	}
	file, err := os.Create(filepath.Join(folder, "history.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	// The history is for whoever looks into a failure: what cannot be written of it fails no test.
	defer func() { _ = file.Close() }()
	encoder := json.NewEncoder(file)
	for _, each := range d.history.events {
		_ = encoder.Encode(each)
	}
	for _, got := range append(d.history.replies, d.history.limited...) {
		_ = encoder.Encode(got)
	}
}
