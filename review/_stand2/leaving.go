package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Figures of the case "leaving". The bounds, memory and connections are those of the grown Valgsøk
// site, the work that of its archive.
const (
	leavingNodes     = 8
	leavingServers   = 6
	leavingPerSecond = 100
	leavingRounds    = 6
	leavingWork      = 220 * time.Millisecond
	drainTime        = 5 * time.Second
	// serveOn is how long the server serves after its entry has gone: DrainMs and a little longer.
	serveOn = drainTime + 1500*time.Millisecond
	// cutFrom and cutTo are when one machine is cut from the store, after the entry has gone: about when
	// it asks the store for the changes since the configuration.
	cutFrom = 1150 * time.Millisecond
	cutTo   = 1500 * time.Millisecond
)

// arrival is one request at a server.
type arrival struct {
	server *server
	at     time.Time
}

// arrivals records the requests that reached servers, and to which node clients sent them.
type arrivals struct {
	mutex sync.Mutex
	byID  map[string]arrival
	to    map[string]*node
	ends  map[string]string
}

func (a *arrivals) observe(at *server, id string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.byID[id] = arrival{server: at, at: time.Now()}
}

func (a *arrivals) end(result outcome) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.to[result.id], a.ends[result.id] = result.to, result.end
}

// playLeaving takes servers away that never say draining, while one machine is cut from the store
// for a moment.
func playLeaving(s *stage) (bool, error) {
	platform, err := startStore()
	if err != nil {
		return false, err
	}
	zone := "oslo-hall-a"
	seen := &arrivals{byID: make(map[string]arrival), to: make(map[string]*node), ends: make(map[string]string)}
	count := 0
	start := func() (*server, error) {
		count++
		started, err := startServer(s, platform, fmt.Sprintf("i-%04d", count), "orders", zone, leavingWork, 12, 30)
		if err == nil {
			started.setObserver(seen.observe)
		}
		return started, err
	}
	var servers []*server
	for range leavingServers {
		started, err := start()
		if err != nil {
			return false, err
		}
		servers = append(servers, started)
	}
	configure := func(version int) {
		platform.put("op/config", map[string]any{
			"Version": version, "Services": []map[string]any{{"Name": "orders", "HealthPath": "/health", "MaxConns": 480}},
			"Routes": []map[string]any{{
				"Name": "orders", "Host": "fizi45.example", "PathPrefix": "/orders/", "Kind": "non_idempotent", "TimeoutMs": 4000,
				"TargetMs": 1000, "Priority": 1, "Service": "orders", "MaxAttempts": 2,
			}},
			"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		})
	}
	configure(1)
	var nodes []*node
	links := make(map[*node]*link)
	for index := range leavingNodes {
		each := newNode(fmt.Sprintf("edge-oslo-hall-a-%d", index+1), zone, "oslo")
		links[each], err = startLink(platform.address)
		if err != nil {
			return false, err
		}
		each.store = links[each].address
		nodes = append(nodes, each)
	}
	if err := s.startNodes(nodes, settings{zones: map[string]string{zone: "oslo"}, memoryMB: 284, bounds: grownBounds}); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	var reader *node
	for _, each := range nodes {
		s.note("%s is a %s", each.name, each.role())
		if each.role() == "reader" {
			reader = each
		}
	}
	if reader == nil {
		return false, errors.New("no node reads the store for others")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	load := newClient(s, nodes)
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		load.load(ctx, leavingPerSecond, func() request {
			return request{method: http.MethodPost, path: "/orders/2f", body: []byte("one"), deadline: 4 * time.Second, ended: seen.end}
		})
	}()
	gone := make(map[*server]time.Time)
	for round := range leavingRounds {
		time.Sleep(2 * time.Second)
		added, err := start()
		if err != nil {
			return false, err
		}
		servers = append(servers, added)
		time.Sleep(2 * time.Second)
		configure(round + 2)
		time.Sleep(50 * time.Millisecond)
		leaving := servers[0]
		servers = servers[1:]
		platform.remove("servers/" + leaving.id)
		removedAt := time.Now()
		gone[leaving] = removedAt
		s.note("the entry of %s has gone; it serves on for %v", leaving.id, serveOn)
		if s.hasTrouble {
			time.Sleep(time.Until(removedAt.Add(cutFrom)))
			links[reader].cut(true)
			time.Sleep(time.Until(removedAt.Add(cutTo)))
			links[reader].cut(false)
			s.note("%s was cut from the store for %v", reader.name, cutTo-cutFrom)
		}
		time.Sleep(time.Until(removedAt.Add(serveOn)))
		leaving.end()
		s.note("%s has ended", leaving.id)
	}
	cancel()
	<-loaded
	s.note("answers: %v", load.counts())
	return seen.check(s, gone, reader), nil
}

// check notes the requests that reached a server too late, and reports whether there were any that a
// node sent on that was never cut.
func (a *arrivals) check(s *stage, gone map[*server]time.Time, cut *node) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	late, lost := 0, 0
	for id, each := range a.byID {
		removedAt, isGone := gone[each.server]
		if !isGone || each.at.Sub(removedAt) <= drainTime || a.to[id] == cut {
			continue
		}
		late++
		if a.ends[id] != "200" {
			lost++
		}
		s.note("request %s, sent to %s, reached %s %.2f s after its entry had gone; the client: %s",
			id, a.to[id].name, each.server.id, each.at.Sub(removedAt).Seconds(), a.ends[id])
	}
	s.note("%d requests reached a server later than %v after its entry had gone; %d of them got no success", late, drainTime, lost)
	return late > 0
}
