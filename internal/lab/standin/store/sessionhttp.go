package store

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// sessionRequest is the body that makes a session.
type sessionRequest struct {
	Name      string
	Behavior  string
	TTL       string
	LockDelay string
}

// sessionEntry is the JSON form of a session.
type sessionEntry struct {
	ID          string
	Name        string
	Behavior    string
	TTL         string
	LockDelay   time.Duration
	CreateIndex uint64
	ModifyIndex uint64
}

// sessionCreated is the reply to a request that makes a session.
type sessionCreated struct {
	ID string
}

func (s *Store) registerSessions() {
	s.mux.HandleFunc("PUT "+sessionPath+"create", s.serveCreate)
	s.mux.HandleFunc("PUT "+sessionPath+"renew/{id}", s.serveRenew)
	s.mux.HandleFunc("PUT "+sessionPath+"destroy/{id}", s.serveDestroy)
	s.mux.HandleFunc("GET "+sessionPath+"info/{id}", s.serveInfo)
}

func (s *Store) serveCreate(writer http.ResponseWriter, request *http.Request) {
	s.counters.sessions.Add(1)
	wanted, err := parseSession(writer, request)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	id := s.state.createSession(wanted)
	if s.faults.takeLostReply() {
		s.counters.lost.Add(1)
		panic(http.ErrAbortHandler)
	}
	writeJSON(writer, sessionCreated{ID: id})
}

func (s *Store) serveRenew(writer http.ResponseWriter, request *http.Request) {
	s.counters.sessions.Add(1)
	renewed, found := s.state.renewSession(request.PathValue("id"))
	if !found {
		http.Error(writer, "session not found", http.StatusNotFound)
		return
	}
	writeJSON(writer, []sessionEntry{entryOf(renewed)})
}

func (s *Store) serveDestroy(writer http.ResponseWriter, request *http.Request) {
	s.counters.sessions.Add(1)
	s.state.destroySession(request.PathValue("id"))
	writeJSON(writer, true)
}

func (s *Store) serveInfo(writer http.ResponseWriter, request *http.Request) {
	s.counters.sessions.Add(1)
	entries := []sessionEntry{}
	if found, ok := s.state.infoSession(request.PathValue("id")); ok {
		entries = append(entries, entryOf(found))
	}
	writeJSON(writer, entries)
}

func entryOf(found session) sessionEntry {
	return sessionEntry{
		ID:          found.id,
		Name:        found.name,
		Behavior:    found.behavior,
		TTL:         found.ttl.String(),
		LockDelay:   found.lockDelay,
		CreateIndex: found.createIndex,
		ModifyIndex: found.createIndex,
	}
}

func parseSession(writer http.ResponseWriter, request *http.Request) (session, error) {
	content, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxValue))
	if err != nil {
		return session{}, errors.Wrap(err, "read session")
	}
	body := sessionRequest{Behavior: behaviorRelease}
	if len(content) > 0 {
		if err := json.Unmarshal(content, &body); err != nil {
			return session{}, errors.Wrap(err, "decode session")
		}
	}
	return body.session()
}

func (r sessionRequest) session() (session, error) {
	wanted := session{name: r.Name, behavior: strings.ToLower(r.Behavior), lockDelay: defaultLockDelay}
	if wanted.behavior != behaviorRelease && wanted.behavior != behaviorDelete {
		return session{}, errors.Errorf("behavior %q", r.Behavior)
	}
	var err error
	if r.TTL != "" {
		if wanted.ttl, err = time.ParseDuration(r.TTL); err != nil {
			return session{}, errors.Wrap(err, "TTL")
		}
	}
	if r.LockDelay != "" {
		if wanted.lockDelay, err = time.ParseDuration(r.LockDelay); err != nil {
			return session{}, errors.Wrap(err, "LockDelay")
		}
	}
	return wanted, nil
}
