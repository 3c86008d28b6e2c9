package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// The deployment and its load: one route to one service, with the figures of a small deployment.
const (
	stormNodes    = 3
	stormServers  = 3 // of each of the two services
	stormClients  = 18
	stormPause    = 400 * time.Millisecond
	stormWork     = 20 * time.Millisecond
	stormDeadline = 4 * time.Second
	stormSpan     = 45 * time.Second
)

// The operator's work: big_config, then config_storm, at the doses of the site files.
const (
	bigConfigAt     = 5 * time.Second
	bigConfigRoutes = 1668
	stormAt         = 12 * time.Second
	stormFor        = 1500 * time.Millisecond
	stormGap        = 60 * time.Millisecond
)

// applyTime is ConfigApplyMs of the pages.
const applyTime = 3 * time.Second

const (
	archiveHost = "archive.example"
	oldService  = "archive-old"
	newService  = "archive-new"
)

// operator writes versions of the configuration.
type operator struct {
	kept    *store
	record  *record
	version int
}

// publish writes the next version. extra is the number of routes beside that of the archive; idle is
// the idle timeout, which differs from version to version.
func (o *operator) publish(service string, extra int, idle time.Duration) error {
	o.version++
	routes := []map[string]any{archiveRoute("archive", archiveHost, service)}
	for index := range extra {
		routes = append(routes, archiveRoute(fmt.Sprintf("r-%07d", index), fmt.Sprintf("host%04d.example", index), oldService))
	}
	document := map[string]any{
		"Version": o.version, "Routes": routes,
		"Services": []map[string]any{
			{"Name": oldService, "HealthPath": "/health", "MaxConns": 110},
			{"Name": newService, "HealthPath": "/health", "MaxConns": 110},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": idle.Milliseconds()},
	}
	size, err := o.kept.putSized("op/config", document)
	o.record.note("operator: version %d acknowledged, archive goes to %s, %d routes, %d bytes", o.version, service, len(routes), size)
	return err
}

func archiveRoute(name, host, service string) map[string]any {
	return map[string]any{
		"Name": name, "Host": host, "PathPrefix": "/archive/", "Kind": "idempotent", "TimeoutMs": 4000, "TargetMs": 1000,
		"Priority": 2, "Service": service, "MaxAttempts": 2, "Public": false, "AllowedRegions": []string{},
	}
}

// runStorm publishes versions in quick succession, the last of which moves a route to another service.
func runStorm(prepared *setup) ([]string, error) {
	kept, err := startStore()
	if err != nil {
		return nil, err
	}
	runs := &runLog{record: prepared.record}
	if err := startArchiveServers(prepared, kept, runs, stormServers, stormWork); err != nil {
		return nil, err
	}
	operator := &operator{kept: kept, record: prepared.record}
	const idle = 15 * time.Second
	if err := operator.publish(oldService, 0, idle); err != nil {
		return nil, err
	}
	prepared.nodes.store = kept.address()
	nodes, err := startNodes(prepared.nodes, stormNodes)
	if err != nil {
		return nil, err
	}
	defer stopNodes(nodes)
	ctx, cancel := context.WithTimeout(context.Background(), stormSpan)
	defer cancel()
	var movedAt time.Time
	var working sync.WaitGroup
	working.Go(func() { movedAt = operate(ctx, prepared, operator, idle) })
	attempts := searchArchive(ctx, prepared, nodes)
	working.Wait()
	prepared.record.say("%d requests, %d runs; the last version was acknowledged %.2f s after the start",
		len(attempts), len(runs.all()), movedAt.Sub(prepared.record.began).Seconds())
	return checkMoved(attempts, runs.all(), movedAt.Add(applyTime)), nil
}

// startArchiveServers starts and lists a number of servers of the old and of the new service.
func startArchiveServers(prepared *setup, kept *store, runs *runLog, count int, work time.Duration) error {
	for index := range 2 * count {
		service := []string{oldService, newService}[index%2]
		created, err := startServer(serverOptions{
			id: fmt.Sprintf("i-%d", index+1), service: service, zone: zoneName(index / 2), slots: 3, queue: 12, work: work,
			answerBody: func(id string) []byte { return []byte("counts " + id) },
		}, runs, prepared.record)
		if err != nil {
			return err
		}
		if err := created.list(kept); err != nil {
			return err
		}
		go beat(created, kept)
	}
	return nil
}

// operate does the operator's work and returns when the version that moves the route was acknowledged.
// Without trouble that version comes alone.
func operate(ctx context.Context, prepared *setup, operator *operator, idle time.Duration) time.Time {
	began := time.Now()
	pause(ctx, bigConfigAt)
	_ = operator.publish(oldService, bigConfigRoutes, idle) // The document can always be encoded.
	pause(ctx, stormAt-time.Since(began))
	if prepared.trouble {
		for step := 1; time.Since(began) < stormAt+stormFor; step++ {
			_ = operator.publish(oldService, bigConfigRoutes, idle+time.Duration(step)*time.Millisecond)
			pause(ctx, stormGap)
		}
	}
	_ = operator.publish(newService, bigConfigRoutes, idle)
	return time.Now()
}

// searchArchive lets all clients send requests until ctx ends, and returns them.
func searchArchive(ctx context.Context, prepared *setup, nodes []*node) []attempt {
	var mutex sync.Mutex
	var attempts []attempt
	var numbers atomic.Int64
	var clients sync.WaitGroup
	for index := range stormClients {
		clients.Go(func() {
			random, caller, at := newRandom(prepared.seed, uint64(index)), newClient(), nodes[index%len(nodes)]
			defer caller.close()
			for ctx.Err() == nil {
				id := fmt.Sprintf("a%d", numbers.Add(1))
				made := caller.do(at, id, call{method: http.MethodGet, host: archiveHost, target: "/archive/" + id, deadline: stormDeadline})
				prepared.record.note("client: %s to %s was answered %d, error %v", id, at.name, made.status, made.failure)
				mutex.Lock()
				attempts = append(attempts, made)
				mutex.Unlock()
				pause(ctx, time.Duration(2*random.Float64()*float64(stormPause)))
			}
		})
	}
	clients.Wait()
	return attempts
}

// checkMoved returns what broke CONFIG: requests that were sent after a version was due and that only
// an older version lets run at the service that ran them.
func checkMoved(attempts []attempt, runs []run, dueAt time.Time) []string {
	services := make(map[string]string)
	for _, each := range runs {
		services[each.requestID] = each.service
	}
	count, last := make(map[string]int), time.Time{}
	var names []string
	for _, each := range attempts {
		if each.sentAt.After(dueAt) && services[each.id] == oldService {
			if count[each.node] == 0 {
				names = append(names, each.node)
			}
			count[each.node]++
			last = each.sentAt
		}
	}
	slices.Sort(names)
	var broken []string
	for _, name := range names {
		broken = append(broken, fmt.Sprintf("CONFIG: %s let %d requests run at the old service that were sent after the new version was due; the last one %.1f s after",
			name, count[name], last.Sub(dueAt).Seconds()))
	}
	return broken
}
