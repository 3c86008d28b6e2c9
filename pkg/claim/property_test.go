package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/bramblemast/bramblemast/pkg/configstore"
	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// backendResult is what became of a request that was sent.
type backendResult int

const (
	ran backendResult = iota
	refusedBeforeRun
	ranReplyLost
	lostBeforeRun
)

// crashPoint is where the process of an attempt dies.
type crashPoint int

const (
	noCrash crashPoint = iota
	crashAfterAcquire
	crashAfterSend
)

// attempt is one try of a caller to run a request through one node.
type attempt struct {
	node, key int
	content   byte
	start     time.Duration
	pause     time.Duration
	result    backendResult
	crash     crashPoint
}

// storeEvent is a fault of the store.
type storeEvent struct {
	at     time.Duration
	fault  configstore.WriteFault
	count  int
	outage time.Duration
}

type scenario struct {
	attempts []attempt
	events   []storeEvent
}

const scenarioKeys = 2

func drawScenario(t *rapid.T) scenario {
	moments := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.IntRange(0, 200).Draw(t, "moment")) * 100 * time.Millisecond
	})
	attempts := rapid.Custom(func(t *rapid.T) attempt {
		return attempt{
			node:    rapid.IntRange(0, 2).Draw(t, "node"),
			key:     rapid.IntRange(0, scenarioKeys-1).Draw(t, "key"),
			content: rapid.SampledFrom([]byte("aaab")).Draw(t, "content"),
			start:   moments.Draw(t, "start"),
			pause:   rapid.SampledFrom([]time.Duration{0, 0, time.Second, time.Minute}).Draw(t, "pause"),
			result:  rapid.SampledFrom([]backendResult{ran, refusedBeforeRun, refusedBeforeRun, ranReplyLost, lostBeforeRun}).Draw(t, "result"),
			crash:   rapid.SampledFrom([]crashPoint{noCrash, noCrash, noCrash, crashAfterAcquire, crashAfterSend}).Draw(t, "crash"),
		}
	})
	events := rapid.Custom(func(t *rapid.T) storeEvent {
		return storeEvent{
			at:     moments.Draw(t, "at"),
			fault:  rapid.SampledFrom([]configstore.WriteFault{configstore.ReplyLost, configstore.RequestLost, configstore.CommitLate}).Draw(t, "fault"),
			count:  rapid.IntRange(0, 6).Draw(t, "count"),
			outage: rapid.SampledFrom([]time.Duration{0, 0, 500 * time.Millisecond, 5 * time.Second}).Draw(t, "outage"),
		}
	})
	return scenario{
		attempts: rapid.SliceOfN(attempts, 2, 12).Draw(t, "attempts"),
		events:   rapid.SliceOfN(events, 0, 8).Draw(t, "events"),
	}
}

// oracle counts executions and notes what is wrong.
type oracle struct {
	mutex sync.Mutex
	// executions, stuck and problems are guarded by mutex.
	executions [scenarioKeys]int
	// stuck is set for keys that an attempt left without a release.
	stuck    [scenarioKeys]bool
	problems []string
}

func (o *oracle) execute(key int) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.executions[key]++
	if o.executions[key] > 1 {
		o.problems = append(o.problems, fmt.Sprintf("key %d ran %d times", key, o.executions[key]))
	}
}

func (o *oracle) hold(key int) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.stuck[key] = true
}

func (o *oracle) problem(format string, arguments ...any) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.problems = append(o.problems, fmt.Sprintf(format, arguments...))
}

func requestOf(key int, content byte) Request {
	return Request{Tenant: "t", Key: fmt.Sprint("key", key), Content: []byte{content}}
}

// run makes one attempt as a node does.
func (a attempt) run(claimer *Claimer, o *oracle) {
	ctx := context.Background()
	claim, err := claimer.Acquire(ctx, requestOf(a.key, a.content))
	if err != nil {
		var done *Done
		if errors.As(err, &done) && string(done.Result) != "result" {
			o.problem("key %d: done with result %q", a.key, done.Result)
		}
		return
	}
	time.Sleep(a.pause)
	if a.crash == crashAfterAcquire {
		o.hold(a.key)
		return
	}
	if err := claim.MaySend(); err != nil {
		if outcome.Of(err) != outcome.NotRun {
			o.problem("MaySend: %v", err)
		}
		claim.Release(ctx)
		return
	}
	if a.result == ran || a.result == ranReplyLost {
		o.execute(a.key)
	}
	if a.crash == crashAfterSend {
		o.hold(a.key)
		return
	}
	switch a.result {
	case ran:
		o.hold(a.key)
		claim.Complete(ctx, []byte("result"))
	case refusedBeforeRun:
		claim.Release(ctx)
	default:
		o.hold(a.key)
		claim.Abandon(ctx)
	}
}

func (e storeEvent) apply(store *configstore.Memory) {
	time.Sleep(e.at)
	store.FailWrites(e.fault, e.count)
	if e.outage > 0 {
		store.SetUnavailable(true)
		time.Sleep(e.outage)
		store.SetUnavailable(false)
	}
}

// play runs a scenario in virtual time and returns what was wrong.
func (s scenario) play(t *testing.T) []string {
	o := &oracle{}
	synctest.Test(t, func(*testing.T) {
		store := configstore.NewMemory()
		ctx, cancel := context.WithCancel(context.Background())
		var claimers []*Claimer
		for range 3 {
			claimer := New(Options{Store: store, Node: "node"})
			claimers = append(claimers, claimer)
			go claimer.Run(ctx)
		}
		for _, event := range s.events {
			go event.apply(store)
		}
		var group sync.WaitGroup
		for _, each := range s.attempts {
			group.Go(func() {
				time.Sleep(each.start)
				each.run(claimers[each.node], o)
			})
		}
		group.Wait()
		time.Sleep(time.Minute)
		store.FailWrites(configstore.ReplyLost, 0)
		time.Sleep(5 * time.Minute)
		s.checkFreeKeys(claimers[0], o)
		cancel()
		synctest.Wait()
	})
	return o.problems
}

// checkFreeKeys checks that a key that every attempt released, or never got,
// can be claimed again: what was told to be not run left nothing behind.
func (s scenario) checkFreeKeys(claimer *Claimer, o *oracle) {
	for key := range scenarioKeys {
		if o.stuck[key] {
			continue
		}
		claim, err := claimer.Acquire(context.Background(), requestOf(key, 'a'))
		if err != nil {
			o.problem("key %d should be free: %v", key, err)
			continue
		}
		claim.Release(context.Background())
	}
}

// TestAtMostOnceUnderFaults plays random attempts of three nodes for the same
// keys with lost replies, late commits, outages, pauses and crashes at each
// step, and checks that no key runs twice and that nothing is left behind.
func TestAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if problems := drawScenario(rt).play(t); len(problems) > 0 {
			rt.Fatalf("%v", problems)
		}
	})
}
