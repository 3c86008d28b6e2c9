package backend

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/lab/dataset"
	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
	"github.com/bramblemast/bramblemast/internal/lab/topology"
	"github.com/bramblemast/bramblemast/internal/pause"
	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// FirstVersion is the index version that every service starts with.
const FirstVersion target.Version = 1

// FleetConfig is what the servers of one service are made from.
type FleetConfig struct {
	Service topology.Service
	Plans   []topology.ServerPlan
	Seed    uint64
	// NewConnection is the cost of each new connection.
	NewConnection time.Duration
	// OneWay returns the network delay from a caller to a zone; nil for none.
	OneWay func(caller netip.Addr, zone target.Zone) time.Duration
	// Address returns where a server listens; nil for a free loopback port.
	Address func(plan topology.ServerPlan) target.ServerID
	Logger  hclog.Logger
}

// Fleet is all servers of one service. Index versions and shards change
// through it.
type Fleet struct {
	service topology.Service
	data    *dataset.Dataset
	servers []*Server

	context context.Context
	cancel  context.CancelFunc
	work    sync.WaitGroup

	// mutex guards newest and serializes changes of the servers' indexes.
	mutex  sync.Mutex
	newest target.Version
}

// NewFleet makes the servers of a service, not started, each with the first
// index version.
func NewFleet(config FleetConfig) *Fleet {
	data := dataset.New(config.Service.Name, config.Seed, config.Service.Records)
	contents := NewContents(data)
	ctx, cancel := context.WithCancel(context.Background())
	fleet := &Fleet{
		service: config.Service,
		data:    data,
		context: ctx,
		cancel:  cancel,
		newest:  FirstVersion,
	}
	for _, plan := range config.Plans {
		fleet.servers = append(fleet.servers, NewServer(config.server(plan, contents)))
	}
	return fleet
}

func (c *FleetConfig) server(plan topology.ServerPlan, contents *Contents) Config {
	config := Config{
		Identity: labapi.ServerAddress{
			Name:    plan.Name,
			Service: plan.Service,
			Group:   plan.Group,
			Zone:    plan.Zone,
			Region:  plan.Region,
			Address: "127.0.0.1:0",
		},
		Service:       c.Service,
		Seed:          c.Seed,
		NewConnection: c.NewConnection,
		Contents:      contents,
		Indexes:       []backend.Index{{Version: FirstVersion, Shards: plan.Shards}},
		Logger:        c.Logger,
	}
	if c.Address != nil {
		config.Identity.Address = c.Address(plan)
	}
	if c.OneWay != nil {
		zone := plan.Zone
		config.OneWay = func(caller netip.Addr) time.Duration { return c.OneWay(caller, zone) }
	}
	return config
}

// Start starts every server; if one fails, those already started are stopped.
func (f *Fleet) Start() error {
	for _, server := range f.servers {
		if err := server.Start(); err != nil {
			f.Stop()
			return err
		}
	}
	return nil
}

// Stop stops every server and every change that is under way.
func (f *Fleet) Stop() {
	f.cancel()
	f.work.Wait()
	for _, server := range f.servers {
		server.Stop()
	}
}

// Service returns the name of the service.
func (f *Fleet) Service() target.Service { return f.service.Name }

// Servers returns the servers in the order of their plans.
func (f *Fleet) Servers() []*Server { return f.servers }

// Data returns the contents of the service, for an oracle.
func (f *Fleet) Data() *dataset.Dataset { return f.data }

// Newest returns the newest published version.
func (f *Fleet) Newest() target.Version {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.newest
}

// Publish gives the servers a new index version with the shards of their newest
// one, and drops versions beyond the retention. With a stagger the servers
// follow one after the other over that time, and Publish does not wait.
func (f *Fleet) Publish(version target.Version, stagger time.Duration) (target.Version, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if version == 0 {
		version = f.newest + 1
	}
	if version <= f.newest {
		return 0, errors.Errorf("version %d is not above the newest, %d", version, f.newest)
	}
	f.newest = version
	if stagger > 0 {
		f.work.Go(func() { f.takeUpInTurn(version, stagger) })
		return version, nil
	}
	for _, server := range f.servers {
		f.takeUp(server, version)
	}
	return version, nil
}

func (f *Fleet) takeUpInTurn(version target.Version, stagger time.Duration) {
	interval := stagger / time.Duration(len(f.servers))
	for _, server := range f.servers {
		if !pause.For(f.context, interval) {
			return
		}
		f.mutex.Lock()
		f.takeUp(server, version)
		f.mutex.Unlock()
	}
}

// takeUp gives one server a version, unless it has a newer one. The caller
// holds the mutex.
func (f *Fleet) takeUp(server *Server, version target.Version) {
	indexes := *server.indexes.Load()
	last := indexes[len(indexes)-1]
	if last.Version >= version {
		return
	}
	next := append([]backend.Index(nil), indexes...)
	next = append(next, backend.Index{Version: version, Shards: last.Shards})
	if excess := len(next) - f.service.Retention; excess > 0 {
		next = next[excess:]
	}
	server.setIndexes(next)
}
