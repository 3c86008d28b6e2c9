package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/directory"
)

// keptRegistry takes every entry.
type keptRegistry struct{}

func (keptRegistry) Register(context.Context, directory.Node, time.Duration) (uint64, error) {
	return 7, nil
}

func (keptRegistry) Renew(context.Context, uint64) (bool, error) { return true, nil }

// TestANodeKnowsWhetherItWasListedBeforeItStarted: its own entry as it has just written it says nothing of the others'.
func TestANodeKnowsWhetherItWasListedBeforeItStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		node, other := directory.Node{Name: "n", Zone: "z"}, directory.Node{Name: "other", Zone: "z"}
		wasListed := func(before directory.Node) bool {
			tested := &registration{registry: keptRegistry{}, node: node, logger: hclog.NewNullLogger()}
			tested.found(directory.Entry{Node: &before})
			ctx, stop := context.WithCancel(t.Context())
			ended := make(chan error)
			go func() { ended <- tested.run(ctx) }()
			synctest.Wait()
			tested.found(directory.Entry{Node: &node, Lease: 7})
			stop()
			g.Expect(<-ended).To(Succeed())
			return tested.wasListed.Load()
		}
		g.Expect(wasListed(node)).To(BeTrue())
		moved := node
		moved.PeerAddress = "elsewhere:1"
		g.Expect(wasListed(moved)).To(BeTrue(), "others choose coordinators by names")
		g.Expect(wasListed(other)).To(BeFalse())
	})
}
