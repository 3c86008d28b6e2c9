package front

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestRetryTimesAreSpread checks that retry times are spread, and that the clients closest
// to admission retry first.
func TestRetryTimesAreSpread(t *testing.T) {
	g := NewWithT(t)
	g.Expect(spreadWait(maxRetryAfter, 0)).To(Equal(time.Second))
	g.Expect(spreadWait(maxRetryAfter, 0.5)).To(Equal(1500 * time.Millisecond))
	g.Expect(spreadWait(maxRetryAfter, 1)).To(Equal(maxRetryAfter))
	g.Expect(spreadWait(minOverloadWait, 0)).To(Equal(500 * time.Millisecond))
}
