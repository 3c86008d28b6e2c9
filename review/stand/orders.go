package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The deployment and its load: the numbers of servers, slots and connections are those of the shard
// services of a small deployment.
const (
	orderNodes       = 4
	orderServices    = 10
	serversOfService = 3
	orderSlots       = 5
	orderQueue       = 4
	orderConnections = 41
	orderWork        = 60 * time.Millisecond
	clientsOfService = 120
	// orderPause is the mean time between two orders of one client.
	orderPause    = 500 * time.Millisecond
	orderDeadline = 4 * time.Second
	orderSpan     = 70 * time.Second
	// orderTries is the number of attempts of one order.
	orderTries = 3
	// In each burstEvery, the clients order without a pause for burstSpan, so that servers are full.
	burstEvery = time.Second
	burstSpan  = 300 * time.Millisecond
)

// The disruption: garble with how = "extra late", at the dose of the site file.
const (
	garbleShare  = 0.6
	garbleChance = 0.03
	garbleFor    = 5 * time.Second
	garblePause  = 2 * time.Second
)

const ordersHost = "orders.example"

// orderCall is the request of an order.
func orderCall(service int, number int64) call {
	return call{
		method: http.MethodPost, host: ordersHost, target: fmt.Sprintf("/order%d/%d", service, number),
		body: fmt.Appendf(nil, "tint %d", number), deadline: orderDeadline,
	}
}

func orderService(index int) string { return fmt.Sprintf("tint-orders-%d", index) }

// runOrders sends requests that may run at most once to servers that are full at times.
func runOrders(prepared *setup) ([]string, error) {
	kept, err := startStore()
	if err != nil {
		return nil, err
	}
	runs := &runLog{record: prepared.record}
	servers, err := startOrderServers(prepared, kept, runs)
	if err != nil {
		return nil, err
	}
	if err := kept.put("op/config", orderConfiguration()); err != nil {
		return nil, err
	}
	prepared.nodes.store = kept.address()
	nodes, err := startNodes(prepared.nodes, orderNodes)
	if err != nil {
		return nil, err
	}
	defer stopNodes(nodes)
	attempts := sendOrders(prepared, nodes)
	// What a server still has is run before the check.
	time.Sleep(orderDeadline / 4)
	surplus, repeats := int64(0), int64(0)
	for _, each := range servers {
		surplus += each.surplus.Load()
		repeats += each.repeats.Load()
	}
	prepared.record.say("%d attempts, %d runs, %d surplus answers, %d requests sent again on the connection on which they were refused",
		len(attempts), len(runs.all()), surplus, repeats)
	return checkOnce(attempts, runs.all()), nil
}

// startOrderServers starts and lists the servers.
func startOrderServers(prepared *setup, kept *store, runs *runLog) ([]*server, error) {
	began := time.Now()
	var servers []*server
	for index := range orderServices * serversOfService {
		created, err := startServer(serverOptions{
			id: fmt.Sprintf("i-%d", index+1), service: orderService(index % orderServices), zone: zoneName(index % orderNodes),
			slots: orderSlots, queue: orderQueue, work: orderWork,
			answerBody: func(id string) []byte { return []byte("done " + id) },
		}, runs, prepared.record)
		if err != nil {
			return nil, err
		}
		if prepared.trouble && index < int(garbleShare*orderServices*serversOfService) {
			created.isFaulty = garble(began, newRandom(prepared.seed, uint64(index)))
		}
		servers = append(servers, created)
		if err := created.list(kept); err != nil {
			return nil, err
		}
		go beat(created, kept)
	}
	return servers, nil
}

// beat writes the server's entry at each heartbeat until the process ends.
func beat(listed *server, kept *store) {
	for range time.Tick(beatInterval) {
		if listed.hasEnded.Load() {
			return
		}
		_ = listed.list(kept) // The entry can always be encoded.
	}
}

// garble returns the choice of the answers that are followed by a surplus one.
func garble(began time.Time, random *rand.Rand) func(time.Time) bool {
	var mutex sync.Mutex
	return func(now time.Time) bool {
		isOn := now.Sub(began)%(garbleFor+garblePause) < garbleFor
		mutex.Lock()
		defer mutex.Unlock()
		return isOn && random.Float64() < garbleChance
	}
}

// orderConfiguration is the operator's configuration.
func orderConfiguration() map[string]any {
	var routes, services []map[string]any
	for index := range orderServices {
		routes = append(routes, map[string]any{
			"Name": fmt.Sprintf("orders-%d", index), "Host": ordersHost, "PathPrefix": fmt.Sprintf("/order%d/", index),
			"Kind": "non_idempotent", "TimeoutMs": orderDeadline.Milliseconds(), "TargetMs": 1000, "Priority": 1,
			"Service": orderService(index), "MaxAttempts": 3,
		})
		services = append(services, map[string]any{
			"Name": orderService(index), "HealthPath": "/health", "MaxConns": orderConnections,
		})
	}
	return map[string]any{
		"Version": 1, "Routes": routes, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// sendOrders lets all clients order until orderSpan has passed, and returns their attempts.
func sendOrders(prepared *setup, nodes []*node) []attempt {
	ctx, cancel := context.WithTimeout(context.Background(), orderSpan)
	defer cancel()
	var mutex sync.Mutex
	var attempts []attempt
	var numbers atomic.Int64
	var clients sync.WaitGroup
	began := time.Now()
	for index := range orderServices * clientsOfService {
		clients.Go(func() {
			random, caller := newRandom(prepared.seed, uint64(1000+index)), newClient()
			defer caller.close()
			for ctx.Err() == nil {
				asked := orderCall(index%orderServices, numbers.Add(1))
				made := order(ctx, prepared.record, caller, nodes, random, asked)
				mutex.Lock()
				attempts = append(attempts, made...)
				mutex.Unlock()
				if time.Since(began)%burstEvery >= burstSpan {
					pause(ctx, time.Duration(2*random.Float64()*float64(orderPause)))
				}
			}
		})
	}
	clients.Wait()
	return attempts
}

// order sends one order, again only after a promise that it has not run, and returns the attempts.
func order(ctx context.Context, written *record, caller *client, nodes []*node, random *rand.Rand, asked call) []attempt {
	var attempts []attempt
	for try := range orderTries {
		id := fmt.Sprintf("%s-%d", asked.body[len("tint "):], try)
		at := nodes[random.IntN(len(nodes))]
		written.note("client: sends %s to %s", id, at.name)
		made := caller.do(at, id, asked)
		written.note("client: %s was answered %d by %s, error %v", id, made.status, at.name, made.failure)
		attempts = append(attempts, made)
		if !isPromise(made.status) {
			break
		}
		pause(ctx, made.retryAfter)
	}
	return attempts
}

// checkOnce returns what broke TWICE, REFUSED or UNASKED: an attempt that ran more than once, one that
// ran although its client was told that it never does, and runs of requests that nobody sent.
func checkOnce(attempts []attempt, runs []run) []string {
	count, at := make(map[string]int), make(map[string]string)
	for _, each := range runs {
		count[each.requestID]++
		at[each.requestID] += " " + each.server
	}
	var broken []string
	sent := make(map[string]bool, len(attempts))
	for _, each := range attempts {
		sent[each.id] = true
		if count[each.id] > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: %s ran %d times, at%s; its answer was %d", each.id, count[each.id], at[each.id], each.status))
		}
		if count[each.id] > 0 && isPromise(each.status) {
			broken = append(broken, fmt.Sprintf("REFUSED: %s was answered %d and ran, at%s", each.id, each.status, at[each.id]))
		}
	}
	for id := range count {
		if !sent[id] {
			broken = append(broken, "UNASKED: "+id)
		}
	}
	return broken
}
