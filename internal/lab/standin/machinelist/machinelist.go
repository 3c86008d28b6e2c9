// Package machinelist emulates the platform's machine list: the HTTP service
// discovery JSON of Prometheus, with zone, region, service, group, role and
// state as labels. The list can lag, miss machines and be away.
package machinelist

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/bramblemast/bramblemast/internal/lab/standin/history"
	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
	"github.com/bramblemast/bramblemast/internal/lab/watched"
)

// Path is where the list is served.
const Path = "/targets"

// Labels of an entry.
const (
	LabelZone    = "zone"
	LabelRegion  = "region"
	LabelService = "service"
	LabelGroup   = "group"
	LabelRole    = "role"
	LabelState   = "state"
)

// targetGroup is one entry of the published format.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// List is the emulated machine list. It is safe for concurrent use.
type List struct {
	states history.History[[]labapi.Machine]
	faults watched.Value[labapi.MachineListFaults]

	mutex    sync.Mutex
	machines map[string]labapi.Machine // guarded by mutex
}

// New makes an empty list.
func New() *List {
	return &List{machines: make(map[string]labapi.Machine)}
}

// Set adds machines or replaces their entries, as one change.
func (l *List) Set(machines ...labapi.Machine) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, machine := range machines {
		l.machines[machine.Address] = machine
	}
	l.states.Set(time.Now(), l.sorted())
}

// SetState changes the state of a machine; it does nothing if the list has
// never held the machine.
func (l *List) SetState(address string, state labapi.MachineState) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	machine, known := l.machines[address]
	if !known {
		return
	}
	machine.State = state
	l.machines[address] = machine
	l.states.Set(time.Now(), l.sorted())
}

// SetFaults replaces the faults of the list.
func (l *List) SetFaults(faults labapi.MachineListFaults) { l.faults.Set(faults) }

// Machines returns the true state of every machine, by address.
func (l *List) Machines() []labapi.Machine {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.sorted()
}

// sorted returns the machines by address. The caller holds the mutex.
func (l *List) sorted() []labapi.Machine {
	machines := make([]labapi.Machine, 0, len(l.machines))
	for _, address := range slices.Sorted(maps.Keys(l.machines)) {
		machines = append(machines, l.machines[address])
	}
	return machines
}

// ServeHTTP serves the list as it was before the configured lag.
func (l *List) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	faults, awake := l.faults.Wait(request.Context(), doesNotHang)
	if !awake {
		return
	}
	if faults.Outage {
		http.Error(writer, "machine list is away", http.StatusServiceUnavailable)
		return
	}
	moment := time.Now().Add(-time.Duration(faults.LagMS) * time.Millisecond)
	writer.Header().Set("Content-Type", "application/json")
	// It fails if the other side has gone: there is nobody left to tell.
	_ = json.NewEncoder(writer).Encode(publish(l.states.At(moment)))
}

func doesNotHang(faults labapi.MachineListFaults) bool { return !faults.Hang }

func publish(machines []labapi.Machine) []targetGroup {
	groups := []targetGroup{}
	for _, machine := range machines {
		if machine.State == labapi.MachineMissing {
			continue
		}
		groups = append(groups, targetGroup{Targets: []string{machine.Address}, Labels: labels(machine)})
	}
	return groups
}

func labels(machine labapi.Machine) map[string]string {
	all := map[string]string{
		LabelZone:  string(machine.Zone),
		LabelRole:  machine.Role,
		LabelState: string(machine.State),
	}
	optional := map[string]string{
		LabelRegion:  string(machine.Region),
		LabelService: string(machine.Service),
		LabelGroup:   machine.Group,
	}
	for name, value := range optional {
		if value != "" {
			all[name] = value
		}
	}
	return all
}

// RegisterAdmin adds the admin routes to a router.
func (l *List) RegisterAdmin(router *echo.Echo) {
	router.GET(labapi.PathMachines, func(c echo.Context) error {
		return c.JSON(http.StatusOK, l.Machines())
	})
	router.POST(labapi.PathMachines, l.postMachine)
	router.POST(labapi.PathListFaults, l.postFaults)
}

func (l *List) postMachine(c echo.Context) error {
	var machine labapi.Machine
	if err := c.Bind(&machine); err != nil {
		return err
	}
	if machine.Address == "" || machine.State == "" {
		return echo.NewHTTPError(http.StatusBadRequest, "a machine needs an address and a state")
	}
	l.Set(machine)
	return c.JSON(http.StatusOK, struct{}{})
}

func (l *List) postFaults(c echo.Context) error {
	var faults labapi.MachineListFaults
	if err := c.Bind(&faults); err != nil {
		return err
	}
	l.SetFaults(faults)
	return c.JSON(http.StatusOK, struct{}{})
}
