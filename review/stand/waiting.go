package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The deployment and its load: a third of the clients order from the service whose servers leave.
const (
	waitingNodes    = 3
	waitingServers  = 3
	waitingClients  = 45
	waitingPause    = 500 * time.Millisecond
	waitingWork     = 60 * time.Millisecond
	waitingDeadline = 15 * time.Second
	waitingSpan     = 30 * time.Second
)

// The planned work: all servers of one service say that they drain, end as the pages say, and others
// start later; a node is stopped and started meanwhile.
const (
	drainAt = 5 * time.Second
	// drainSpan is DrainMs and a little more.
	drainSpan      = 3500 * time.Millisecond
	serversStartAt = 22 * time.Second
	stopAt         = 6500 * time.Millisecond
)

const (
	standingService = "tint-orders"
	leavingService  = "varnish-orders"
)

// waitingConfiguration is the operator's configuration.
func waitingConfiguration() map[string]any {
	return map[string]any{
		"Version": 1,
		"Routes":  []map[string]any{waitingRoute("tint", standingService), waitingRoute("varnish", leavingService)},
		"Services": []map[string]any{
			{"Name": standingService, "HealthPath": "/health", "MaxConns": 96},
			{"Name": leavingService, "HealthPath": "/health", "MaxConns": 96},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

func waitingRoute(name, service string) map[string]any {
	return map[string]any{
		"Name": name, "Host": ordersHost, "PathPrefix": "/" + name + "/", "Kind": "non_idempotent", "TimeoutMs": waitingDeadline.Milliseconds(),
		"TargetMs": 1000, "Priority": 2, "Service": service, "MaxAttempts": 2,
	}
}

// runWaiting stops a node as planned while requests wait in it for a server.
func runWaiting(prepared *setup) ([]string, error) {
	kept, err := startStore()
	if err != nil {
		return nil, err
	}
	runs := &runLog{record: prepared.record}
	if _, err := startWaitingServers(prepared, kept, runs, standingService, 0); err != nil {
		return nil, err
	}
	leaving, err := startWaitingServers(prepared, kept, runs, leavingService, 0)
	if err != nil {
		return nil, err
	}
	if err := kept.put("op/config", waitingConfiguration()); err != nil {
		return nil, err
	}
	prepared.nodes.store = kept.address()
	nodes, err := startNodes(prepared.nodes, waitingNodes)
	if err != nil {
		return nil, err
	}
	defer stopNodes(nodes)
	ctx, cancel := context.WithTimeout(context.Background(), waitingSpan)
	defer cancel()
	history := &stopHistory{stops: make(map[string][]time.Time)}
	var working sync.WaitGroup
	working.Go(func() { replaceServers(ctx, prepared, kept, runs, leaving) })
	working.Go(func() {
		pause(ctx, stopAt)
		if prepared.trouble {
			restart(prepared, nodes[0], history)
		}
	})
	attempts := sendWaiting(ctx, prepared, nodes)
	working.Wait()
	var incomplete []attempt
	for _, each := range attempts {
		if each.failure != nil {
			incomplete = append(incomplete, each)
		}
	}
	prepared.record.say("%d requests, %d without a complete answer, %d runs", len(attempts), len(incomplete), len(runs.all()))
	return checkLost(prepared.record, incomplete, runs.all(), history), nil
}

// restart stops a node with SIGTERM and starts it again.
func restart(prepared *setup, stopped *node, history *stopHistory) {
	prepared.record.note("SIGTERM to %s", stopped.name)
	history.add(stopped.name, time.Now())
	stopped.terminate()
	prepared.record.note("%s has ended", stopped.name)
	if err := stopped.start(prepared.nodes); err != nil {
		prepared.record.note("%s does not start: %v", stopped.name, err)
	}
}

// startWaitingServers starts and lists the servers of a service; first is the number of those before.
func startWaitingServers(prepared *setup, kept *store, runs *runLog, service string, first int) ([]*server, error) {
	var servers []*server
	for index := range waitingServers {
		created, err := startServer(serverOptions{
			id: fmt.Sprintf("i-%s-%d", service, first+index+1), service: service, zone: zoneName(index), slots: 4, queue: 16, work: waitingWork,
			answerBody: func(id string) []byte { return []byte("done " + id) },
		}, runs, prepared.record)
		if err != nil {
			return nil, err
		}
		if err := created.list(kept); err != nil {
			return nil, err
		}
		servers = append(servers, created)
		go beat(created, kept)
	}
	return servers, nil
}

// replaceServers drains the servers of a service, ends them, and starts others later.
func replaceServers(ctx context.Context, prepared *setup, kept *store, runs *runLog, leaving []*server) {
	began := time.Now()
	pause(ctx, drainAt)
	for _, each := range leaving {
		each.isDraining.Store(true)
		_ = each.list(kept) // The entry can always be encoded.
	}
	prepared.record.note("the servers of %s say that they drain", leavingService)
	pause(ctx, drainSpan)
	for _, each := range leaving {
		each.end(kept)
	}
	prepared.record.note("the servers of %s have ended", leavingService)
	pause(ctx, serversStartAt-time.Since(began))
	if _, err := startWaitingServers(prepared, kept, runs, leavingService, len(leaving)); err != nil {
		prepared.record.note("servers do not start: %v", err)
	}
	prepared.record.note("other servers of %s have started", leavingService)
}

// sendWaiting lets all clients send orders until ctx ends, and returns the attempts.
func sendWaiting(ctx context.Context, prepared *setup, nodes []*node) []attempt {
	entry := &entryPoint{nodes: nodes}
	go entry.watch()
	var mutex sync.Mutex
	var attempts []attempt
	var numbers atomic.Int64
	var clients sync.WaitGroup
	for index := range waitingClients {
		name := "tint"
		if index%3 == 0 {
			name = "varnish"
		}
		clients.Go(func() {
			random, caller := newRandom(prepared.seed, uint64(index)), newClient()
			defer caller.close()
			var at *node
			for ctx.Err() == nil {
				if at == nil || caller.connections[at.clients] == nil {
					at = entry.choose(random)
				}
				id := fmt.Sprintf("o%d", numbers.Add(1))
				prepared.record.note("client: sends %s to %s on the route %s", id, at.name, name)
				made := caller.do(at, id, call{
					method: http.MethodPost, host: ordersHost, target: "/" + name + "/" + id, body: []byte(name), deadline: waitingDeadline,
				})
				prepared.record.note("client: %s was answered %d, error %v", id, made.status, made.failure)
				mutex.Lock()
				attempts = append(attempts, made)
				mutex.Unlock()
				pause(ctx, time.Duration(2*random.Float64()*float64(waitingPause))+made.retryAfter)
			}
		})
	}
	clients.Wait()
	return attempts
}
