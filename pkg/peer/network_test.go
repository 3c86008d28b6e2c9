package peer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/peer"
)

// inNetwork runs body with two connected nodes in virtual time.
func inNetwork(t *testing.T, body func(t *testing.T, network *peer.Network, a, b *peer.MemoryTransport)) {
	synctest.Test(t, func(t *testing.T) {
		network := peer.NewNetwork(1)
		defer network.Close()
		network.SetLatency(func(_, _ peer.Address) time.Duration { return 10 * time.Millisecond })
		a, b := network.Transport("a"), network.Transport("b")
		b.Handle(echoKind, echo)
		body(t, network, a, b)
	})
}

func TestNetworkLatencyAndCounters(t *testing.T) {
	inNetwork(t, func(t *testing.T, _ *peer.Network, a, b *peer.MemoryTransport) {
		start := time.Now()
		if _, err := call(a, "b", echoKind, "x", time.Second); err != nil {
			t.Fatal(err)
		}
		if elapsed := time.Since(start); elapsed != 20*time.Millisecond {
			t.Errorf("a round trip took %v, want 20ms", elapsed)
		}
		if out, in := a.Stats(), b.Stats(); out.BytesOut == 0 || out.BytesOut != in.BytesIn || out.BytesIn != in.BytesOut {
			t.Errorf("counters differ: %+v and %+v", out, in)
		}
	})
}

func TestNetworkCutIsOneWayOrBoth(t *testing.T) {
	inNetwork(t, func(t *testing.T, network *peer.Network, a, b *peer.MemoryTransport) {
		handled := b.Stats().MessagesIn
		network.CutOneWay([]peer.Address{"b"}, []peer.Address{"a"})
		if _, err := call(a, "b", echoKind, "x", time.Second); outcome.Of(err) != outcome.Unknown {
			t.Errorf("lost reply: %v", err)
		}
		if b.Stats().MessagesIn != handled+1 {
			t.Error("the request should have arrived")
		}
		network.Heal()
		if _, err := call(a, "b", echoKind, "x", time.Second); err != nil {
			t.Errorf("after heal: %v", err)
		}
	})
}

func TestNetworkFreezeHoldsMessagesAndCalls(t *testing.T) {
	inNetwork(t, func(t *testing.T, network *peer.Network, a, _ *peer.MemoryTransport) {
		network.Freeze("b")
		time.AfterFunc(5*time.Second, func() { network.Thaw("b") })
		start := time.Now()
		if _, err := call(a, "b", echoKind, "x", time.Minute); err != nil {
			t.Fatal(err)
		}
		if elapsed := time.Since(start); elapsed < 5*time.Second {
			t.Errorf("a frozen node answered after %v", elapsed)
		}
		network.Freeze("a")
		time.AfterFunc(5*time.Second, func() { network.Thaw("a") })
		start = time.Now()
		call(a, "b", echoKind, "x", time.Second)
		if elapsed := time.Since(start); elapsed < 5*time.Second {
			t.Errorf("a frozen node's call returned after %v", elapsed)
		}
	})
}

func TestNetworkRefusesWhatIsGone(t *testing.T) {
	inNetwork(t, func(t *testing.T, _ *peer.Network, a, b *peer.MemoryTransport) {
		b.Close()
		if _, err := call(a, "b", echoKind, "x", time.Second); outcome.Of(err) != outcome.NotRun {
			t.Errorf("call to a closed transport: %v", err)
		}
	})
}
