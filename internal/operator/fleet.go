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
	service := target.Service(c.QueryParam(operator.ParameterService))
	list := operator.BackendList{Backends: []operator.Backend{}}
	views := serviceViews{backends: s.Backends, views: make(map[target.Service]*catalog.View)}
	for _, report := range s.Backends.Reports() {
		if service == "" || report.Service == service {
			list.Backends = append(list.Backends, backendOf(report, views.versions(report)))
		}
	}
	if service != "" && len(list.Backends) == 0 {
		return notFound(operator.ParameterService, fmt.Sprintf("service %q is unknown", service))
	}
	return c.JSON(http.StatusOK, list)
}

// backendOf turns the catalog's report of a server into a message.
func backendOf(report catalog.ServerReport, versions []target.Version) operator.Backend {
	message := operator.Backend{
		Server:          report.Server,
		Service:         report.Service,
		Group:           report.Group,
		Zone:            report.Zone,
		State:           report.State,
		Cause:           string(report.Cause),
		OperatorDrained: report.OperatorDrained,
		OperatorAuthor:  report.OperatorAuthor,
		Listed:          report.Listed,
		Weight:          report.Weight,
		Slots:           report.Slots,
		Connections:     report.Connections,
		Versions:        versions,
	}
	if report.ReportedLoad >= 0 {
		load := report.ReportedLoad
		message.ReportedLoad = &load
	}
	return message
}

// serviceViews keeps one view of each service, for one answer.
type serviceViews struct {
	backends Backends
	views    map[target.Service]*catalog.View
}

// versions returns the index versions that a server holds.
func (v serviceViews) versions(report catalog.ServerReport) []target.Version {
	view, found := v.views[report.Service]
	if !found {
		view = v.backends.View(report.Service)
		v.views[report.Service] = view
	}
	versions := []target.Version{}
	if view == nil {
		return versions
	}
	index := sort.Search(len(view.Servers), func(i int) bool { return view.Servers[i].ID >= report.Server })
	if index == len(view.Servers) || view.Servers[index].ID != report.Server {
		return versions
	}
	for _, held := range view.Servers[index].Indexes {
		versions = append(versions, held.Version)
	}
	return versions
}
