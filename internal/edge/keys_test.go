package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/directory"
)

// TestKeysLapseInTimeAndNotBefore: news of keys is confirmed well before it is too old to
// trust, and a request that comes when it has just become too old still counts as in time.
func TestKeysLapseInTimeAndNotBefore(t *testing.T) {
	g := NewWithT(t)
	for _, millis := range []int{2000, 3000, 5000, 10000} {
		settings := &Settings{Bounds: BoundSettings{
			ApplyMillis: 10000, DrainMillis: 10000, ContactMillis: 10000, RefuseUnconfirmedKeys: true, RevokeMillis: millis,
		}}
		bound := time.Duration(millis) * time.Millisecond
		g.Expect(settings.revocationAge()).To(BeNumerically("<", bound))
		// A call to the store, or to a node that reads it, takes its time.
		const call = 500 * time.Millisecond
		g.Expect(settings.stalenessBound() + call).To(BeNumerically("<", settings.revocationAge()))
	}
}

// TestRevocationIsStrictOnlyWhereAsked, and then needs its bound.
func TestRevocationIsStrictOnlyWhereAsked(t *testing.T) {
	g := NewWithT(t)
	lax := &Settings{Bounds: BoundSettings{ApplyMillis: 5000, DrainMillis: 5000, RevokeMillis: 1000}}
	g.Expect(lax.stalenessBound()).To(Equal(2800*time.Millisecond), "as without the bound")
	strict := &Settings{Bounds: BoundSettings{ApplyMillis: 5000, DrainMillis: 5000, RevokeMillis: 1000, RefuseUnconfirmedKeys: true}}
	g.Expect(strict.stalenessBound()).To(Equal(directory.MinStalenessBound))
	strict.Bounds.RevokeMillis = 0
	g.Expect(strict.problems()).To(ContainElement("bounds.strict_revoke wants bounds.revoke_ms"))
	tooShort := ContainElement(ContainSubstring("bounds.revoke_ms must be above 500"))
	for _, millis := range []int{1, 499, 500} {
		strict.Bounds.RevokeMillis = millis
		g.Expect(strict.revocationAge()).To(BeNumerically("<=", 0), "no news is that new")
		g.Expect(strict.problems()).To(tooShort, "%d ms", millis)
	}
	strict.Bounds.RevokeMillis = 501
	g.Expect(strict.problems()).NotTo(tooShort)
	lax.Bounds.RevokeMillis = 500
	g.Expect(lax.problems()).NotTo(tooShort, "it has no effect")
	strict.Bounds.RevokeMillis = -1
	g.Expect(strict.problems()).To(ContainElement("bounds.revoke_ms is negative"))
}
