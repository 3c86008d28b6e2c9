package defaults_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/internal/defaults"
)

func TestOnlyWhatIsLeftOutIsReplaced(t *testing.T) {
	g := NewWithT(t)
	left, negative, given, span := 0, -1, 3, time.Duration(0)
	defaults.Set(&left, 7)
	defaults.Set(&negative, 7)
	defaults.Set(&given, 7)
	defaults.Set(&span, time.Second)
	g.Expect([]int{left, negative, given}).To(Equal([]int{7, 7, 3}))
	g.Expect(span).To(Equal(time.Second))
}
