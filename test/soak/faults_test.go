package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/bramblemast/bramblemast/internal/lab/faultproxy"
	"github.com/bramblemast/bramblemast/platform/platformtest"
)

// injector breaks the deployment at random. Each fault ends by itself.
type injector struct {
	deployment *deployment
	random     *rand.Rand
	running    sync.WaitGroup

	mutex sync.Mutex
	// busy are the nodes whose process is stopped, killed or paused; guarded by
	// mutex.
	busy map[*node]bool
}

// fault breaks something for a span of time.
type fault struct {
	name string
	// run breaks it and returns what to mend after the span; nil for a fault
	// that could not be injected now.
	run func(i *injector, random *rand.Rand) (what string, mend func())
}

// storeSilent is the fault under which the store's watches hear nothing.
const storeSilent = "store silent"

// faults is the catalogue. A node uses neither the time of day nor storage for
// any decision, so none of them is a clock's or a disk's.
var faults = []fault{
	{"kill", killNode}, {"kill all", killAll}, {"pause", pauseNode}, {"reload", reloadNode},
	{"store cut", linkFault(storeOf, faultproxy.Cut())},
	{"store cut one way", linkFault(storeOf, faultproxy.Faults{ToClient: faultproxy.DirectionFaults{Stall: true}})},
	{"store cut other way", linkFault(storeOf, faultproxy.Faults{ToServer: faultproxy.DirectionFaults{Stall: true}})},
	{"store reset", linkFault(storeOf, faultproxy.Faults{Reset: true})},
	{"store refused", linkFault(storeOf, faultproxy.Faults{Refuse: true})},
	{"store delayed", linkFault(storeOf, delayed(200*time.Millisecond))},
	{"peers cut", linkFault(peersOf, faultproxy.Cut())},
	{"peers held back", linkFault(peersOf, faultproxy.Faults{ToClient: faultproxy.DirectionFaults{Stall: true}})},
	{"peers unheard", linkFault(peersOf, faultproxy.Faults{ToServer: faultproxy.DirectionFaults{Stall: true}})},
	{"peers reset", linkFault(peersOf, faultproxy.Faults{Reset: true})},
	{"peers refused", linkFault(peersOf, faultproxy.Faults{Refuse: true})},
	{"peers delayed", linkFault(peersOf, delayed(120*time.Millisecond))},
	{"server cut", linkFault(serverOf, faultproxy.Cut())},
	{"server answers held back", linkFault(serverOf, faultproxy.Faults{ToClient: faultproxy.DirectionFaults{Stall: true}})},
	{"server reset", linkFault(serverOf, faultproxy.Faults{Reset: true})},
	{"server refused", linkFault(serverOf, faultproxy.Faults{Refuse: true})},
	{"server delayed", linkFault(serverOf, delayed(120*time.Millisecond))},
	{"server cut off midway", linkFault(serverOf, faultproxy.Faults{ToClient: faultproxy.DirectionFaults{ResetAfterBytes: 700}})},
	{"store busy", storeFault(platformtest.StoreFaults{Status: 503})},
	{"store limits", storeFault(platformtest.StoreFaults{Status: 429})},
	{"store slow", storeFault(platformtest.StoreFaults{Delay: 400 * time.Millisecond})},
	{"store loses answers", storeFault(platformtest.StoreFaults{LoseAnswers: true})},
	{storeSilent, storeFault(platformtest.StoreFaults{SilentWatches: true})},
	{"store forgets", forgetHistory},
	{"list lost", loseList},
	{"server sheds", serverFault(platformtest.Behaviour{Shed: true})},
	{"server fails", serverFault(platformtest.Behaviour{Work: work, Fail: true})},
	{"server loses answers", serverFault(platformtest.Behaviour{Work: work, LoseAnswer: true})},
	{"server cuts bodies", serverFault(platformtest.Behaviour{Work: work, Cut: true})},
	{"server slow", serverFault(platformtest.Behaviour{Work: 40 * work})},
	{"server leaves", replaceServer}, {"configuration", changeConfiguration}, {"shards recut", recutShards},
}

// chaos injects faults for a span of time and waits until all have ended.
func (i *injector) chaos(span time.Duration) {
	end := time.Now().Add(span)
	for time.Now().Before(end) {
		chosen := faults[i.random.IntN(len(faults))]
		lasts := time.Duration(300+i.random.IntN(2700)) * time.Millisecond
		// Each fault has a source of its own, so that the order of the faults
		// depends on the seed alone.
		random := rand.New(rand.NewPCG(i.random.Uint64(), 0))
		i.running.Go(func() { i.inject(chosen, lasts, random) })
		time.Sleep(time.Duration(100+i.random.IntN(400)) * time.Millisecond)
	}
	i.running.Wait()
}

func (i *injector) inject(chosen fault, lasts time.Duration, random *rand.Rand) {
	// Noted before it begins: what it breaks at once is no broken promise.
	end := i.deployment.history.begin(chosen.name)
	defer end()
	what, mend := chosen.run(i, random)
	if mend == nil {
		return
	}
	i.deployment.history.note("%s: %s", chosen.name, what)
	time.Sleep(lasts)
	mend()
}

// takeNode returns a node whose process nothing else is done to, or nil.
func (i *injector) takeNode(random *rand.Rand) *node {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	chosen := i.deployment.running[random.IntN(len(i.deployment.running))]
	if i.busy[chosen] {
		return nil
	}
	i.busy[chosen] = true
	return chosen
}

func (i *injector) giveBack(used *node) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	delete(i.busy, used)
}

func killNode(i *injector, random *rand.Rand) (string, func()) {
	chosen := i.takeNode(random)
	if chosen == nil {
		return "", nil
	}
	chosen.end(syscall.SIGKILL, time.Minute)
	return chosen.name, func() {
		chosen.start()
		i.giveBack(chosen)
	}
}

func killAll(i *injector, _ *rand.Rand) (string, func()) {
	var killed []*node
	for _, each := range i.deployment.running {
		i.mutex.Lock()
		free := !i.busy[each]
		i.busy[each] = true
		i.mutex.Unlock()
		if free {
			killed = append(killed, each)
		}
	}
	for _, each := range killed {
		each.end(syscall.SIGKILL, time.Minute)
	}
	return fmt.Sprint(len(killed), " nodes"), func() {
		for _, each := range killed {
			each.start()
			i.giveBack(each)
		}
	}
}

func pauseNode(i *injector, random *rand.Rand) (string, func()) {
	chosen := i.takeNode(random)
	if chosen == nil {
		return "", nil
	}
	chosen.signal(syscall.SIGSTOP)
	return chosen.name, func() {
		chosen.signal(syscall.SIGCONT)
		i.giveBack(chosen)
	}
}

func reloadNode(i *injector, random *rand.Rand) (string, func()) {
	chosen := i.takeNode(random)
	if chosen == nil {
		return "", nil
	}
	chosen.signal(syscall.SIGHUP)
	return chosen.name, func() { i.giveBack(chosen) }
}

// storeOf returns the link of a node to the store, serverOf that of a server.
func storeOf(d *deployment, random *rand.Rand) string {
	return storeLink(d.running[random.IntN(len(d.running))].name)
}

// peersOf returns the link of all others to a node.
func peersOf(d *deployment, random *rand.Rand) string {
	return peerLink(d.running[random.IntN(len(d.running))].name)
}

func serverOf(d *deployment, random *rand.Rand) string { return d.anyServer(random).link }

// anyServer returns a server of the services in use; as often one of the orders
// as one of any other, since most can go wrong there.
func (d *deployment) anyServer(random *rand.Rand) *server {
	services := append([]string{lookupName, ordersName}, d.history.newest().Shards...)
	service := services[random.IntN(len(services))]
	if random.IntN(2) == 0 {
		service = ordersName
	}
	running := d.of(service)
	return running[random.IntN(len(running))]
}

func delayed(by time.Duration) faultproxy.Faults {
	return faultproxy.Faults{ToServer: faultproxy.DirectionFaults{Delay: faultproxy.Duration(by), Jitter: faultproxy.Duration(by)}}
}

func linkFault(link func(*deployment, *rand.Rand) string, broken faultproxy.Faults) func(*injector, *rand.Rand) (string, func()) {
	return func(i *injector, random *rand.Rand) (string, func()) {
		name := link(i.deployment, random)
		rule, err := i.deployment.proxy.AddRule(faultproxy.Rule{Selector: faultproxy.Selector{Link: name}, Faults: broken})
		if err != nil {
			return "", nil
		}
		return name, func() { _ = i.deployment.proxy.RemoveRule(rule) }
	}
}

func storeFault(broken platformtest.StoreFaults) func(*injector, *rand.Rand) (string, func()) {
	return func(i *injector, _ *rand.Rand) (string, func()) {
		i.deployment.store.SetFaults(broken)
		return "", func() { i.deployment.store.SetFaults(platformtest.StoreFaults{}) }
	}
}

func forgetHistory(i *injector, _ *rand.Rand) (string, func()) {
	i.deployment.store.DropHistory()
	return "", func() {}
}

// loseList takes the entries of a service's servers away, as a store that was
// down may, until the servers write them again.
func loseList(i *injector, random *rand.Rand) (string, func()) {
	service := i.deployment.anyServer(random).Service
	i.deployment.store.SetFaults(platformtest.StoreFaults{Status: 503})
	for _, each := range i.deployment.of(service) {
		i.deployment.store.Remove("servers/" + each.ID)
	}
	return service, func() {
		i.deployment.store.SetFaults(platformtest.StoreFaults{})
		for _, each := range i.deployment.of(service) {
			each.List("ready")
		}
	}
}

func serverFault(broken platformtest.Behaviour) func(*injector, *rand.Rand) (string, func()) {
	return func(i *injector, random *rand.Rand) (string, func()) {
		chosen := i.deployment.anyServer(random)
		changed := broken
		changed.Records, changed.Deadly = chosen.sound().Records, chosen.deadly
		chosen.Set(changed)
		return chosen.ID, chosen.heal
	}
}

func replaceServer(i *injector, random *rand.Rand) (string, func()) {
	chosen := i.deployment.anyServer(random)
	i.deployment.replace(chosen)
	return chosen.ID, func() {}
}

func changeConfiguration(i *injector, _ *rand.Rand) (string, func()) {
	i.deployment.configure(i.deployment.history.newest().Shards)
	return "", func() {}
}

func recutShards(i *injector, random *rand.Rand) (string, func()) {
	i.deployment.recut(random)
	return "", func() {}
}
