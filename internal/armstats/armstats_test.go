package armstats_test

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/internal/armstats"
	"github.com/bramblemast/bramblemast/pkg/template"
)

var key = template.Key{Tenant: "valgdata", Name: "tally"}

func answered(latency time.Duration, coverage float64) armstats.Sample {
	return armstats.Sample{Latency: latency, Coverage: coverage, Primary: 4, Extra: 1}
}

var _ = Describe("Recorder", func() {
	It("keeps the figures of each arm apart", func() {
		recorder := armstats.NewRecorder()
		recorder.Record(key, 3, "control", answered(10*time.Millisecond, 1))
		recorder.Record(key, 3, "control", answered(30*time.Millisecond, 0.5))
		recorder.Record(key, 3, "hedged", armstats.Sample{Result: armstats.Refused})
		snapshot := recorder.Snapshot(key)

		Expect(snapshot.Revision).To(BeEquivalentTo(3))
		Expect(snapshot.Arms).To(HaveLen(2))
		control, hedged := &snapshot.Arms[0], &snapshot.Arms[1]
		Expect(control.Requests()).To(BeEquivalentTo(2))
		Expect(control.CoverageMean()).To(Equal(0.75))
		Expect(control.CoverageMinimum).To(Equal(0.5))
		Expect(control.ExtraLoadRatio()).To(Equal(0.25))
		Expect(control.Quantile(0.99)).To(BeNumerically("~", 30*time.Millisecond, 300*time.Microsecond))
		Expect(hedged.Refused).To(BeEquivalentTo(1))
		Expect(hedged.Answered).To(BeZero())
	})

	It("starts afresh with a newer revision and leaves out an older one", func() {
		recorder := armstats.NewRecorder()
		recorder.Record(key, 3, "control", answered(time.Millisecond, 1))
		recorder.Record(key, 4, "control", answered(time.Millisecond, 1))
		recorder.Record(key, 3, "control", answered(time.Millisecond, 0))
		snapshot := recorder.Snapshot(key)
		Expect(snapshot.Revision).To(BeEquivalentTo(4))
		Expect(snapshot.Arms[0].Requests()).To(BeEquivalentTo(1))
		Expect(snapshot.Arms[0].CoverageMinimum).To(Equal(1.0))
	})

	It("loses no request under concurrent recording", func() {
		recorder := armstats.NewRecorder()
		const writers, each = 8, 500
		var group sync.WaitGroup
		for range writers {
			group.Go(func() {
				for range each {
					recorder.Record(key, 1, "control", answered(time.Millisecond, 1))
					recorder.Snapshot(key)
				}
			})
		}
		group.Wait()
		Expect(recorder.Snapshot(key).Arms[0].Answered).To(BeEquivalentTo(writers * each))
	})

	It("holds a latency beyond its range at the end of the range", func() {
		recorder := armstats.NewRecorder()
		recorder.Record(key, 1, "control", answered(time.Hour, 1))
		recorder.Record(key, 1, "control", answered(-time.Second, 1))
		Expect(recorder.Snapshot(key).Arms[0].Quantile(1)).To(BeNumerically("~", 2*time.Minute, 2*time.Second))
	})

	It("is empty for an unknown or forgotten template", func() {
		recorder := armstats.NewRecorder()
		recorder.Record(key, 1, "control", answered(time.Millisecond, 1))
		recorder.Forget(key)
		Expect(recorder.Snapshot(key)).To(Equal(armstats.Snapshot{}))
	})
})

var _ = Describe("Merge", func() {
	snapshotOf := func(revision uint64, latencies ...time.Duration) armstats.Snapshot {
		recorder := armstats.NewRecorder()
		for _, latency := range latencies {
			recorder.Record(key, revision, "control", answered(latency, 1))
		}
		return recorder.Snapshot(key)
	}

	It("gives the quantiles over all nodes, not a mean of quantiles", func() {
		slow := snapshotOf(2, 400*time.Millisecond)
		fast := snapshotOf(2, time.Millisecond, time.Millisecond, time.Millisecond)
		merged := armstats.Merge(slow, fast)
		Expect(merged.Arms[0].Answered).To(BeEquivalentTo(4))
		Expect(merged.Arms[0].Quantile(0.5)).To(BeNumerically("~", time.Millisecond, 20*time.Microsecond))
		Expect(merged.Arms[0].Quantile(0.99)).To(BeNumerically("~", 400*time.Millisecond, 4*time.Millisecond))
	})

	It("counts the newest revision only", func() {
		merged := armstats.Merge(snapshotOf(2, time.Second), snapshotOf(3, time.Millisecond))
		Expect(merged.Revision).To(BeEquivalentTo(3))
		Expect(merged.Arms[0].Answered).To(BeEquivalentTo(1))
	})

	It("carries the histogram over the wire without loss", func() {
		sent := snapshotOf(1, time.Millisecond, 20*time.Millisecond, time.Second).Arms[0]
		encoded, err := sent.EncodeLatency()
		Expect(err).NotTo(HaveOccurred())
		var received armstats.Figures
		Expect(received.DecodeLatency(encoded)).To(Succeed())
		for _, quantile := range []float64{0.1, 0.5, 0.99, 1} {
			Expect(received.Quantile(quantile)).To(Equal(sent.Quantile(quantile)))
		}
	})

	It("refuses a broken histogram", func() {
		var received armstats.Figures
		Expect(received.DecodeLatency("not a histogram")).NotTo(Succeed())
		Expect(received.DecodeLatency("")).NotTo(Succeed())
	})
})
