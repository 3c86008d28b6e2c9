package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// beatInterval is HeartbeatMs of the pages.
const beatInterval = 1200 * time.Millisecond

// serverOptions describe one server.
type serverOptions struct {
	id, service, zone string
	// slots is the number of requests that run at once, queue the number that wait for a slot.
	slots, queue int
	// work is how long a request runs.
	work time.Duration
	// answerBody returns the body of the answer to a request.
	answerBody func(requestID string) []byte
}

// server is a stand-in of one server of a service. Each connection serves one request at a time. It is
// safe for concurrent use.
type server struct {
	serverOptions
	listener net.Listener
	record   *record
	runs     *runLog
	// room has one element for each request that runs or waits, places one for each that runs.
	room, places chan struct{}
	// isBusy reports whether the server is full with the work of other callers; nil for never.
	isBusy func(now time.Time) bool
	// isFaulty reports whether an answer is followed by a surplus copy of it; nil for never.
	isFaulty func(now time.Time) bool
	surplus  atomic.Int64
	// repeats counts the requests that came again on the connection on which they had been refused.
	repeats atomic.Int64
	beats   atomic.Int64
	// isDraining says that the server has said that it leaves, hasEnded that it has left.
	isDraining, hasEnded atomic.Bool
}

// startServer starts a server on a free loopback port.
func startServer(options serverOptions, runs *runLog, record *record) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	created := &server{
		serverOptions: options, listener: listener, record: record, runs: runs,
		room: make(chan struct{}, options.slots+options.queue), places: make(chan struct{}, options.slots),
	}
	go created.accept()
	return created, nil
}

// list writes the server's entry to the store, and again at each heartbeat.
func (s *server) list(kept *store) error {
	if err := kept.put("servers/"+s.id, s.entry()); err != nil {
		return err
	}
	return nil
}

// end ends the server after it has drained: its entry goes and nothing is accepted any more. It has no
// request by then.
func (s *server) end(kept *store) {
	s.hasEnded.Store(true)
	kept.mutex.Lock()
	kept.remove("servers/" + s.id)
	kept.mutex.Unlock()
	_ = s.listener.Close()
}

func (s *server) entry() map[string]any {
	state := "ready"
	if s.isDraining.Load() {
		state = "draining"
	}
	return map[string]any{
		"Service": s.service, "Address": s.listener.Addr().String(), "Zone": s.zone, "Version": "v1", "Slots": s.slots,
		"State": state, "WarmupLeftMs": 0, "Seq": s.beats.Add(1),
	}
}

func (s *server) accept() {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serveConnection(connection)
	}
}

// serveConnection serves the requests of one connection, one at a time.
func (s *server) serveConnection(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	var late []byte
	last := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil || s.hasEnded.Load() {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		id := request.Header.Get("Request-Id")
		if id == last {
			s.repeats.Add(1)
		}
		last = id
		if late != nil {
			// The surplus answer to the request before arrives in the place where the next one is due.
			s.record.note("server %s: surplus answer sent before the answer to %s", s.id, id)
			if _, err := connection.Write(late); err != nil {
				return
			}
			late = nil
		}
		answer := s.answer(request, body)
		if _, err := connection.Write(answer); err != nil {
			return
		}
		if s.isFaulty != nil && s.isFaulty(time.Now()) {
			s.surplus.Add(1)
			late = answer
		}
	}
}

// answer handles one request and returns the whole answer.
func (s *server) answer(request *http.Request, body []byte) []byte {
	id := request.Header.Get("Request-Id")
	header := http.Header{"Request-Id": {id}}
	if request.URL.Path == "/health" {
		header.Set("Instance-Id", s.id)
		return encodeAnswer(http.StatusOK, header, nil)
	}
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		header.Set("Instance-Id", s.id)
		return encodeAnswer(http.StatusMisdirectedRequest, header, nil)
	}
	if id == "" {
		header.Set("Not-Executed", "1")
		return encodeAnswer(http.StatusBadRequest, header, nil)
	}
	if !s.enter() {
		s.record.note("server %s: %s not run, full", s.id, id)
		header.Set("Not-Executed", "1")
		return encodeAnswer(http.StatusServiceUnavailable, header, nil)
	}
	defer s.leave()
	stamp := s.runs.begin(s, request, body)
	time.Sleep(s.work)
	header.Set("Server-Stamp", stamp)
	return encodeAnswer(http.StatusOK, header, s.answerBody(id))
}

// enter waits for a slot; false if the server is full.
func (s *server) enter() bool {
	if s.isBusy != nil && s.isBusy(time.Now()) {
		return false
	}
	select {
	case s.room <- struct{}{}:
	default:
		return false
	}
	s.places <- struct{}{}
	return true
}

func (s *server) leave() {
	<-s.places
	<-s.room
}

// encodeAnswer returns an answer as it is sent.
func encodeAnswer(status int, header http.Header, body []byte) []byte {
	var encoded bytes.Buffer
	fmt.Fprintf(&encoded, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	header.Set("Content-Length", strconv.Itoa(len(body)))
	_ = header.Write(&encoded) // A buffer takes everything.
	encoded.WriteString("\r\n")
	encoded.Write(body)
	return encoded.Bytes()
}

// run is one run of a request at a server.
type run struct {
	requestID, server, service, method, target, body string
	at                                               time.Time
}

// runLog holds what servers have run. It is safe for concurrent use.
type runLog struct {
	record *record

	mutex sync.Mutex
	// runs is guarded by mutex.
	runs []run
}

// begin records that a server has begun work on a request, and returns the server's stamp.
func (l *runLog) begin(at *server, request *http.Request, body []byte) string {
	id := request.Header.Get("Request-Id")
	l.mutex.Lock()
	l.runs = append(l.runs, run{
		requestID: id, server: at.id, service: at.service, method: request.Method, target: request.RequestURI,
		body: string(body), at: time.Now(),
	})
	number := len(l.runs)
	l.mutex.Unlock()
	l.record.note("server %s: runs %s", at.id, id)
	return fmt.Sprintf("%s.%s.%d", at.id, id, number)
}

// all returns the runs so far.
func (l *runLog) all() []run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]run(nil), l.runs...)
}

// newRandom returns a source of random numbers for one goroutine or guarded use.
func newRandom(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }
