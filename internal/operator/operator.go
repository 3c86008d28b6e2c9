// Package operator is the server of the operators' HTTP interface of a node:
// templates, experiments, nodes, back ends, claims and the state of the
// configuration.
// The messages are those of package api/operator. It shows and changes what
// other packages keep and has no state of its own, so that any node serves any
// operator.
package operator

import (
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/api/operator"
)

// Server serves the operators' interface. It is safe for concurrent use.
type Server struct {
	Dependencies
}

// New returns a server that shows the given parts of a node.
func New(dependencies Dependencies) *Server {
	dependencies.Limits = dependencies.Limits.withDefaults()
	if dependencies.Logger == nil {
		dependencies.Logger = hclog.NewNullLogger()
	}
	return &Server{Dependencies: dependencies}
}

// Register adds the routes of the interface to e. It makes every error of e a
// problem document and bounds the time of every request to e.
func (s *Server) Register(e *echo.Echo) {
	e.HTTPErrorHandler = s.handleError
	e.Use(s.boundTime)

	const template = operator.TemplatesPath + "/:tenant/:name"
	e.GET(operator.TemplatesPath, s.listTemplates)
	e.GET(template, s.getTemplate)
	e.PUT(template, s.putTemplate)
	e.DELETE(template, s.deleteTemplate)
	e.GET(template+"/"+operator.HistoryAction, s.getHistory)
	e.GET(template+"/"+operator.SettleAction, s.settleChange)
	e.POST(template+"/"+operator.RollbackAction, s.rollbackTemplate)

	e.GET(operator.NodesPath, s.listNodes)
	e.GET(operator.BackendsPath, s.listBackends)
	e.POST(operator.BackendsPath+"/:server/"+operator.DrainAction, s.drainBackend)
	e.POST(operator.BackendsPath+"/:server/"+operator.UndrainAction, s.undrainBackend)

	e.GET(operator.ConfigStatusPath, s.getConfigStatus)
	e.GET(operator.ConfigRevisionsPath, s.getRevisions)
	e.GET(operator.ExperimentsPath+"/:tenant/:name", s.getExperiment)

	e.GET(operator.ClaimsPath, s.listClaims)
	e.GET(operator.ClaimPath, s.getClaim)
	e.DELETE(operator.ClaimPath, s.removeClaim)
}

// boundTime is middleware that disconnects an operator who sends or reads too
// slowly.
func (s *Server) boundTime(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		now := time.Now()
		connection := http.NewResponseController(c.Response())
		if c.Request().ContentLength != 0 {
			if err := connection.SetReadDeadline(now.Add(s.Limits.BodyTimeout)); err != nil {
				return errors.Wrap(err, "bound the time to read")
			}
		}
		if err := connection.SetWriteDeadline(now.Add(s.Limits.RequestTimeout)); err != nil {
			return errors.Wrap(err, "bound the time to write")
		}
		return next(c)
	}
}
