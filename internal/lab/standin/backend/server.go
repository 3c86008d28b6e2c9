package backend

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/lab/standin/history"
	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
	"github.com/bramblemast/bramblemast/internal/lab/topology"
	"github.com/bramblemast/bramblemast/internal/lab/watched"
	"github.com/bramblemast/bramblemast/internal/pause"
	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// Bounds of one server.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// drainStopTimeout bounds the wait for running requests when a drained
	// server stops.
	drainStopTimeout = 30 * time.Second
	activePoll       = time.Millisecond
)

// Config is what one server is made from.
type Config struct {
	// Identity names the server. Its address may have port 0 until Start.
	Identity labapi.ServerAddress
	Service  topology.Service
	Seed     uint64
	// NewConnection is the cost of each new connection.
	NewConnection time.Duration
	// OneWay returns the network delay from a caller; nil for none.
	OneWay func(caller netip.Addr) time.Duration
	// Contents answers the queries.
	Contents *Contents
	// Indexes are the versions and shards held at first, oldest first.
	Indexes []backend.Index
	Logger  hclog.Logger
}

// Server is one emulated back-end server.
type Server struct {
	config Config
	slots  *slots
	dice   *dice
	log    *executionLog
	logger hclog.Logger

	faults   watched.Value[labapi.Faults]
	indexes  atomic.Pointer[[]backend.Index]
	counters counters
	// active counts the HTTP handlers that are running.
	active atomic.Int64

	draining history.History[bool]
	loads    history.History[float64]

	// mutex guards the fields below.
	mutex       sync.Mutex
	address     target.ServerID
	run         *run
	drainSince  time.Time
	refuseSince time.Time
}

// run is the life of a server from a start to a stop.
type run struct {
	instance string
	started  time.Time
	listener *limitedListener
	http     *http.Server
	context  context.Context
	cancel   context.CancelFunc
	// served is closed once the accept loop has ended.
	served chan struct{}
}

// NewServer makes a server that is not started.
func NewServer(config Config) *Server {
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	server := &Server{
		config:  config,
		slots:   newSlots(config.Service.Slots, config.Service.Queue),
		dice:    newDice(config.Seed, config.Identity.Name),
		log:     newExecutionLog(),
		logger:  config.Logger.Named("backend"),
		address: config.Identity.Address,
	}
	indexes := append([]backend.Index(nil), config.Indexes...)
	server.indexes.Store(&indexes)
	return server
}

// Start listens and serves until Stop. A server that was started before comes
// back at the same address as a new instance.
func (s *Server) Start() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.run != nil {
		return errors.Errorf("server %s is running", s.address)
	}
	listener, err := net.Listen("tcp", string(s.address))
	if err != nil {
		return errors.Wrapf(err, "listen for server %s", s.config.Identity.Name)
	}
	s.address = target.ServerID(listener.Addr().String())
	s.run = s.newRun(listener)
	s.drainSince, s.refuseSince = time.Time{}, time.Time{}
	s.draining.Set(time.Now(), false)
	go s.serve(s.run)
	s.logger.Info("server started", "server", s.config.Identity.Name, "address", s.address)
	return nil
}

func (s *Server) newRun(listener net.Listener) *run {
	runContext, cancel := context.WithCancel(context.Background())
	limited := &limitedListener{
		Listener: listener,
		limit:    int64(s.config.Service.Connections),
		setUp:    s.setUpTime,
	}
	started := &run{
		instance: uuid.NewString(),
		started:  time.Now(),
		listener: limited,
		context:  runContext,
		cancel:   cancel,
		served:   make(chan struct{}),
	}
	started.http = &http.Server{
		Handler:           s.handler(started),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		BaseContext:       func(net.Listener) context.Context { return runContext },
		ErrorLog:          s.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	return started
}

func (s *Server) serve(current *run) {
	defer close(current.served)
	// It returns when the stand-in is stopped.
	_ = current.http.Serve(current.listener)
}

// Stop cuts every connection and returns once nothing of the server runs any
// more. It does nothing to a server that is not running.
func (s *Server) Stop() {
	s.mutex.Lock()
	current := s.run
	s.run = nil
	s.mutex.Unlock()
	if current == nil {
		return
	}
	current.cancel()
	// It ends anyhow: an error tells nothing more.
	_ = current.http.Close()
	<-current.served
	for s.active.Load() > 0 {
		time.Sleep(activePoll)
	}
	s.addConnectionCounts(current)
	s.logger.Info("server stopped", "server", s.config.Identity.Name)
}

// Drain makes the server say that it is leaving, and refuse new work after the
// grace. Running requests finish. With stop it stops once they have.
func (s *Server) Drain(grace time.Duration, stop bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	s.drainSince = now
	s.refuseSince = now.Add(grace)
	s.draining.Set(now, true)
	if stop && s.run != nil {
		go s.stopAfterDrain(s.run, grace)
	}
}

// stopAfterDrain ends the run after the grace, unless the drain was undone.
func (s *Server) stopAfterDrain(current *run, grace time.Duration) {
	if !pause.For(current.context, grace) || !s.isDraining() {
		return
	}
	deadline, cancel := context.WithTimeout(current.context, drainStopTimeout)
	defer cancel()
	// What is not done by the deadline is cut off.
	_ = current.http.Shutdown(deadline)
	s.mutex.Lock()
	same := s.run == current
	s.mutex.Unlock()
	if same {
		s.Stop()
	}
}

// Undrain makes the server take new work again.
func (s *Server) Undrain() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.drainSince, s.refuseSince = time.Time{}, time.Time{}
	s.draining.Set(time.Now(), false)
}

// SetFaults replaces the faults of the server.
func (s *Server) SetFaults(faults labapi.Faults) { s.faults.Set(faults) }

// Address returns where the server listens; its port is 0 before the first
// start.
func (s *Server) Address() target.ServerID {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.address
}

// Identity returns the name and place of the server with its address.
func (s *Server) Identity() labapi.ServerAddress {
	identity := s.config.Identity
	identity.Address = s.Address()
	return identity
}

// Executions returns the matching entries of the execution log.
func (s *Server) Executions(query labapi.ExecutionsQuery) []labapi.Execution {
	return s.log.matching(query)
}

// Info returns the true state of the server.
func (s *Server) Info() labapi.ServerInfo {
	status := s.trueStatus()
	document := backend.NewStatusDocument(&status)
	info := labapi.ServerInfo{
		ServerAddress: s.Identity(),
		Draining:      status.Draining,
		InFlight:      s.slots.inUse(),
		Queued:        s.slots.waiting(),
		Indexes:       document.Indexes,
		Faults:        s.faults.Get(),
		Counters:      s.counters.snapshot(),
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.run != nil {
		info.Running = true
		info.Connections = int(s.run.listener.open.Load())
		info.Counters.Connections += s.run.listener.accepted.Load()
		info.Counters.ConnectionsRefused += s.run.listener.refused.Load()
	}
	return info
}

func (s *Server) isDraining() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.drainSince.IsZero()
}

// refusesNewWork reports whether the grace of a drain is over.
func (s *Server) refusesNewWork(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.refuseSince.IsZero() && !now.Before(s.refuseSince)
}

// setUpTime is the delay of a new connection: its cost, and a round trip.
func (s *Server) setUpTime(remote net.Addr) time.Duration {
	return s.config.NewConnection + 2*s.oneWay(remote.String())
}

// oneWay returns the network delay from the caller at that address.
func (s *Server) oneWay(remote string) time.Duration {
	if s.config.OneWay == nil {
		return 0
	}
	parsed, err := netip.ParseAddrPort(remote)
	if err != nil {
		return 0
	}
	return s.config.OneWay(parsed.Addr())
}

func (s *Server) addConnectionCounts(ended *run) {
	s.counters.connections.Add(ended.listener.accepted.Load())
	s.counters.connectionsRefused.Add(ended.listener.refused.Load())
}
