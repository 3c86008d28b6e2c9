package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the case "crowd": the machines, the servers and the requests of archive-lookup at the site
// valgsok.
const (
	crowdNodes     = 3
	crowdMemoryMB  = 284
	crowdServers   = 27
	crowdSlots     = 3
	crowdQueue     = 12
	crowdMaxConns  = 110
	crowdWork      = 220 * time.Millisecond
	crowdDeadline  = 15 * time.Second
	crowdPerSecond = 45
	// headerLimit is MaxHeaderBytes, and longHeadBytes the size of the heads of the crowd.
	headerLimit    = 16384
	longHeadBytes  = headerLimit - 1024
	crowdBodyBytes = 40960
	// crowdSize is the number of clients in the crowd at each of crowdedNodes nodes.
	crowdSize    = 1400
	crowdedNodes = 2
	crowdRounds  = 12
	// neededEnds is how often a process ends by itself on a machine that counts for the rule, and
	// neededMachines on how many machines: a tenth of those in use, two at least.
	neededEnds     = 3
	neededMachines = 2
)

// longHead returns short header lines that add up to longHeadBytes.
func longHead() string {
	var lines strings.Builder
	for number := 0; lines.Len() < longHeadBytes; number++ {
		lines.WriteString(strconv.FormatInt(int64(number), 36) + ":1\r\n")
	}
	return lines.String()
}

// playCrowd lets many clients send requests with heads of a legal size at once, beside ordinary clients.
func playCrowd(s *stage) (bool, error) {
	platform, err := startStore()
	if err != nil {
		return false, err
	}
	zone := "oslo-hall-a"
	seen := &cuts{received: make(map[string]bool)}
	for number := range crowdServers {
		started, err := startServer(s, platform, fmt.Sprintf("i-%04d", number), "valgarkiv", zone, crowdWork, crowdSlots, crowdQueue)
		if err != nil {
			return false, err
		}
		started.setObserver(seen.observe)
	}
	platform.put("op/config", map[string]any{
		"Version": 7, "Services": []map[string]any{{"Name": "valgarkiv", "HealthPath": "/health", "MaxConns": crowdMaxConns}},
		"Routes": []map[string]any{{
			"Name": "archive-lookup", "Host": "fizi45.example", "PathPrefix": "/archive/", "Kind": "idempotent",
			"TimeoutMs": crowdDeadline.Milliseconds(), "TargetMs": 1000, "Priority": 2, "Service": "valgarkiv", "MaxAttempts": 2,
		}},
		"Limits": map[string]any{"MaxHeaderBytes": headerLimit, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	var nodes []*node
	for index := range crowdNodes {
		nodes = append(nodes, newNode(fmt.Sprintf("edge-oslo-hall-a-%d", index+1), zone, "oslo"))
	}
	given := settings{store: platform.address, zones: map[string]string{zone: "oslo"}, memoryMB: crowdMemoryMB, bounds: smallBounds}
	if err := s.startNodes(nodes, given); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watched := watchMemory(ctx, s, nodes, crowdMemoryMB)
	ordinary := newClient(s, nodes)
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		ordinary.load(ctx, crowdPerSecond, func() request {
			return request{method: http.MethodGet, path: "/archive/2f", deadline: crowdDeadline, ended: seen.end}
		})
	}()
	for range crowdRounds {
		time.Sleep(3 * time.Second)
		if s.hasTrouble {
			s.note("%d clients at each of %d nodes send a request with a head of %d bytes", crowdSize, crowdedNodes, longHeadBytes)
			s.note("how they ended: %v", sendCrowd(s, nodes[:crowdedNodes]))
		}
	}
	cancel()
	<-loaded
	s.note("ordinary requests: %v", ordinary.counts())
	seen.report(s)
	watched.report(s)
	return watched.machines(neededEnds) >= neededMachines, nil
}

// sendCrowd sends one request for each client of the crowd, on a connection of its own, and returns how
// they ended.
func sendCrowd(s *stage, nodes []*node) map[string]int {
	crowd, head, body := newCrowdClient(s, nodes), longHead(), make([]byte, crowdBodyBytes)
	for range crowdSize * len(nodes) {
		crowd.group.Go(func() {
			crowd.send(request{method: http.MethodPost, path: "/archive/2f", header: head, body: body, deadline: crowdDeadline})
		})
	}
	return crowd.counts()
}

// cuts records the ordinary requests that servers received and how they ended at clients.
type cuts struct {
	mutex    sync.Mutex
	received map[string]bool
	ended    []outcome
}

func (c *cuts) observe(_ *server, id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.received[id] = true
}

func (c *cuts) end(result outcome) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ended = append(c.ended, result)
}

// report notes the ordinary requests that servers received and whose clients got no answer.
func (c *cuts) report(s *stage) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	count := 0
	for _, each := range c.ended {
		if each.end == endClosed && c.received[each.id] {
			count++
			s.note("ordinary request %s at %s had reached a server, and its connection ended without an answer", each.id, each.to.name)
		}
	}
	s.note("%d ordinary requests that had reached a server ended so", count)
}
