package catalog

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/machinelist"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/target"
)

const testService target.Service = "service"

var errTest = errors.New("test")

// clock is a clock that tests advance manually.
type clock struct{ now time.Time }

func newClock() *clock { return &clock{now: time.Unix(1_000_000, 0)} }

func (c *clock) Now() time.Time { return c.now }

func (c *clock) advance(by time.Duration) { c.now = c.now.Add(by) }

func serverID(number int) target.ServerID {
	return target.ServerID(fmt.Sprintf("10.0.0.%d:80", number))
}

// listOf returns a machine list of count live servers in two groups.
func listOf(count int) machinelist.List {
	list := make(machinelist.List, 0, count)
	for number := range count {
		list = append(list, machinelist.Entry{
			Server: serverID(number), Service: testService, Group: groupOf(number), Zone: "zone",
			State: machinelist.Live,
		})
	}
	return list
}

func groupOf(number int) string { return fmt.Sprintf("g%d", number%2) }

// statusOf returns the status of a server that started an hour ago.
func statusOf(number int, instance string, draining bool, version target.Version) *backend.Status {
	shards := []backend.Shard{{Group: groupOf(number), Range: keyspace.Full}}
	return &backend.Status{
		Service: testService, Instance: instance, Draining: draining, Ready: true, Uptime: time.Hour,
		Slots: 5, Connections: 75, Indexes: []backend.Index{{Version: version, Shards: shards}},
	}
}

// serverOf returns the entry of a server in a view, or nil.
func serverOf(view *View, id target.ServerID) *Server {
	index := slices.IndexFunc(view.Servers, func(server *Server) bool { return server.ID == id })
	if index < 0 {
		return nil
	}
	return view.Servers[index]
}

func lostConnection(server target.ServerID) error {
	return &outcome.Error{Step: "test", Peer: string(server), Reason: outcome.ReasonConnectionLost}
}
