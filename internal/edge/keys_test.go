package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/directory"
)

// TestKeysLapseInTimeAndNotBefore: a node confirms its copy of the keys well before the copy becomes
// too old to trust. The copy counts as too old before the revocation bound, so that a request that
// arrives at that moment is still handled within the bound.
func TestKeysLapseInTimeAndNotBefore(t *testing.T) {
	g := NewWithT(t)
	for _, millis := range []int{2000, 3000, 5000, 10000} {
		settings := &Settings{Bounds: BoundSettings{
			ApplyMillis: 10000, DrainMillis: 10000, ContactMillis: 10000, RefuseUnconfirmedKeys: true, RevokeMillis: millis,
		}}
		bound := time.Duration(millis) * time.Millisecond
		g.Expect(settings.revocationAge()).To(BeNumerically("<", bound))
		// Time of a call to the store, or to a node that reads it.
		const call = 500 * time.Millisecond
		g.Expect(settings.stalenessBound() + call).To(BeNumerically("<", settings.revocationAge()))
	}
}

// TestRevocationIsStrictOnlyWhereAsked: the revocation bound has an effect only with strict_revoke,
// which needs a valid bound.
func TestRevocationIsStrictOnlyWhereAsked(t *testing.T) {
	g := NewWithT(t)
	lax := &Settings{Bounds: BoundSettings{ApplyMillis: 5000, DrainMillis: 5000, RevokeMillis: 1000}}
	g.Expect(lax.stalenessBound()).To(Equal(2800*time.Millisecond), "the revocation bound must have no effect")
	strict := &Settings{Bounds: BoundSettings{ApplyMillis: 5000, DrainMillis: 5000, RevokeMillis: 1000, RefuseUnconfirmedKeys: true}}
	g.Expect(strict.stalenessBound()).To(Equal(directory.MinStalenessBound))
	strict.Bounds.RevokeMillis = 0
	g.Expect(strict.problems()).To(ContainElement("bounds.strict_revoke needs bounds.revoke_ms"))
	tooShort := ContainElement(ContainSubstring("bounds.revoke_ms must be above 500"))
	for _, millis := range []int{1, 499, 500} {
		strict.Bounds.RevokeMillis = millis
		g.Expect(strict.revocationAge()).To(BeNumerically("<=", 0), "no copy of the keys is that fresh")
		g.Expect(strict.problems()).To(tooShort, "%d ms", millis)
	}
	strict.Bounds.RevokeMillis = 501
	g.Expect(strict.problems()).NotTo(tooShort)
	lax.Bounds.RevokeMillis = 500
	g.Expect(lax.problems()).NotTo(tooShort, "the bound has no effect")
	strict.Bounds.RevokeMillis = -1
	g.Expect(strict.problems()).To(ContainElement("bounds.revoke_ms is negative"))
}
