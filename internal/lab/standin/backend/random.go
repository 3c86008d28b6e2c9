package backend

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
	"github.com/bramblemast/bramblemast/internal/lab/topology"
)

// dice makes the random choices of one server from the seed of the deployment.
// It is safe for concurrent use.
type dice struct {
	mutex  sync.Mutex
	random *rand.Rand // guarded by mutex
}

func newDice(seed uint64, name string) *dice {
	return &dice{random: rand.New(rand.NewPCG(seed, xxhash.Sum64String(name)))}
}

// chance reports true for the given share of calls.
func (d *dice) chance(share float64) bool {
	if share <= 0 {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.random.Float64() < share
}

// serviceTime draws the time of one execution.
func (d *dice) serviceTime(model topology.ServiceTime, faults labapi.Faults) time.Duration {
	share, factor := model.StragglerShare, model.StragglerFactor
	if faults.StragglerFactor > 0 {
		share, factor = faults.StragglerShare, faults.StragglerFactor
	}
	duration := float64(model.Median.Std())
	if model.Spread > 0 {
		duration *= math.Exp(model.Spread * d.normal())
	}
	if d.chance(share) {
		duration *= factor
	}
	if faults.SlowFactor > 0 {
		duration *= faults.SlowFactor
	}
	return time.Duration(duration)
}

func (d *dice) normal() float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.random.NormFloat64()
}
