package quarantine

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/fleet"
)

// Times of probing servers.
const (
	// probeTimeout bounds the connection attempt that shows whether a server has crashed. A crashed
	// server refuses the connection within a round trip.
	probeTimeout = time.Second
	// probeRepeatDelay is when a server that accepted the connection is probed once more: a process
	// that ends may close its connections some milliseconds before it stops listening.
	probeRepeatDelay = 100 * time.Millisecond
	// crashRetention is how long it is remembered that a server has crashed.
	crashRetention = 30 * time.Second
)

// probeServers probes the servers that may have crashed under a request. The mutex is held.
func (g *Guard) probeServers(rec *record) {
	for server, crash := range rec.crashes {
		if !crash.isConfirmed && !g.probing[server] {
			g.probing[server] = true
			go g.probe(server, crash.address)
		}
	}
}

// probeUnconfirmed probes the servers that may have crashed under requests which have not been
// answered meanwhile.
func (g *Guard) probeUnconfirmed() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, rec := range g.records {
		g.probeServers(rec)
	}
}

// probe determines whether a server has crashed: its address then refuses connections.
func (g *Guard) probe(server fleet.Incarnation, address string) {
	err := g.connect(address)
	if err == nil {
		time.Sleep(probeRepeatDelay)
		err = g.connect(address)
	}
	g.resolve(server, errors.Is(err, syscall.ECONNREFUSED), time.Now())
}

// connect opens a connection to a server and closes it.
func (g *Guard) connect(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	connection, err := g.options.Dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return connection.Close()
}

// resolve records whether a server that broke connections has crashed.
func (g *Guard) resolve(server fleet.Incarnation, hasCrashed bool, now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.probing, server)
	if hasCrashed {
		g.crashed[server] = now
	}
	for fingerprint, rec := range g.records {
		before := rec.state(now)
		if rec.resolve(server, hasCrashed) {
			g.reportChange(fingerprint, before, now)
		}
	}
}

// RecordReplacement records that an incarnation has ended, since another process of its server has
// taken its place. A probe would not show that: the new process accepts connections.
func (g *Guard) RecordReplacement(server fleet.Incarnation, now time.Time) {
	g.resolve(server, true, now)
}
