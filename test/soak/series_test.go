package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// Series of signals, restarts and changes. They run beside the single faults and overlap
// with them and with each other.
const (
	seriesLength = 5
	// signalAge is how old a process must be to get a signal that it handles: one that
	// has just begun is ended by it.
	signalAge = 500 * time.Millisecond
	// longFreeze is longer than the time in which a node is held to no bounds.
	longFreeze = 6 * time.Second
)

// series is the catalogue of what comes several times in a row.
var series = []fault{
	{"reloads in series", reloadInSeries}, {"configurations in series", configureInSeries},
	{"stops in series", stopInSeries}, {"kills in series", killInSeries},
	{"freezes in series", freezeInSeries}, {"long freeze", freezeLong},
}

// chaosOfSeries begins series for a span of time. It has a source of randomness of its own,
// so that the single faults of a seed stay the same.
func (i *injector) chaosOfSeries(random *rand.Rand, span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); {
		chosen := series[random.IntN(len(series))]
		drawn := rand.New(rand.NewPCG(random.Uint64(), 0))
		i.running.Go(func() { i.inject(chosen, 0, drawn) })
		time.Sleep(time.Duration(500+random.IntN(1500)) * time.Millisecond)
	}
}

// reloadInSeries signals any nodes, also such as are being stopped or paused.
func reloadInSeries(i *injector, random *rand.Rand) (string, func()) {
	for range seriesLength {
		chosen := i.deployment.running[random.IntN(len(i.deployment.running))]
		if chosen.age() > signalAge {
			chosen.signal(syscall.SIGHUP)
		}
		time.Sleep(time.Duration(random.IntN(120)) * time.Millisecond)
	}
	return fmt.Sprint(seriesLength, " signals"), func() {}
}

func configureInSeries(i *injector, random *rand.Rand) (string, func()) {
	for range seriesLength {
		i.deployment.configure(i.deployment.history.newest().Shards)
		time.Sleep(time.Duration(random.IntN(150)) * time.Millisecond)
	}
	return fmt.Sprint(seriesLength, " versions"), func() {}
}

// stopInSeries stops nodes one after the other as planned, each while others may be stopping.
func stopInSeries(i *injector, random *rand.Rand) (string, func()) {
	return i.endInSeries(random, syscall.SIGTERM, graceBound)
}

func killInSeries(i *injector, random *rand.Rand) (string, func()) {
	return i.endInSeries(random, syscall.SIGKILL, time.Minute)
}

func (i *injector) endInSeries(random *rand.Rand, signal syscall.Signal, patience time.Duration) (string, func()) {
	ended := ""
	for range seriesLength - 2 {
		chosen := i.takeNode(random)
		if chosen == nil {
			continue
		}
		if !chosen.end(signal, patience) {
			i.deployment.history.violated("%s did not stop within its grace time", chosen.name)
		}
		chosen.start()
		i.giveBack(chosen)
		ended += chosen.name + " "
	}
	return ended, func() {}
}

func freezeInSeries(i *injector, random *rand.Rand) (string, func()) {
	chosen := i.takeNode(random)
	if chosen == nil {
		return "", nil
	}
	for range seriesLength {
		chosen.signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(100+random.IntN(500)) * time.Millisecond)
		chosen.signal(syscall.SIGCONT)
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
	return chosen.name, func() { i.giveBack(chosen) }
}

func freezeLong(i *injector, random *rand.Rand) (string, func()) {
	chosen := i.takeNode(random)
	if chosen == nil {
		return "", nil
	}
	chosen.signal(syscall.SIGSTOP)
	time.Sleep(longFreeze)
	return chosen.name, func() {
		chosen.signal(syscall.SIGCONT)
		i.giveBack(chosen)
	}
}
