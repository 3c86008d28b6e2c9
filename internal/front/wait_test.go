package front

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestRefusedClientsDoNotReturnTogether: the times that they are told spread, and those come
// first that were closest to being let in.
func TestRefusedClientsDoNotReturnTogether(t *testing.T) {
	g := NewWithT(t)
	g.Expect(spreadWait(greatestWait, 0)).To(Equal(time.Second))
	g.Expect(spreadWait(greatestWait, 0.5)).To(Equal(1500 * time.Millisecond))
	g.Expect(spreadWait(greatestWait, 1)).To(Equal(greatestWait))
	g.Expect(spreadWait(leastRoomWait, 0)).To(Equal(500 * time.Millisecond))
}
