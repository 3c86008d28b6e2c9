package configsync

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/bramblemast/bramblemast/pkg/configstore"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// stepKind is one kind of event of the state machine.
type stepKind int

const (
	stepPublish stepKind = iota
	stepRace
	stepPartition
	stepCutStore
	stepHeal
	stepRestart
	stepOutage
	stepBackup
	stepRollback
	stepWriteFault
	stepLimit
	stepLoss
	stepWait
)

// stepKinds lists each kind as often as its weight in the random selection.
var stepKinds = []stepKind{
	stepPublish, stepPublish, stepPublish, stepPublish, stepPublish, stepPublish, stepRace, stepRace,
	stepWait, stepWait, stepWait, stepHeal, stepPartition, stepCutStore, stepRestart, stepOutage,
	stepBackup, stepRollback, stepWriteFault, stepLimit, stepLoss,
}

// step is one event. Number and Mask select nodes, keys, faults and durations.
type step struct {
	Kind   stepKind
	Number int
	Mask   uint
}

func stepGenerator() *rapid.Generator[step] {
	return rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind:   rapid.SampledFrom(stepKinds).Draw(t, "kind"),
			Number: rapid.IntRange(0, 11).Draw(t, "number"),
			Mask:   rapid.UintRange(0, 1<<6-1).Draw(t, "mask"),
		}
	})
}

// convergence bounds the virtual time until all nodes and the store hold the same versions after
// every fault has ended. The slowest case is a store that was rolled back to exactly the index that
// a watch waits on: it is detected only when the watch ends, after DefaultWatchWait.
const convergence = DefaultWatchWait + 10*time.Second

// machine runs steps against a cluster. Its oracle is the highest version of each key that any live
// node or the store holds. It may fall only when a node is replaced or the store is rolled back,
// and at the end every node and the store must hold it.
type machine struct {
	*cluster
	keys    []template.Key
	backup  configstore.Snapshot
	highest map[template.Key]template.Version
	// accepted counts successful publications and deletions, to check that the steps get past
	// refusals.
	accepted int
}

func newMachine() *machine {
	m := &machine{
		cluster: newCluster(6, 3, nil),
		keys:    []template.Key{ticker, {Tenant: "colour-archive", Name: "tint-orders"}},
		highest: map[template.Key]template.Version{},
	}
	m.backup = m.store.Snapshot()
	return m
}

// run applies the steps and returns the violations.
func (m *machine) run(steps []step) []string {
	defer m.close()
	time.Sleep(startTime)
	for _, next := range steps {
		m.apply(next)
		m.observe(next.Kind == stepRestart || next.Kind == stepRollback)
	}
	m.endFaults()
	m.observe(false)
	time.Sleep(convergence)
	m.checkConverged()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.violations
}

func (m *machine) apply(next step) {
	node := m.nodes[next.Number%len(m.nodes)]
	key := m.keys[next.Number%len(m.keys)]
	switch next.Kind {
	case stepPublish:
		m.publish(node, key, next.Mask)
	case stepRace:
		done := make(chan struct{})
		go func() { defer close(done); m.publish(m.nodes[next.Mask%6], key, 0) }()
		m.publish(node, key, 0)
		<-done
	case stepPartition:
		m.partition(next.Mask)
	case stepCutStore:
		node.store.isCut.Store(true)
	case stepHeal:
		m.network.Heal()
		node.store.isCut.Store(false)
	case stepRestart:
		m.restart(node)
	case stepOutage:
		m.store.SetUnavailable(next.Mask%2 == 0)
	case stepBackup:
		m.backup = m.store.Snapshot()
	case stepRollback:
		m.store.Restore(m.backup)
	case stepWriteFault:
		m.store.FailWrites(configstore.WriteFault(1+next.Number%3), 1+int(next.Mask%8))
	case stepLimit:
		m.store.SetLimit(float64(next.Mask%8), 1)
	case stepLoss:
		m.network.SetLoss(float64(next.Mask%4) / 10)
	case stepWait:
		time.Sleep(time.Duration(next.Mask*next.waitUnit()) * time.Millisecond)
	}
}

// waitUnit scales the waits, so that both short and long ones occur.
func (s step) waitUnit() uint { return uint(1 + 10*s.Number) }

func (m *machine) publish(node *testNode, key template.Key, mask uint) {
	held, _ := node.replica.Held(key)
	expected := uint64(0)
	if held.Template != nil {
		expected = held.Template.Revision
	}
	var err error
	if mask%5 == 4 && expected > 0 {
		_, err = node.publisher.Delete(node.context, key, expected, "operator", "")
	} else {
		_, err = node.publisher.Publish(node.context, content(key, string(node.ID)), expected)
	}
	if err == nil {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		m.accepted++
	}
}

func (m *machine) partition(mask uint) {
	var one, other []*testNode
	for index, node := range m.nodes {
		if mask>>index&1 == 1 {
			one = append(one, node)
		} else {
			other = append(other, node)
		}
	}
	m.network.Cut(m.addresses(one...), m.addresses(other...))
}

// observe updates the oracle. It records a violation if the highest version of a key fell and
// mayFall is false.
func (m *machine) observe(mayFall bool) {
	for _, key := range m.keys {
		current := m.storedVersion(key)
		for _, node := range m.nodes {
			if held := node.version(key); held.Compare(current) > 0 {
				current = held
			}
		}
		if current.Compare(m.highest[key]) < 0 && !mayFall {
			m.violation("%s: the highest version fell from %v to %v", key, m.highest[key], current)
		}
		m.highest[key] = current
	}
}

func (m *machine) endFaults() {
	m.network.Heal()
	m.network.SetLoss(0)
	m.store.SetUnavailable(false)
	m.store.SetLimit(0, 0)
	m.store.FailWrites(0, 0)
	for _, node := range m.nodes {
		node.store.isCut.Store(false)
	}
}

func (m *machine) checkConverged() {
	for _, key := range m.keys {
		want := m.storedVersion(key)
		if want.Compare(m.highest[key]) < 0 {
			m.violation("%s: the store ends with %v, want at least %v, the highest version held", key, want, m.highest[key])
		}
		for _, node := range m.nodes {
			if got := node.version(key); got != want || !node.replica.Ready() {
				m.violation("%s: node %s ends with version %v, ready %v; the store has version %v", key, node.ID, got, node.replica.Ready(), want)
			}
			m.checkInForce(node, key)
		}
	}
}

// checkInForce checks that the template that requests use is the one that the node holds.
func (m *machine) checkInForce(node *testNode, key template.Key) {
	held, isHeld := node.replica.Held(key)
	compiled, isInForce := node.replica.Get(key)
	isLive := isHeld && !held.Template.Deleted
	if isInForce != isLive || (isLive && compiled.Template.Revision != held.Template.Revision) {
		m.violation("%s: node %s holds %v, but has %v in force", key, node.ID, held.Template, compiled)
	}
}

// TestAcceptedChangesNeverRevert runs random sequences of publications, faults and node
// replacements, and checks that no accepted change is reverted and that all nodes converge
// afterwards.
func TestAcceptedChangesNeverRevert(t *testing.T) {
	accepted, runs := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(stepGenerator(), 1, 40).Draw(rt, "steps")
		var violations []string
		synctest.Test(t, func(*testing.T) {
			m := newMachine()
			violations = m.run(steps)
			accepted += m.accepted
		})
		runs++
		if len(violations) > 0 {
			rt.Fatalf("%d violations, first: %s", len(violations), violations[0])
		}
	})
	t.Logf("%d runs, %d accepted changes", runs, accepted)
	if accepted < runs {
		t.Error(fmt.Sprint("only ", accepted, " changes were accepted"))
	}
}
