package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/front"
)

// Times of a graceful stop.
const (
	// notReadyDelay is how long a stopping node continues to accept connections, so that the platform
	// can notice that it is not ready.
	notReadyDelay = 2600 * time.Millisecond
	// stopReserve is the part of the grace time that is not used for draining.
	stopReserve = 300 * time.Millisecond
	// answerReserve is how long before the end of draining the requests that still run are answered:
	// time to write the answers and for clients at some distance to read them.
	answerReserve = 200 * time.Millisecond
	// startingDivisor divides the grace time: after this fraction of it, requests that have not
	// reached a server are left to other nodes. The rest is for those that have.
	startingDivisor = 2
)

// openReady opens the listener for the readiness probes of the platform.
func (n *Node) openReady() error {
	settings := n.options.Settings
	opened, err := front.Listen(settings.probeListener(settings.Listen.Ready, n.readyHandler()))
	if err != nil {
		return errors.Wrap(err, "listen for readiness")
	}
	n.readyListener = opened
	return nil
}

func (n *Node) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.options.ReadyPath, func(writer http.ResponseWriter, _ *http.Request) {
		if !n.state.ready() {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// awaitStop waits for the end of ctx, then drains the connections of clients within the grace time.
// It returns at once if inner ends first.
func (n *Node) awaitStop(ctx, inner context.Context) error {
	select {
	case <-inner.Done():
		return nil
	case <-ctx.Done():
	}
	stopStartedAt := time.Now()
	grace := n.settings.Load().grace()
	n.logger.Info("stopping", "grace_s", grace.Seconds(), "connections", n.listener.Open())
	n.state.draining.Store(true)
	defer time.AfterFunc(grace/startingDivisor, n.drain.EndStarting).Stop()
	defer time.AfterFunc(grace-stopReserve-answerReserve, n.drain.End).Stop()
	time.Sleep(min(notReadyDelay, grace/2))
	n.listener.StopAccepting()
	drainCtx, cancel := context.WithDeadline(inner, stopStartedAt.Add(grace-stopReserve))
	defer cancel()
	left := n.listener.AwaitDrained(drainCtx)
	n.logger.Info("drained", "connections_left", left, "took_ms", time.Since(stopStartedAt).Milliseconds())
	return nil
}
