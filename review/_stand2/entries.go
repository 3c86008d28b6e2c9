package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Figures of the case "entries": the bounds, the memory and the slowest links of the machines of the
// grown Valgsøk site.
const (
	entriesNodes     = 3
	entriesMemoryMB  = 184
	entriesLinkMbps  = 20
	entriesPerSecond = 30
	entriesWork      = 20 * time.Millisecond
	// oddCount and oddBytes are the number and the size of the entries by another writer; ValueBytes is
	// 1,048,576.
	oddCount  = 6
	oddBytes  = 1000000
	applyTime = 5 * time.Second
	// observedSpan is how long requests are sent after the new version is due.
	observedSpan = 20 * time.Second
)

// runs records at which service requests have run.
type runs struct {
	mutex   sync.Mutex
	service map[string]string
	sentAt  map[string]time.Time
	to      map[string]*node
}

func (r *runs) observe(at *server, id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.service[id] = at.service
}

func (r *runs) end(result outcome) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sentAt[result.id], r.to[result.id] = result.sentAt, result.to
}

// playEntries lets another writer leave entries that cannot be read among those of the servers, and then
// moves a route to another service.
func playEntries(s *stage) (bool, error) {
	platform, err := startStore()
	if err != nil {
		return false, err
	}
	zone := "oslo-hall-a"
	seen := &runs{service: make(map[string]string), sentAt: make(map[string]time.Time), to: make(map[string]*node)}
	for _, service := range []string{"valgarkiv", "redaksjonsfeed"} {
		for number := range 3 {
			started, err := startServer(s, platform, fmt.Sprintf("i-%s-%d", service, number), service, zone, entriesWork, 3, 12)
			if err != nil {
				return false, err
			}
			started.setObserver(seen.observe)
		}
	}
	configure := func(version int, service string) {
		platform.put("op/config", map[string]any{
			"Version": version,
			"Services": []map[string]any{
				{"Name": "valgarkiv", "HealthPath": "/health", "MaxConns": 480},
				{"Name": "redaksjonsfeed", "HealthPath": "/health", "MaxConns": 480},
			},
			"Routes": []map[string]any{{
				"Name": "archive-lookup", "Host": "fizi45.example", "PathPrefix": "/archive/", "Kind": "idempotent",
				"TimeoutMs": 15000, "TargetMs": 1000, "Priority": 2, "Service": service, "MaxAttempts": 2,
			}},
			"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		})
	}
	configure(1, "valgarkiv")
	var nodes []*node
	for index := range entriesNodes {
		each := newNode(fmt.Sprintf("edge-oslo-hall-a-%d", index+1), zone, "oslo")
		own, err := startLink(platform.address)
		if err != nil {
			return false, err
		}
		own.setRate(entriesLinkMbps)
		each.store = own.address
		nodes = append(nodes, each)
	}
	if err := s.startNodes(nodes, settings{zones: map[string]string{zone: "oslo"}, memoryMB: entriesMemoryMB, bounds: grownBounds}); err != nil {
		return false, err
	}
	time.Sleep(7 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	load := newClient(s, nodes)
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		load.load(ctx, entriesPerSecond, func() request {
			return request{method: http.MethodGet, path: "/archive/2f", deadline: 4 * time.Second, ended: seen.end}
		})
	}()
	if s.hasTrouble {
		leaveOddEntries(platform)
		s.note("another writer has left %d entries of %d bytes that cannot be read", oddCount, oddBytes)
	}
	time.Sleep(7 * time.Second)
	configure(2, "redaksjonsfeed")
	due := time.Now().Add(applyTime)
	s.note("version 2 is acknowledged; it moves the route from valgarkiv to redaksjonsfeed")
	time.Sleep(applyTime + observedSpan)
	cancel()
	<-loaded
	s.note("answers: %v", load.counts())
	return seen.check(s, due), nil
}

// leaveOddEntries writes entries of random bytes under ids of servers.
func leaveOddEntries(platform *store) {
	for number := range oddCount {
		value := make([]byte, oddBytes)
		for index := range value {
			value[index] = byte(rand.IntN(256))
		}
		platform.putBytes(fmt.Sprintf("servers/i-odd-%d", number), value)
	}
}

// check notes the requests that were sent after the new version was due, by the service that ran them,
// and reports whether the old service ran any.
func (r *runs) check(s *stage, due time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	counts, old := make(map[string]int), make(map[string]int)
	last := 0.0
	for id, sentAt := range r.sentAt {
		if !sentAt.After(due) {
			continue
		}
		counts[r.service[id]]++
		if r.service[id] == "valgarkiv" {
			old[r.to[id].name]++
			last = max(last, sentAt.Sub(due).Seconds())
		}
	}
	s.note("requests sent after version 2 was due, by the service that ran them: %v", counts)
	s.note("at the old service, by node: %v; the last one was sent %.1f s after version 2 was due", old, last)
	return counts["valgarkiv"] > 0
}
