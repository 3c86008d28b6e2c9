package soak

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/bramblemast/bramblemast/internal/lab/faultproxy"
	"github.com/bramblemast/bramblemast/platform/platformtest"
)

// Servers that differ and that start again, and entries of theirs that others write.
const (
	// clockStep is how far the clock of a server that starts again may be off.
	clockStep = time.Hour
	// pauseSpan is the pause that a server makes.
	pauseSpan = 250 * time.Millisecond
	// largeEntry is the size of an entry that no server writes, in bytes.
	largeEntry = 1 << 20
)

// speeds are how long servers of a service work, in turn, as a multiple of the usual.
var speeds = []float64{0.8, 1, 1.3}

// serverFaults is the catalogue of what befalls single servers.
var serverFaults = []fault{
	{"server starts again", startAgain}, {"server starts again on release", releaseInPlace},
	{"entry of another writer", writeEntry}, {"server has neighbours", serverFault(platformtest.Behaviour{Work: 5 * work / 2})},
	{"server pauses", pauseServer},
}

// entriesOfOthers are what another writer puts in the place of a server's entry. None names a
// server to use.
var entriesOfOthers = []string{
	"", "null", "\xff\xfe\x00", "{", `{"Service":"lookup"}`,
	`{"Service":"lookup","Address":"127.0.0.1:9","Zone":"zone-a","Version":"v1","Slots":5,"State":"standby","WarmupLeftMs":0,"Seq":1,"born":1}`,
	`{"Service":"lookup","Address":"127.0.0.1:9","Zone":"zone-a","Version":"v1","Slots":"5","State":"ready","WarmupLeftMs":0,"Seq":1,"born":1}`,
	`{"Service":"lookup","Address":"127.0.0.1:9","Zone":"zone-a","Version":"v1","Slots":5,"State":"ready","WarmupLeftMs":0,"Seq":1,"born":1.5}`,
	`{"Service":"none","Address":"127.0.0.1:9","Zone":"zone-a","Version":"v1","Slots":5,"State":"ready","WarmupLeftMs":0,"Seq":1,"born":1}`,
	strings.Repeat("[", largeEntry/2), `"` + strings.Repeat("x", largeEntry/2) + `"`,
}

// chaosOfServers lets something befall servers for a span of time. It has a source of randomness
// of its own, so that the other faults of a seed stay the same.
func (i *injector) chaosOfServers(random *rand.Rand, span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); {
		chosen := serverFaults[random.IntN(len(serverFaults))]
		drawn := rand.New(rand.NewPCG(random.Uint64(), 0))
		lasts := time.Duration(200+random.IntN(1800)) * time.Millisecond
		i.running.Go(func() { i.inject(chosen, lasts, drawn) })
		time.Sleep(time.Duration(300+random.IntN(900)) * time.Millisecond)
	}
}

// startAgain ends the process of a server, which is away for a while and then writes its entry.
func startAgain(i *injector, random *rand.Rand) (string, func()) {
	chosen := i.deployment.anyServer(random)
	if random.IntN(2) == 0 {
		i.deployment.store.Remove(chosen.Key())
	}
	rule, err := i.deployment.proxy.AddRule(faultproxy.Rule{
		Selector: faultproxy.Selector{Link: chosen.link}, Faults: faultproxy.Faults{Refuse: true, Reset: true},
	})
	if err != nil {
		return "", nil
	}
	return chosen.ID, func() {
		i.deployment.startAgain(chosen, random)
		_ = i.deployment.proxy.RemoveRule(rule) // It is there, and without it the server stays away.
		i.deployment.list(chosen)
	}
}

// releaseInPlace lets a server drain and start again under its id.
func releaseInPlace(i *injector, random *rand.Rand) (string, func()) {
	chosen := i.deployment.anyServer(random)
	if !i.deployment.isStaying(chosen) {
		return "", nil
	}
	chosen.List("draining")
	return chosen.ID, func() {
		i.deployment.startAgain(chosen, random)
		i.deployment.list(chosen)
	}
}

// writeEntry puts something else in the place of a server's entry until the server writes it again.
func writeEntry(i *injector, random *rand.Rand) (string, func()) {
	chosen := i.deployment.anyServer(random)
	i.deployment.store.PutBytes(chosen.Key(), []byte(entriesOfOthers[random.IntN(len(entriesOfOthers))]))
	return chosen.ID, func() { i.deployment.list(chosen) }
}

// pauseServer holds back what a server receives and answers for a moment.
func pauseServer(i *injector, random *rand.Rand) (string, func()) {
	name := serverOf(i.deployment, random)
	held := faultproxy.DirectionFaults{Stall: true}
	rule, err := i.deployment.proxy.AddRule(faultproxy.Rule{
		Selector: faultproxy.Selector{Link: name}, Faults: faultproxy.Faults{ToClient: held, ToServer: held},
	})
	if err != nil {
		return "", nil
	}
	time.Sleep(pauseSpan)
	return name, func() { _ = i.deployment.proxy.RemoveRule(rule) } // It is there.
}

// startAgain lets a server start again, with a clock that may have been set.
func (d *deployment) startAgain(chosen *server, random *rand.Rand) {
	at := time.Now().Add(time.Duration(random.Int64N(int64(2*clockStep))) - clockStep)
	if err := chosen.Restart(at); err != nil {
		d.history.violated("%s does not start again: %v", chosen.ID, err)
	}
}

// list writes the entry of a server that has not left meanwhile.
func (d *deployment) list(chosen *server) {
	d.listing.Lock()
	defer d.listing.Unlock()
	if d.isStaying(chosen) {
		chosen.List("ready")
	}
}

// isStaying reports whether a server is one of its service and has not ended.
func (d *deployment) isStaying(chosen *server) bool {
	for _, each := range d.of(chosen.Service) {
		if each == chosen {
			return true
		}
	}
	return false
}
