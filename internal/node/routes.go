package node

import (
	"net/http"
	"net/http/pprof"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/bramblemast/bramblemast/internal/callerapi"
	"github.com/bramblemast/bramblemast/internal/operator"
	"github.com/bramblemast/bramblemast/internal/serve"
)

func newRouter() *echo.Echo {
	router := echo.New()
	router.HideBanner = true
	router.HidePort = true
	return router
}

func (n *Node) buildCallersListener() error {
	router := newRouter()
	listener, err := newHTTPListener(n.settings.Listen.Callers, router, n.settings.Callers)
	if err != nil {
		return err
	}
	n.callers, n.callersRouter = listener, router
	return nil
}

func (n *Node) buildOperatorsListener() error {
	router := newRouter()
	listener, err := newHTTPListener(n.settings.Listen.Operators, router, n.settings.Callers)
	if err != nil {
		return err
	}
	n.operators, n.operatorsRouter = listener, router
	return nil
}

func (n *Node) registerCallers() {
	pipeline := serve.New(serve.Options{
		Templates: startedTemplates{configuration: n.config, warm: &n.warm},
		Gates:     n.gates,
		Executor:  n.executor,
		Once:      serve.NewOnce(n.claims),
		Arms:      n.arms,
		Observer:  n.metrics,
	})
	callerapi.New(callerapi.Options{
		Pipeline:     pipeline,
		Node:         n.id,
		Logger:       n.logger.Named("callers"),
		MaxBodyBytes: n.settings.Callers.MaxBodyBytes,
		BodyTimeout:  n.settings.Callers.BodyTimeout,
		WriteTimeout: n.settings.Callers.WriteTimeout,
	}).Register(n.callersRouter)
	n.registerHealth(n.callersRouter)
}

func (n *Node) registerOperators() error {
	operator.New(operator.Dependencies{
		Node:        n.id,
		Zone:        n.settings.Node.Zone,
		Templates:   operator.ReplicaTemplates{Replica: n.config.replica, Files: n.config.files},
		Publisher:   operator.StorePublisher{Publisher: n.config.publisher},
		Members:     operator.MembershipNodes{Membership: n.members},
		Backends:    n.catalog,
		Experiments: n.arms,
		Claims:      n.claims,
		Peers:       operator.NewHTTPPeers(n.platformClient()),
		Logger:      n.logger.Named("operators"),
	}).Register(n.operatorsRouter)
	n.registerHealth(n.operatorsRouter)
	registerProfiles(n.operatorsRouter)
	return nil
}

// registerProfiles adds Go's profiles, for operators only.
func registerProfiles(router *echo.Echo) {
	router.GET("/debug/pprof/*", echo.WrapHandler(http.HandlerFunc(pprof.Index)))
	router.GET("/debug/pprof/profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	router.GET("/debug/pprof/trace", echo.WrapHandler(http.HandlerFunc(pprof.Trace)))
}

// registerHealth adds the routes that every listener has.
func (n *Node) registerHealth(router *echo.Echo) {
	router.GET("/healthz", func(context echo.Context) error { return context.NoContent(http.StatusOK) })
	router.GET("/readyz", func(context echo.Context) error {
		if n.Ready() {
			return context.NoContent(http.StatusOK)
		}
		return context.NoContent(http.StatusServiceUnavailable)
	})
	metrics := promhttp.HandlerFor(n.metrics.registry, promhttp.HandlerOpts{})
	router.GET("/metrics", echo.WrapHandler(metrics))
}

// registerGauges adds the metrics that are read from the parts.
func (n *Node) registerGauges() {
	n.metrics.gauge("ready", "1 while the node takes requests.", func() float64 {
		if n.Ready() {
			return 1
		}
		return 0
	})
	n.metrics.gauge("members", "Known nodes that are not dead.", func() float64 { return float64(len(n.sharingNodes())) })
	n.metrics.gauge("config_templates", "Templates in force.", func() float64 { return float64(len(n.config.replica.List())) })
	n.metrics.gauge("config_store_behind", "Templates of which the store holds an older revision than is in force.", func() float64 {
		return float64(n.config.replica.Status().Store.Behind)
	})
	n.metrics.gauge("config_forks", "Changes seen with a revision that another change has.", func() float64 {
		return float64(n.config.replica.Stats().Forks)
	})
	n.metrics.gauge("config_refused", "Older documents refused.", func() float64 { return float64(n.config.replica.Stats().Refused) })
	n.metrics.gauge("claims_pending", "Writes to claims that wait for the store.", func() float64 { return float64(n.claims.Pending()) })
	n.metrics.gauge("peer_bytes_out", "Bytes sent to peers.", func() float64 { return float64(n.transport.Stats().BytesOut) })
	n.metrics.gauge("peer_bytes_in", "Bytes received from peers.", func() float64 { return float64(n.transport.Stats().BytesIn) })
	n.metrics.gauge("peer_messages_out", "Messages sent to peers.", func() float64 { return float64(n.transport.Stats().MessagesOut) })
}
