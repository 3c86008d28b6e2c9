package latency

import (
	"math"
	"math/bits"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// subBucketBits is the number of leading bits of a latency that choose its
	// bucket within a power of two; it bounds the rounding to one eighth.
	subBucketBits = 3
	subBuckets    = 1 << subBucketBits
	// bucketCount covers every non-negative time.Duration.
	bucketCount = (64 - subBucketBits) * subBuckets
)

// window counts the samples of one period.
type window struct {
	total   atomic.Uint64
	buckets [bucketCount]atomic.Uint32
}

// distribution is the recent latencies of one service.
type distribution struct {
	current  atomic.Pointer[window]
	previous atomic.Pointer[window]
	// rotateAt is the moment, in nanoseconds since the epoch, at which the
	// current window becomes the previous one.
	rotateAt atomic.Int64
	// rotation makes one goroutine rotate at a time.
	rotation sync.Mutex
}

func newDistribution(now time.Time) *distribution {
	d := &distribution{}
	d.current.Store(&window{})
	d.previous.Store(&window{})
	d.rotateAt.Store(now.Add(Window).UnixNano())
	return d
}

func (d *distribution) observe(latency time.Duration, now time.Time) {
	if now.UnixNano() >= d.rotateAt.Load() {
		d.rotate(now)
	}
	current := d.current.Load()
	current.buckets[bucketOf(latency)].Add(1)
	current.total.Add(1)
}

// rotate starts a new window. After a pause of more than a window, the samples
// of both windows are too old to be kept.
func (d *distribution) rotate(now time.Time) {
	d.rotation.Lock()
	defer d.rotation.Unlock()
	late := now.UnixNano() - d.rotateAt.Load()
	if late < 0 {
		return
	}
	if late >= int64(Window) {
		d.previous.Store(&window{})
	} else {
		d.previous.Store(d.current.Load())
	}
	d.current.Store(&window{})
	d.rotateAt.Store(now.Add(Window).UnixNano())
}

func (d *distribution) quantile(quantile float64) time.Duration {
	current, previous := d.current.Load(), d.previous.Load()
	total := current.total.Load() + previous.total.Load()
	if total < MinimumSamples {
		return 0
	}
	wanted := uint64(math.Ceil(min(max(quantile, 0), 1) * float64(total)))
	var seen uint64
	highest := 0
	for bucket := range bucketCount {
		count := uint64(current.buckets[bucket].Load()) + uint64(previous.buckets[bucket].Load())
		if count == 0 {
			continue
		}
		highest = bucket
		seen += count
		if seen >= wanted {
			break
		}
	}
	return upperBound(highest)
}

// bucketOf returns the bucket of a latency. Latencies below subBuckets
// nanoseconds have a bucket each; above, each power of two has subBuckets.
func bucketOf(latency time.Duration) int {
	value := uint64(max(latency, 0))
	if value < subBuckets {
		return int(value)
	}
	shift := bits.Len64(value) - 1 - subBucketBits
	return (shift+1)*subBuckets + int(value>>shift) - subBuckets
}

// upperBound returns the greatest latency that falls into a bucket.
func upperBound(bucket int) time.Duration {
	if bucket < subBuckets {
		return time.Duration(bucket)
	}
	shift := bucket/subBuckets - 1
	leading := uint64(bucket%subBuckets + subBuckets)
	return time.Duration((leading+1)<<shift - 1)
}
