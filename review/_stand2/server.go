package main

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// server is a stand-in of one server of a service.
type server struct {
	stage                      *stage
	id, service, zone, address string
	// work is how long a request runs, slots how many run at once, queue how many wait.
	work         time.Duration
	slots, queue int
	running      chan struct{}
	waiting      atomic.Int64
	// observe is called when a request arrives.
	observe atomic.Pointer[func(at *server, id string)]
	process *http.Server
}

// startServer starts a server on a free loopback port and lists it in the store.
func startServer(s *stage, platform *store, id, service, zone string, work time.Duration, slots, queue int) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	created := &server{
		stage: s, id: id, service: service, zone: zone, address: listener.Addr().String(),
		work: work, slots: slots, queue: queue, running: make(chan struct{}, slots),
	}
	created.process = &http.Server{Handler: created}
	go created.process.Serve(listener)
	created.list(platform)
	return created, nil
}

// setObserver sets what is called when a request arrives.
func (s *server) setObserver(observe func(at *server, id string)) { s.observe.Store(&observe) }

// end ends the server's process.
func (s *server) end() { _ = s.process.Close() }

// list writes the server's entry.
func (s *server) list(platform *store) {
	platform.put("servers/"+s.id, map[string]any{
		"Service": s.service, "Address": s.address, "Zone": s.zone, "Version": "v1", "Slots": s.slots,
		"State": "ready", "WarmupLeftMs": 0, "Seq": 1,
	})
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	writer.Header().Set("Request-Id", id)
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		writer.Header().Set("Instance-Id", s.id)
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.stage.detail("request %s reaches %s of %s", id, s.id, s.service)
	if observe := s.observe.Load(); observe != nil {
		(*observe)(s, id)
	}
	_, _ = io.Copy(io.Discard, request.Body)
	if s.waiting.Add(1) > int64(s.slots+s.queue) {
		s.waiting.Add(-1)
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.waiting.Add(-1)
	select {
	case s.running <- struct{}{}:
	case <-request.Context().Done():
		return
	}
	defer func() { <-s.running }()
	s.stage.detail("%s runs request %s", s.id, id)
	if !sleep(request, s.spreadWork()) {
		return
	}
	body := make([]byte, 0, 400)
	for range 25 {
		body = append(body, fmt.Sprintf("%016x", rand.Uint64())...)
	}
	writer.Header().Set("Server-Stamp", s.id+"."+id)
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = writer.Write(body)
}

// workSpread is the spread of the work of requests around its mean, as in the users' site files.
const workSpread = 0.35

// spreadWork returns how long one request runs.
func (s *server) spreadWork() time.Duration {
	factor := math.Exp(workSpread*rand.NormFloat64() - workSpread*workSpread/2)
	return time.Duration(factor * float64(s.work))
}

// sleep waits for a span, or until the caller has gone.
func sleep(request *http.Request, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-request.Context().Done():
		return false
	}
}
