package edge

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	wire "github.com/bramblemast/bramblemast/api/limits"
	"github.com/bramblemast/bramblemast/internal/front"
)

// openMetrics opens the listener for the metrics, if a port is configured.
func (n *Node) openMetrics(settings *Settings) error {
	n.registerGauges()
	if settings.Listen.MetricsPort == 0 {
		return nil
	}
	address := net.JoinHostPort(settings.Node.Address, strconv.Itoa(settings.Listen.MetricsPort))
	opened, err := front.Listen(settings.probeListener(address, n.metricsHandler()))
	if err != nil {
		return errors.Wrap(err, "listen for metrics")
	}
	n.metricsListener = opened
	return nil
}

// metricsHandler serves the metrics and the limits page.
func (n *Node) metricsHandler() http.Handler {
	mux := n.metrics.handler()
	mux.HandleFunc("GET "+wire.Path, n.serveLimits)
	return mux
}

// storeAge returns the time since the store last answered.
func (n *Node) storeAge() time.Duration {
	_, contactAt := n.follower.Revision()
	return time.Since(contactAt)
}

// registerGauges registers the gauges whose values are read at each scrape.
func (n *Node) registerGauges() {
	n.metrics.gauge("configuration_version", "Version of the routing configuration in force; 0 for none.", func() float64 {
		if table := n.state.Table(); table != nil {
			return float64(table.Version)
		}
		return 0
	})
	n.metrics.gauge("store_revision", "Revision of the store up to which the node is complete.", func() float64 {
		revision, _ := n.follower.Revision()
		return float64(revision)
	})
	n.metrics.gauge("store_era", "Era of the store, which rises each time that it comes back from an older copy; 0 if it tells none.", func() float64 {
		return float64(n.follower.Position().Era)
	})
	n.metrics.gauge("store_keys_kept", "Keys whose state from before a restore of the store is in force.", func() float64 {
		return float64(len(n.follower.RetainedKeys()))
	})
	n.metrics.gauge("store_contact_age_seconds", "Time since the store last answered; -1 for never.", func() float64 {
		_, contactAt := n.follower.Revision()
		return secondsSince(contactAt)
	})
	n.metrics.gauge("store_news_age_seconds", "Time since the node knew all that the store held; -1 for never.", func() float64 {
		return secondsSince(n.follower.ConfirmedAt())
	})
	n.metrics.gauge("body_bytes", "Memory that the bodies of requests and answers take.", func() float64 {
		return float64(n.memory.Stats().UsedBytes)
	})
	n.metrics.counter("body_evictions_total", "Clients that were ended while the node waited for them, since memory was short.", func() uint64 {
		return n.memory.Stats().Evictions
	})
	n.metrics.counter("body_exhaustions_total", "Bodies that were given up, since memory was short.", func() uint64 {
		return n.memory.Stats().Exhaustions
	})
	n.metrics.gauge("servers", "Servers that the platform lists.", func() float64 { return float64(n.state.fleet.Len()) })
	n.metrics.gauge("servers_pausing", "Servers that pause by a clock and whose next pause is foreseen.", func() float64 {
		return float64(n.state.fleet.CountPredictedPauses(time.Now()))
	})
	n.metrics.gauge("nodes", "Nodes that are registered.", func() float64 { return float64(len(n.state.knownNodes())) })
	n.metrics.gauge("client_connections", "Open connections of clients.", func() float64 { return float64(n.listener.Open()) })
}
