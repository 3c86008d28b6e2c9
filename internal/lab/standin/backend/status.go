package backend

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
	"github.com/bramblemast/bramblemast/pkg/backend"
)

// serveStatus answers a probe with a report that may lag or mislead.
func (s *Server) serveStatus(current *run, writer http.ResponseWriter, request *http.Request) {
	s.counters.probes.Add(1)
	if !s.waitWhileHung(request.Context()) {
		return
	}
	s.setHints(writer.Header(), current)
	status := s.reportedStatus(current)
	content, err := json.Marshal(backend.NewStatusDocument(&status))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	// It fails if the other side has gone: there is nobody left to tell.
	_, _ = writer.Write(content)
}

// trueStatus is the state of the server without lag; a stopped server is not
// ready.
func (s *Server) trueStatus() backend.Status {
	status := backend.Status{
		Service:     s.config.Service.Name,
		Draining:    s.isDraining(),
		Slots:       s.config.Service.Slots,
		Connections: s.config.Service.Connections,
		Load:        s.slots.load(),
		Indexes:     *s.indexes.Load(),
	}
	s.mutex.Lock()
	current := s.run
	s.mutex.Unlock()
	if current != nil {
		s.fillTimes(&status, current, time.Now())
	}
	return status
}

// reportedStatus is what the server says of itself.
func (s *Server) reportedStatus(current *run) backend.Status {
	status := s.trueStatus()
	now := time.Now()
	s.fillTimes(&status, current, now)
	faults := s.faults.Get()
	status.Ready = s.readyAt(current, now.Add(-lag(faults)))
	status.Draining = s.reportedDraining(faults, now)
	status.Load = s.reportedLoad(faults, now)
	return status
}

func (s *Server) fillTimes(status *backend.Status, current *run, now time.Time) {
	status.Instance = current.instance
	status.Uptime = now.Sub(current.started)
	status.Ready = s.readyAt(current, now)
}

func (s *Server) readyAt(current *run, moment time.Time) bool {
	readySince := current.started.Add(s.config.Service.ColdStart.NotReady.Std())
	return !moment.Before(readySince)
}

// reportedDraining applies the lag and the faults to the drain signal.
func (s *Server) reportedDraining(faults labapi.Faults, now time.Time) bool {
	if faults.HideDrain {
		return false
	}
	return s.draining.At(now.Add(-lag(faults)))
}

// reportedLoad applies the lag and the bias to the load.
func (s *Server) reportedLoad(faults labapi.Faults, now time.Time) float64 {
	load := s.slots.load()
	if faults.ReportLagMS > 0 {
		s.loads.Set(now, load)
		load = s.loads.At(now.Add(-lag(faults)))
	}
	return max(load+faults.LoadBias, 0)
}

func lag(faults labapi.Faults) time.Duration {
	return time.Duration(faults.ReportLagMS) * time.Millisecond
}

// setHints sets the headers by which a server tells of itself.
func (s *Server) setHints(header http.Header, current *run) {
	header.Set(backend.HeaderInstance, current.instance)
	faults := s.faults.Get()
	now := time.Now()
	if s.reportedDraining(faults, now) {
		header.Set(backend.HeaderDraining, "true")
	}
	header.Set(backend.HeaderLoad, strconv.FormatFloat(s.reportedLoad(faults, now), 'f', 3, 64))
	header.Set(backend.HeaderNewestVersion, strconv.FormatUint(uint64(s.newestVersion()), 10))
}
