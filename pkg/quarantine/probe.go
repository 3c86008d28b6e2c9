package quarantine

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/fleet"
)

// Times of finding out whether a server has ended.
const (
	// probeTimeout bounds the connection that tells whether a server has ended. A server
	// that has ended refuses within a round trip.
	probeTimeout = time.Second
	// probeAgain is when a server that took the connection is probed once more: a process
	// that ends may close its connections some milliseconds before it ceases to listen.
	probeAgain = 100 * time.Millisecond
	// endedSpan is for how long a server that has ended is known to have.
	endedSpan = 30 * time.Second
)

// probeAll finds out which of the servers that seem to have ended under a request have. The
// mutex is held.
func (g *Guard) probeAll(known *record) {
	for server, each := range known.ends {
		if !each.isConfirmed && !g.probed[server] {
			g.probed[server] = true
			go g.probe(server, each.address)
		}
	}
}

// probeUnsettled does so for all requests that have not been answered meanwhile.
func (g *Guard) probeUnsettled() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, known := range g.records {
		g.probeAll(known)
	}
}

// probe finds out whether a server has ended: its address refuses connections then.
func (g *Guard) probe(server fleet.Incarnation, address string) {
	err := g.connect(address)
	if err == nil {
		time.Sleep(probeAgain)
		err = g.connect(address)
	}
	g.settle(server, errors.Is(err, syscall.ECONNREFUSED), time.Now())
}

// connect opens a connection to a server and closes it.
func (g *Guard) connect(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	opened, err := g.options.Dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return opened.Close()
}

// settle takes whether a server has ended that broke connections.
func (g *Guard) settle(server fleet.Incarnation, hasEnded bool, now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.probed, server)
	if hasEnded {
		g.ended[server] = now
	}
	for fingerprint, known := range g.records {
		before := known.standing(now)
		if known.settle(server, hasEnded) {
			g.changed(fingerprint, before, now)
		}
	}
}

// RecordReplacement notes that an incarnation has ended, since another process of its server has taken
// its place. A connection would not show that: the later process accepts it.
func (g *Guard) RecordReplacement(server fleet.Incarnation, now time.Time) {
	g.settle(server, true, now)
}
