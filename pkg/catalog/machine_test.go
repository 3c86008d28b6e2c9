package catalog

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/machinelist"
	"github.com/bramblemast/bramblemast/pkg/target"
)

const machineServers = 6

// oracle is a simple model of when a server is leaving: a source reported it, and no newer evidence
// followed.
type oracle struct {
	instance string
	// drained holds the instances that reported that they drain.
	drained           map[string]bool
	drainUnattributed bool
	operator          bool
	listed            machinelist.State
	leavingByList     bool
	awaitsProbe       bool
}

func (o *oracle) leaving() bool {
	return o.operator || o.drainUnattributed || o.drained[o.instance] || o.leavingByList || o.awaitsProbe
}

func (o *oracle) probed(instance string, draining bool) {
	switch {
	case o.instance == "" && o.drainUnattributed:
		o.drained[instance] = true
	case o.instance != "" && o.instance != instance:
		o.leavingByList, o.awaitsProbe = false, false
	}
	o.instance, o.drainUnattributed = instance, false
	if draining {
		o.drained[instance] = true
	} else {
		o.awaitsProbe = false
	}
}

func (o *oracle) hinted(instance string) {
	if instance == "" {
		instance = o.instance
	}
	if instance == "" {
		o.drainUnattributed = true
		return
	}
	o.drained[instance] = true
}

func (o *oracle) listedAs(state machinelist.State) {
	switch {
	case state == o.listed:
		return
	case state == machinelist.Leaving:
		o.leavingByList, o.awaitsProbe = true, false
	case o.leavingByList:
		o.leavingByList, o.awaitsProbe = false, true
	}
	o.listed = state
}

// machine drives one catalog with random events in random order.
type machine struct {
	clock   *clock
	catalog *Catalog
	list    machinelist.List
	oracles []*oracle
	// instances counts the restarts of each server.
	instances []int
	updates   []Update
	// old is an earlier view, and oldContents its contents at that time.
	old         *View
	oldContents string
}

func newMachine() *machine {
	m := &machine{clock: newClock(), list: listOf(machineServers), instances: make([]int, machineServers)}
	m.catalog = New(Options{
		Node: "node", Zone: "zone", Now: m.clock.Now,
		OnUpdate: func(update Update) { m.updates = append(m.updates, update) },
	})
	m.catalog.ReplaceMachines(m.list)
	for range machineServers {
		m.oracles = append(m.oracles, &oracle{drained: map[string]bool{}, listed: machinelist.Live})
	}
	return m
}

func (m *machine) instance(number int) string { return fmt.Sprintf("i%d", m.instances[number]) }

func (m *machine) draw(t *rapid.T) int { return rapid.IntRange(0, machineServers-1).Draw(t, "server") }

func (m *machine) Restart(t *rapid.T) { m.instances[m.draw(t)]++ }

func (m *machine) Probe(t *rapid.T) {
	number := m.draw(t)
	draining := rapid.IntRange(0, 3).Draw(t, "draining") == 0
	version := target.Version(rapid.IntRange(1, 3).Draw(t, "version"))
	m.catalog.ReportProbe(serverID(number), m.clock.now, statusOf(number, m.instance(number), draining, version), nil)
	m.oracles[number].probed(m.instance(number), draining)
}

func (m *machine) ProbeFails(t *rapid.T) {
	m.catalog.ReportProbe(serverID(m.draw(t)), m.clock.now, nil, errTest)
}

func (m *machine) DrainHint(t *rapid.T) {
	number := m.draw(t)
	instance := ""
	if rapid.Bool().Draw(t, "named") {
		instance = m.instance(number)
	}
	m.catalog.ReportHints(serverID(number), backend.Hints{Draining: true, Instance: instance})
	m.oracles[number].hinted(instance)
}

func (m *machine) Operator(t *rapid.T) {
	number, drained := m.draw(t), rapid.Bool().Draw(t, "drained")
	if err := m.catalog.Drain(serverID(number), drained, "author"); err != nil {
		t.Fatal(err)
	}
	m.oracles[number].operator = drained
}

func (m *machine) MachineList(t *rapid.T) {
	number := m.draw(t)
	m.list[number].State = rapid.SampledFrom([]machinelist.State{machinelist.Live, machinelist.Leaving}).Draw(t, "state")
	m.catalog.ReplaceMachines(m.list)
	m.oracles[number].listedAs(m.list[number].State)
}

func (m *machine) Failures(t *rapid.T) {
	server := serverID(m.draw(t))
	for range DefaultConsecutiveFailures {
		m.catalog.ReportResult(server, lostConnection(server))
	}
}

func (m *machine) Answer(t *rapid.T) { m.catalog.ReportResult(serverID(m.draw(t)), nil) }

func (m *machine) Time(t *rapid.T) {
	m.clock.advance(time.Duration(rapid.IntRange(1, 4000).Draw(t, "milliseconds")) * time.Millisecond)
	m.catalog.Refresh()
}

// ApplyOwnUpdate returns an update to the node that sent it, as a relay may.
func (m *machine) ApplyOwnUpdate(t *rapid.T) {
	if len(m.updates) == 0 {
		return
	}
	sent := len(m.updates)
	if applied := m.catalog.Apply(rapid.SampledFrom(m.updates).Draw(t, "news")); len(applied) > 0 || len(m.updates) > sent {
		t.Fatalf("own update changed the catalog: %v", applied)
	}
}

func (m *machine) Check(t *rapid.T) {
	view := m.catalog.View(testService)
	if len(view.Servers) != machineServers {
		t.Fatalf("%d servers in the view", len(view.Servers))
	}
	replicas, ejected := map[string]int{}, map[string]int{}
	for number, server := range view.Servers {
		if server.ID != serverID(number) || server.Weight <= 0 || server.Weight > 1 {
			t.Fatalf("server %d is %+v", number, server)
		}
		if leaving := m.oracles[number].leaving(); leaving != (server.State == Leaving) {
			t.Fatalf("%s is %s, oracle says leaving=%v (%+v)", server.ID, server.State, leaving, m.oracles[number])
		}
		if server.State == Active || server.State == Ejected {
			replicas[server.Group]++
		}
		if server.State == Ejected {
			ejected[server.Group]++
		}
	}
	for group, count := range ejected {
		if 2*count > replicas[group] {
			t.Fatalf("%d of %d replicas of %s are ejected", count, replicas[group], group)
		}
	}
	m.checkImmutable(t, view)
}

// checkImmutable checks that an earlier view still has its original contents.
func (m *machine) checkImmutable(t *rapid.T, view *View) {
	if m.old != nil && contentsOf(m.old) != m.oldContents {
		t.Fatalf("an earlier view changed: %s, was %s", contentsOf(m.old), m.oldContents)
	}
	m.old, m.oldContents = view, contentsOf(view)
}

func contentsOf(view *View) string {
	text := ""
	for _, server := range view.Servers {
		text += fmt.Sprintf("%+v;", *server)
	}
	return text
}

// TestLeavingFloorAndViews compares one catalog with the oracle under random events. It guards
// against servers that are wrongly leaving or not, ejections beyond half of the replicas, and views
// that change after they were returned.
func TestLeavingFloorAndViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"restart": m.Restart, "probe": m.Probe, "probeFails": m.ProbeFails, "drainHint": m.DrainHint,
			"operator": m.Operator, "machineList": m.MachineList, "failures": m.Failures, "answer": m.Answer,
			"time": m.Time, "ownNews": m.ApplyOwnUpdate, "": m.Check,
		})
	})
}
