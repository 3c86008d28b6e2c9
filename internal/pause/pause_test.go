package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

func TestAPauseEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		began := time.Now()
		g.Expect(For(context.Background(), time.Second)).To(BeTrue())
		g.Expect(time.Since(began)).To(Equal(time.Second))
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		g.Expect(For(ctx, time.Hour)).To(BeFalse())
		g.Expect(time.Since(began)).To(Equal(time.Second + time.Millisecond))
		g.Expect(For(ctx, 0)).To(BeFalse())
		g.Expect(For(context.Background(), -time.Second)).To(BeTrue())
	})
}

func TestAPauseDoublesUpToItsBound(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Doubled(time.Second, time.Minute, 0)).To(Equal(time.Second))
	g.Expect(Doubled(time.Second, time.Minute, 5)).To(Equal(32 * time.Second))
	g.Expect(Doubled(time.Second, time.Minute, 6)).To(Equal(time.Minute))
	g.Expect(Doubled(time.Second, time.Hour, 1000)).To(Equal(64*time.Second), "no overflow")
}
