package quota

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestAWindowForgetsOldEvents guards against counts that drop events before their span has passed,
// or all at once.
func TestAWindowForgetsOldEvents(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	window := newWindowCount(5*time.Second, now)
	for range 50 {
		window.add(2, now)
		now = now.Add(100 * time.Millisecond)
	}
	g.Expect(window.read(now)).To(BeNumerically("~", 100, 1))
	g.Expect(window.read(now.Add(2500 * time.Millisecond))).To(BeNumerically("~", 50, 3))
	window.add(-1, now.Add(2500*time.Millisecond))
	g.Expect(window.read(now.Add(2500*time.Millisecond))).To(BeNumerically("~", 50, 3), "events of older slots must not be taken back")
	wait := window.timeUntilBelow(1, now.Add(2500*time.Millisecond))
	g.Expect(window.read(now.Add(2500*time.Millisecond + wait))).To(BeNumerically("<", 1))
	g.Expect(window.read(now.Add(time.Hour))).To(BeZero())
}
