package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bramblemast/bramblemast/internal/lab/faultproxy"
	"github.com/bramblemast/bramblemast/platform/platformtest"
)

// Requests that end each server that begins to run them. Some seconds of faults and of calm
// pass for each path.
const (
	deadlyPrefix = "/tally/deadly"
	deadlyRuns   = 10 * time.Millisecond
	deadlyEvery  = 250 * time.Millisecond
	deadlyCount  = 80
	// deadlyPause is without such requests, so that a calm may end without a server lost.
	deadlyPause = 4 * time.Second
	// deadlyTries is how many tries of one may reach servers later than contactBound after
	// the third server has ended.
	deadlyTries = 3
)

// pester sends deadly requests of one path after the other to all nodes until ctx ends.
func (d *deployment) pester(ctx context.Context, seed uint64) *sync.WaitGroup {
	running := &sync.WaitGroup{}
	random := rand.New(rand.NewPCG(seed, deadlyCount))
	running.Go(func() {
		for number := 0; ctx.Err() == nil; number++ {
			d.pesterWith(ctx, random, fmt.Sprint(deadlyPrefix, number))
			sleep(ctx, deadlyPause)
		}
	})
	return running
}

func (d *deployment) pesterWith(ctx context.Context, random *rand.Rand, path string) {
	d.mutex.Lock()
	d.deadlyPaths = append(d.deadlyPaths, path)
	d.mutex.Unlock()
	var tries sync.WaitGroup
	defer tries.Wait()
	for number := 0; number < deadlyCount && ctx.Err() == nil; number++ {
		chosen := d.running[random.IntN(len(d.running))]
		tries.Go(func() {
			client := newClient(chosen.clients, standingKey(standingTenant(0)))
			defer client.HTTP.CloseIdleConnections()
			// Its answer does not matter: what reaches servers is counted.
			_, _ = client.Do(ctx, "GET", host, path, fmt.Sprintf("d%sx%d", path[len(deadlyPrefix):], number), "", callerDeadline)
		})
		sleep(ctx, deadlyEvery)
	}
}

func sleep(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// crash ends a server whose link refuses connections from then on, and starts another one
// in its place.
func (d *deployment) crash(ended *platformtest.Server) {
	// The rule stays: the next incarnation has a link of its own.
	_, err := d.proxy.AddRule(faultproxy.Rule{Selector: faultproxy.Selector{Link: ended.ID}, Faults: faultproxy.Faults{Refuse: true}})
	if err != nil {
		d.history.violated("%s cannot be made to refuse: %v", ended.ID, err)
		return
	}
	ended.Crash()
	d.history.note("server %s ended under a deadly request", ended.ID)
	time.Sleep(platformtest.ServerRestartDelay)
	d.mutex.Lock()
	isOver := d.isOver
	isInUse := slices.ContainsFunc(d.byService[ended.Service], func(each *server) bool { return each.Server == ended })
	d.mutex.Unlock()
	if isOver {
		return
	}
	if isInUse {
		// The new one first, so that the service always has one that others can draw.
		d.startServer(ended.Service)
		d.forgetServer(ended)
	}
	d.store.Remove("servers/" + ended.ID)
}

// forgetServer takes a server out of those of its service.
func (d *deployment) forgetServer(gone *platformtest.Server) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.byService[gone.Service] = slices.DeleteFunc(slices.Clone(d.byService[gone.Service]), func(each *server) bool {
		return each.Server == gone
	})
}

// checkDeadly checks that deadly requests were kept from servers where nothing was broken.
func (d *deployment) checkDeadly() []string {
	var broken []string
	for _, path := range d.deadlyPaths {
		tries, runs := d.deadly.LateAttempts(path, contactBound, func(run platformtest.DeadlyRun) bool {
			return d.history.calm(run.At.Add(-contactBound), run.At)
		})
		d.t.Logf("%s: %d late tries, %d runs", path, tries, runs)
		if tries > deadlyTries {
			broken = append(broken, fmt.Sprintf("%d tries of %s reached servers after it had ended three", tries, path))
		}
	}
	return broken
}
