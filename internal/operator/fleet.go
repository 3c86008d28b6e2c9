package operator

import (
	"fmt"
	"net/http"
	"sort"

	"github.com/labstack/echo/v4"

	"github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/pkg/catalog"
	"github.com/bramblemast/bramblemast/pkg/target"
)

func (s *Server) listNodes(c echo.Context) error {
	return c.JSON(http.StatusOK, operator.NodeList{Nodes: sortedNodes(s.Members.Nodes())})
}

// sortedNodes sorts a copy by zone and id.
func sortedNodes(nodes []operator.Node) []operator.Node {
	sorted := append([]operator.Node{}, nodes...)
	sort.Slice(sorted, func(i, j int) bool {
		if sorted[i].Zone != sorted[j].Zone {
			return sorted[i].Zone < sorted[j].Zone
		}
		return sorted[i].ID < sorted[j].ID
	})
	return sorted
}

func (s *Server) listBackends(c echo.Context) error {
	services := s.Backends.Services()
	if service := target.Service(c.QueryParam(operator.ParameterService)); service != "" {
		services = []target.Service{service}
	}
	sort.Slice(services, func(i, j int) bool { return services[i] < services[j] })
	list := operator.BackendList{Backends: []operator.Backend{}}
	for _, service := range services {
		view := s.Backends.View(service)
		if view == nil {
			return notFound(operator.ParameterService, fmt.Sprintf("service %q is unknown", service))
		}
		for _, server := range view.Servers {
			list.Backends = append(list.Backends, backendOf(server))
		}
	}
	return c.JSON(http.StatusOK, list)
}

// backendOf turns the catalog's view of a server into a message.
func backendOf(server *catalog.Server) operator.Backend {
	message := operator.Backend{
		Server:      server.ID,
		Service:     server.Service,
		Group:       server.Group,
		Zone:        server.Zone,
		State:       server.State.String(),
		Weight:      server.Weight,
		Slots:       server.Slots,
		Connections: server.Connections,
		Versions:    []target.Version{},
	}
	if server.ReportedLoad >= 0 {
		load := server.ReportedLoad
		message.ReportedLoad = &load
	}
	for _, index := range server.Indexes {
		message.Versions = append(message.Versions, index.Version)
	}
	return message
}

func (s *Server) drainBackend(c echo.Context) error { return s.setDraining(c, true) }

func (s *Server) undrainBackend(c echo.Context) error { return s.setDraining(c, false) }

func (s *Server) setDraining(c echo.Context, draining bool) error {
	server := target.ServerID(c.Param("server"))
	if !s.knowsServer(server) {
		return notFound("server", fmt.Sprintf("server %q is unknown", server))
	}
	ctx, cancel := bounded(c, s.Limits.ChangeTimeout)
	defer cancel()
	if err := s.Backends.SetDraining(ctx, server, draining); err != nil {
		return err
	}
	s.Logger.Info("back end drain set by operator", "server", string(server), "draining", draining)
	return c.JSON(http.StatusOK, operator.DrainResult{Server: server, Draining: draining})
}

// knowsServer reports whether any service has the server.
func (s *Server) knowsServer(id target.ServerID) bool {
	for _, service := range s.Backends.Services() {
		view := s.Backends.View(service)
		if view == nil {
			continue
		}
		for _, server := range view.Servers {
			if server.ID == id {
				return true
			}
		}
	}
	return false
}
