package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bramblemast/bramblemast/platform/platformtest"
)

// Restores of the store from a copy that is some seconds old. They overlap with all other faults, so that nodes are cut
// off, start or are suspended while the store goes back, and changes come just before and just after.
const (
	// greatestCopyAge is how old the copy is at most, greatestStoreAway for how long the store is away before it comes
	// back, and greatestWriteAgain how long the operator and the servers take then.
	greatestCopyAge    = 4 * time.Second
	greatestStoreAway  = 1500 * time.Millisecond
	greatestWriteAgain = 1200 * time.Millisecond
	restoresInSeries   = 3
)

// restores is the catalogue of them.
var restores = []fault{
	{"store restored", restoreStore}, {"store restored in series", restoreInSeries}, {"store restored at a change", restoreAtChange},
}

// chaosOfRestores restores the store now and then for a span of time. It has a source of randomness of its own, so that
// the other faults of a seed stay the same.
func (i *injector) chaosOfRestores(random *rand.Rand, span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); {
		chosen := restores[random.IntN(len(restores))]
		drawn := rand.New(rand.NewPCG(random.Uint64(), 0))
		i.running.Go(func() { i.inject(chosen, 0, drawn) })
		time.Sleep(upTo(drawn, 2*time.Second) + 2*time.Second)
	}
}

func upTo(random *rand.Rand, greatest time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(greatest)))
}

// goBack brings the store back from a copy, after it was away for a moment.
func (d *deployment) goBack(copied *platformtest.StoreSnapshot, away time.Duration) {
	d.store.SetFaults(platformtest.StoreFaults{Status: 503})
	time.Sleep(away)
	d.store.Restore(copied)
	d.store.SetFaults(platformtest.StoreFaults{})
	d.history.note("store in era %d", d.store.Era())
}

func restoreStore(i *injector, random *rand.Rand) (string, func()) {
	age, away, again := upTo(random, greatestCopyAge), upTo(random, greatestStoreAway), upTo(random, greatestWriteAgain)
	copied := i.deployment.store.Snapshot()
	time.Sleep(age)
	i.deployment.goBack(copied, away)
	time.Sleep(again)
	i.deployment.store.RewriteLost()
	return fmt.Sprintf("%s old, away for %s, written again after %s", age, away, again), func() {}
}

// restoreInSeries restores the store again before all is written again.
func restoreInSeries(i *injector, random *rand.Rand) (string, func()) {
	age := upTo(random, greatestCopyAge)
	copied := i.deployment.store.Snapshot()
	time.Sleep(age)
	for range restoresInSeries {
		i.deployment.goBack(copied, upTo(random, greatestStoreAway/2))
		time.Sleep(upTo(random, greatestWriteAgain))
		if random.IntN(2) == 0 {
			i.deployment.store.RewriteLost()
			copied = i.deployment.store.Snapshot()
		}
	}
	i.deployment.store.RewriteLost()
	return fmt.Sprintf("%d times, %s old", restoresInSeries, age), func() {}
}

// restoreAtChange changes the configuration just before the store goes back and just after.
func restoreAtChange(i *injector, random *rand.Rand) (string, func()) {
	age := upTo(random, greatestCopyAge)
	copied := i.deployment.store.Snapshot()
	time.Sleep(age)
	i.deployment.configure(i.deployment.history.newest().Shards)
	time.Sleep(upTo(random, 50*time.Millisecond))
	i.deployment.goBack(copied, upTo(random, greatestStoreAway/3))
	i.deployment.configure(i.deployment.history.newest().Shards)
	time.Sleep(upTo(random, greatestWriteAgain))
	i.deployment.store.RewriteLost()
	return fmt.Sprintf("%s old", age), func() {}
}
