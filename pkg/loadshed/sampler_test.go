package loadshed_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/loadshed"
)

// sampleRetries simulates clients that send one request each interval for the span of a sampling
// value, each with its own content, and retry it under a new id half a second later. It returns the
// number of retries, and how many of them got the sampling value of the first try.
func sampleRetries(sampler *loadshed.Sampler, interval time.Duration) (retries, same int) {
	const span, pause = 10 * time.Second, 500 * time.Millisecond
	random := rand.New(rand.NewPCG(3, 3))
	type first struct {
		content, sample uint64
		at              time.Duration
	}
	var waiting []first
	begin := time.Unix(1000, 0)
	for at := time.Duration(0); at < span; at += interval {
		for len(waiting) > 0 && waiting[0].at+pause <= at {
			retries++
			if sampler.Sample(waiting[0].content, random.Uint64(), begin.Add(at)) == waiting[0].sample {
				same++
			}
			waiting = waiting[1:]
		}
		content := random.Uint64()
		waiting = append(waiting, first{content, sampler.Sample(content, random.Uint64(), begin.Add(at)), at})
	}
	return retries, same
}

// TestNobodyGainsByANewID: at nodes with few and with many requests, a second try gets the sampling
// value of the first one, except for the few requests that share a counter with another one.
func TestNobodyGainsByANewID(t *testing.T) {
	for name, interval := range map[string]time.Duration{
		"2 a second": 500 * time.Millisecond, "50 a second": 20 * time.Millisecond, "400 a second": 2500 * time.Microsecond,
	} {
		t.Run(name, func(t *testing.T) {
			retries, same := sampleRetries(&loadshed.Sampler{}, interval)
			t.Log(same, "of", retries)
			NewWithT(t).Expect(float64(same)).To(BeNumerically(">=", 0.9*float64(retries)))
		})
	}
}

// TestLotsHoldNoMoreThanTheyNeed: the number of counters follows the number of requests in a span,
// is bounded, and shrinks after the load. Requests with the same content need only one counter.
func TestLotsHoldNoMoreThanTheyNeed(t *testing.T) {
	g := NewWithT(t)
	sampler := &loadshed.Sampler{}
	sampleRetries(sampler, 500*time.Millisecond)
	g.Expect(sampler.Slots()).To(Equal(1024), "two requests a second")
	for number := range 100_000 {
		sampler.Sample(7, uint64(number), time.Unix(1010, 0))
	}
	g.Expect(sampler.Slots()).To(Equal(1024), "all requests have the same content")
	random := rand.New(rand.NewPCG(4, 4))
	for number := range 100_000 {
		sampler.Sample(random.Uint64(), uint64(number), time.Unix(1020, 0))
	}
	g.Expect(sampler.Slots()).To(Equal(65536), "10,000 requests a second")
	sampler.Sample(7, 1, time.Unix(1030, 0))
	sampler.Sample(7, 1, time.Unix(1040, 0))
	g.Expect(sampler.Slots()).To(Equal(1024))
}

// TestManyThatAskTheSameDrawForThemselves: of many requests with the same content, only a few get
// the same sampling value, also while the number of counters grows.
func TestManyThatAskTheSameDrawForThemselves(t *testing.T) {
	g := NewWithT(t)
	sampler, random, countBySample := &loadshed.Sampler{}, rand.New(rand.NewPCG(5, 5)), make(map[uint64]int)
	for range 100_000 {
		sampler.Sample(random.Uint64(), random.Uint64(), time.Unix(1000, 0))
		countBySample[sampler.Sample(7, random.Uint64(), time.Unix(1000, 0))]++
	}
	for _, count := range countBySample {
		g.Expect(count).To(BeNumerically("<=", 6), "two for each of three numbers of counters")
	}
}
