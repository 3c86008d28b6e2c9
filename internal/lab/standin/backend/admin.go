package backend

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// DrainObserver is told when an operator of the lab drains or undrains a
// server, so that the machine list can follow.
type DrainObserver func(server labapi.ServerAddress, draining bool)

// Admin serves the admin interface of several fleets.
type Admin struct {
	fleets   []*Fleet
	observer DrainObserver
}

// NewAdmin makes the admin interface; observer may be nil.
func NewAdmin(fleets []*Fleet, observer DrainObserver) *Admin {
	if observer == nil {
		observer = func(labapi.ServerAddress, bool) {}
	}
	return &Admin{fleets: fleets, observer: observer}
}

// Register adds the routes to a router.
func (a *Admin) Register(router *echo.Echo) {
	router.GET(labapi.PathServers, a.listServers)
	router.POST(labapi.PathFaults, a.setFaults)
	router.POST(labapi.PathServers+"/:server/drain", a.drain)
	router.POST(labapi.PathServers+"/:server/undrain", a.undrain)
	router.POST(labapi.PathServers+"/:server/stop", a.stop)
	router.POST(labapi.PathServers+"/:server/start", a.start)
	router.POST(labapi.PathServers+"/:server/faults", a.setServerFaults)
	router.POST(labapi.PathServices+"/:service/versions", a.publish)
	router.POST(labapi.PathServices+"/:service/split", a.split)
	router.POST(labapi.PathServices+"/:service/merge", a.merge)
	router.GET(labapi.PathExecutions, a.executions)
}

func (a *Admin) servers() []*Server {
	var servers []*Server
	for _, fleet := range a.fleets {
		servers = append(servers, fleet.servers...)
	}
	return servers
}

func (a *Admin) listServers(c echo.Context) error {
	infos := []labapi.ServerInfo{}
	for _, server := range a.servers() {
		infos = append(infos, server.Info())
	}
	return c.JSON(http.StatusOK, infos)
}

func (a *Admin) setFaults(c echo.Context) error {
	var request labapi.FaultsRequest
	if err := c.Bind(&request); err != nil {
		return err
	}
	matched := 0
	for _, server := range a.servers() {
		if request.Selector.Matches(server.Identity()) {
			server.SetFaults(request.Faults)
			matched++
		}
	}
	if matched == 0 {
		return echo.NewHTTPError(http.StatusNotFound, "the selector matches no server")
	}
	return done(c)
}

func (a *Admin) setServerFaults(c echo.Context) error {
	return a.withServer(c, func(server *Server) error {
		var faults labapi.Faults
		if err := c.Bind(&faults); err != nil {
			return err
		}
		server.SetFaults(faults)
		return done(c)
	})
}

func (a *Admin) drain(c echo.Context) error {
	return a.withServer(c, func(server *Server) error {
		var request labapi.DrainRequest
		if err := c.Bind(&request); err != nil {
			return err
		}
		grace := server.config.Service.DrainGrace.Std()
		if request.GraceMS != nil {
			grace = time.Duration(*request.GraceMS) * time.Millisecond
		}
		server.Drain(grace, request.Stop)
		if !request.Unlisted {
			a.observer(server.Identity(), true)
		}
		return done(c)
	})
}

func (a *Admin) undrain(c echo.Context) error {
	return a.withServer(c, func(server *Server) error {
		server.Undrain()
		a.observer(server.Identity(), false)
		return done(c)
	})
}

func (a *Admin) stop(c echo.Context) error {
	return a.withServer(c, func(server *Server) error {
		server.Stop()
		return done(c)
	})
}

func (a *Admin) start(c echo.Context) error {
	return a.withServer(c, func(server *Server) error {
		if err := server.Start(); err != nil {
			return echo.NewHTTPError(http.StatusConflict, err.Error())
		}
		a.observer(server.Identity(), false)
		return done(c)
	})
}

func (a *Admin) publish(c echo.Context) error {
	return a.withFleet(c, func(fleet *Fleet) error {
		var request labapi.PublishRequest
		if err := c.Bind(&request); err != nil {
			return err
		}
		stagger := time.Duration(request.StaggerMS) * time.Millisecond
		version, err := fleet.Publish(request.Version, stagger)
		if err != nil {
			return echo.NewHTTPError(http.StatusConflict, err.Error())
		}
		return c.JSON(http.StatusOK, labapi.PublishReply{Version: version})
	})
}

func (a *Admin) split(c echo.Context) error {
	return a.withFleet(c, func(fleet *Fleet) error {
		var request labapi.SplitRequest
		if err := c.Bind(&request); err != nil {
			return err
		}
		shards, err := fleet.Split(request)
		return layoutReply(c, shards, err)
	})
}

func (a *Admin) merge(c echo.Context) error {
	return a.withFleet(c, func(fleet *Fleet) error {
		var request labapi.MergeRequest
		if err := c.Bind(&request); err != nil {
			return err
		}
		shards, err := fleet.Merge(request)
		return layoutReply(c, shards, err)
	})
}

func layoutReply(c echo.Context, shards []backend.Shard, err error) error {
	if err != nil {
		return echo.NewHTTPError(http.StatusConflict, err.Error())
	}
	reply := labapi.LayoutReply{}
	for _, shard := range shards {
		reply.Shards = append(reply.Shards, backend.ShardDocument(shard))
	}
	return c.JSON(http.StatusOK, reply)
}

func (a *Admin) executions(c echo.Context) error {
	query := labapi.ExecutionsQuery{
		IdempotencyKey: c.QueryParam("key"),
		RequestID:      c.QueryParam("request_id"),
		Server:         target.ServerID(c.QueryParam("server")),
		Service:        target.Service(c.QueryParam("service")),
	}
	if since := c.QueryParam("since"); since != "" {
		parsed, err := time.Parse(time.RFC3339Nano, since)
		if err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, "since: "+err.Error())
		}
		query.Since = parsed
	}
	return c.JSON(http.StatusOK, a.Executions(query))
}

// Executions returns the matching entries of all execution logs by time.
func (a *Admin) Executions(query labapi.ExecutionsQuery) []labapi.Execution {
	found := []labapi.Execution{}
	for _, server := range a.servers() {
		found = append(found, server.Executions(query)...)
	}
	sortByTime(found)
	return found
}

func (a *Admin) withServer(c echo.Context, act func(*Server) error) error {
	wanted := target.ServerID(c.Param("server"))
	for _, server := range a.servers() {
		if server.Address() == wanted {
			return act(server)
		}
	}
	return echo.NewHTTPError(http.StatusNotFound, "no server "+string(wanted))
}

func (a *Admin) withFleet(c echo.Context, act func(*Fleet) error) error {
	wanted := target.Service(c.Param("service"))
	for _, fleet := range a.fleets {
		if fleet.Service() == wanted {
			return act(fleet)
		}
	}
	return echo.NewHTTPError(http.StatusNotFound, "no service "+string(wanted))
}

func done(c echo.Context) error { return c.JSON(http.StatusOK, struct{}{}) }
