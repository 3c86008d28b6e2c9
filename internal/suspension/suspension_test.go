package suspension_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/internal/suspension"
)

// TestEachSuspensionIsToldOnce, and noise of the clocks is not.
func TestEachSuspensionIsToldOnce(t *testing.T) {
	g := NewWithT(t)
	total := time.Hour
	watch := suspension.NewWatch(func() time.Duration { return total })
	g.Expect(watch.Since()).To(BeZero())
	total += 50 * time.Microsecond
	g.Expect(watch.Since()).To(BeZero())
	total += 4 * time.Second
	g.Expect(watch.Since()).To(BeNumerically("~", 4*time.Second, time.Millisecond))
	g.Expect(watch.Since()).To(BeZero())
}

// TestTheClocksAgreeWhileNothingIsSuspended.
func TestTheClocksAgreeWhileNothingIsSuspended(t *testing.T) {
	g := NewWithT(t)
	first := suspension.Total()
	g.Expect(suspension.Total() - first).To(BeNumerically("<", time.Second))
}
