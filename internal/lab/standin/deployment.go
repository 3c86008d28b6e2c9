// Package standin starts the stand-ins of the platform for one deployment in
// one process: every back-end server, the configuration store, the machine list
// and the admin interface that drives them.
package standin

import (
	"github.com/hashicorp/go-hclog"

	"github.com/bramblemast/bramblemast/internal/lab/standin/backend"
	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
	"github.com/bramblemast/bramblemast/internal/lab/standin/machinelist"
	"github.com/bramblemast/bramblemast/internal/lab/standin/store"
	"github.com/bramblemast/bramblemast/internal/lab/topology"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// Options tell which stand-ins to start and where they listen. An empty address
// stands for a free loopback port.
type Options struct {
	Topology *topology.Deployment
	// Server, if set, starts only the back-end server of that name.
	Server string
	// WithoutBackends, WithoutStore and WithoutMachineList leave parts out.
	WithoutBackends    bool
	WithoutStore       bool
	WithoutMachineList bool

	AdminAddress       string
	StoreAddress       string
	MachineListAddress string
	ServerAddress      string
	Logger             hclog.Logger
}

// Deployment is the running stand-ins of one deployment.
type Deployment struct {
	options   Options
	fleets    []*backend.Fleet
	admin     *backend.Admin
	store     *store.Store
	machines  *machinelist.List
	listeners []*httpListener
	addresses labapi.Addresses
}

// Start starts the stand-ins. The caller must call Stop.
func Start(options Options) (*Deployment, error) {
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	deployment := &Deployment{
		options:  options,
		store:    store.New(),
		machines: machinelist.New(),
		addresses: labapi.Addresses{
			Deployment: options.Topology.Name,
			Seed:       options.Topology.Seed,
		},
	}
	for _, start := range []func() error{
		deployment.startBackends,
		deployment.startStore,
		deployment.startMachineList,
		deployment.startAdmin,
	} {
		if err := start(); err != nil {
			deployment.Stop()
			return nil, err
		}
	}
	return deployment, nil
}

// Stop stops everything and returns once it has ended.
func (d *Deployment) Stop() {
	for _, listener := range d.listeners {
		listener.stop()
	}
	for _, fleet := range d.fleets {
		fleet.Stop()
	}
}

// Addresses tells where the stand-ins listen.
func (d *Deployment) Addresses() labapi.Addresses { return d.addresses }

// Topology returns the description that the deployment was started from.
func (d *Deployment) Topology() *topology.Deployment { return d.options.Topology }

// Fleet returns the servers of a service; nil if there is none.
func (d *Deployment) Fleet(service target.Service) *backend.Fleet {
	for _, fleet := range d.fleets {
		if fleet.Service() == service {
			return fleet
		}
	}
	return nil
}

// Store returns the configuration store.
func (d *Deployment) Store() *store.Store { return d.store }

// MachineList returns the machine list.
func (d *Deployment) MachineList() *machinelist.List { return d.machines }

// Executions returns the matching entries of all execution logs by time.
func (d *Deployment) Executions(query labapi.ExecutionsQuery) []labapi.Execution {
	return d.admin.Executions(query)
}

func (d *Deployment) startBackends() error {
	if !d.options.WithoutBackends {
		d.makeFleets()
	}
	d.admin = backend.NewAdmin(d.fleets, d.followDrain)
	var machines []labapi.Machine
	for _, fleet := range d.fleets {
		if err := fleet.Start(); err != nil {
			return err
		}
		for _, server := range fleet.Servers() {
			identity := server.Identity()
			d.addresses.Servers = append(d.addresses.Servers, identity)
			machines = append(machines, machineOf(identity))
		}
	}
	d.machines.Set(machines...)
	return nil
}

func (d *Deployment) makeFleets() {
	description := d.options.Topology
	for index := range description.Services {
		service := &description.Services[index]
		plans := d.wantedPlans(service)
		if len(plans) == 0 {
			continue
		}
		d.fleets = append(d.fleets, backend.NewFleet(backend.FleetConfig{
			Service:       *service,
			Plans:         plans,
			Seed:          description.Seed,
			NewConnection: description.Latency.NewConnection.Std(),
			OneWay:        description.OneWayFrom,
			Address:       d.serverAddress(),
			Logger:        d.options.Logger,
		}))
	}
}

// wantedPlans returns the servers of a service that are to be started.
func (d *Deployment) wantedPlans(service *topology.Service) []topology.ServerPlan {
	plans := d.options.Topology.PlanService(service)
	if d.options.Server == "" {
		return plans
	}
	for _, plan := range plans {
		if plan.Name == d.options.Server {
			return []topology.ServerPlan{plan}
		}
	}
	return nil
}

func (d *Deployment) serverAddress() func(topology.ServerPlan) target.ServerID {
	if d.options.ServerAddress == "" {
		return nil
	}
	return func(topology.ServerPlan) target.ServerID { return target.ServerID(d.options.ServerAddress) }
}

func machineOf(server labapi.ServerAddress) labapi.Machine {
	return labapi.Machine{
		Address: string(server.Address),
		Role:    labapi.RoleBackend,
		Zone:    server.Zone,
		Region:  server.Region,
		Service: server.Service,
		Group:   server.Group,
		State:   labapi.MachineLive,
	}
}

// followDrain keeps the machine list in step with drains.
func (d *Deployment) followDrain(server labapi.ServerAddress, draining bool) {
	state := labapi.MachineLive
	if draining {
		state = labapi.MachineLeaving
	}
	d.machines.SetState(string(server.Address), state)
}
