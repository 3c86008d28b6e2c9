package directory_test

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/directory"
)

// TestANodeEntryOfALaterEraProvesNothing guards against a store that counts as complete too early after a
// restore: another writer had left a node's entry with a number that no era has.
func TestANodeEntryOfALaterEraProvesNothing(t *testing.T) {
	g := NewWithT(t)
	batchWith := func(eras ...uint64) directory.Batch {
		batch := directory.Batch{Era: 5}
		for _, era := range eras {
			batch.Entries = append(batch.Entries, directory.Entry{Node: &directory.Node{Name: "n", Era: era}})
		}
		return batch
	}
	g.Expect(batchWith(4, math.MaxUint64).IsSettled()).To(BeFalse())
	g.Expect(batchWith(math.MaxUint64).IsSettled()).To(BeFalse())
	g.Expect(batchWith(4, 5).IsSettled()).To(BeTrue())
}
