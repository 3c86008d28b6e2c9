package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store's answers.
const (
	// maxPageItems is the number of items in one page of a listing.
	maxPageItems = 500
	// leaseCheckInterval is how often expired leases are looked for.
	leaseCheckInterval = 100 * time.Millisecond
	// historySpan is HistoryS of the pages.
	historySpan = 20 * time.Second
)

// item is one key of the store, or the record of its removal if Gone is set.
type item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision uint64
	Created  uint64 `json:",omitempty"`
	Lease    uint64 `json:",omitempty"`
	Gone     bool   `json:",omitempty"`
}

// lease is a lease with the time at which it ends.
type lease struct {
	span   time.Duration
	endsAt time.Time
}

// store is a stand-in of the platform's metadata store. It is safe for concurrent use.
type store struct {
	listener net.Listener

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	revision uint64
	items    map[string]item
	events   []item
	// writtenAt is when each of the events was written. Those up to forgottenUpTo are gone.
	writtenAt     []time.Time
	forgottenUpTo uint64
	leases        map[uint64]*lease
	lastLease     uint64
	changed       chan struct{}
}

// startStore starts an empty store on a free loopback port.
func startStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	created := &store{
		listener: listener, items: make(map[string]item), leases: make(map[uint64]*lease), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", created.handleKey)
	mux.HandleFunc("GET /api/kv-range", created.handleRange)
	mux.HandleFunc("GET /api/kv-watch", created.handleWatch)
	mux.HandleFunc("POST /api/kv-txn", created.handleTransaction)
	mux.HandleFunc("POST /api/kv-lease", created.handleLease)
	mux.HandleFunc("POST /api/kv-keep/{id}", created.handleKeep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", created.handleLeaseEnd)
	go func() { _ = http.Serve(listener, mux) }() // It ends with the process.
	go created.expireLeases()
	return created, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a key with a JSON value, as the operator and the servers do.
func (s *store) put(key string, value any) error {
	_, err := s.putSized(key, value)
	return err
}

// putSized is put and returns the size of the value in bytes.
func (s *store) putSized(key string, value any) (int, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(key, encoded, 0)
	return len(encoded), nil
}

// write stores a value under a key. The mutex is held.
func (s *store) write(key string, value []byte, leaseID uint64) {
	s.revision++
	created := s.items[key].Created
	if created == 0 {
		created = s.revision
	}
	written := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = written
	s.publish(written)
}

// remove removes a key. The mutex is held.
func (s *store) remove(key string) {
	if _, exists := s.items[key]; !exists {
		return
	}
	s.revision++
	delete(s.items, key)
	s.publish(item{Key: key, Revision: s.revision, Gone: true})
}

// publish records an event and wakes the watches. The mutex is held.
func (s *store) publish(event item) {
	s.events, s.writtenAt = append(s.events, event), append(s.writtenAt, time.Now())
	for len(s.events) > 0 && time.Since(s.writtenAt[0]) > historySpan {
		s.forgottenUpTo = s.events[0].Revision
		s.events, s.writtenAt = s.events[1:], s.writtenAt[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases removes the keys of leases that have ended.
func (s *store) expireLeases() {
	for now := range time.Tick(leaseCheckInterval) {
		s.mutex.Lock()
		for id, each := range s.leases {
			if now.After(each.endsAt) {
				s.endLease(id)
			}
		}
		s.mutex.Unlock()
	}
}

// endLease ends a lease and removes its keys. The mutex is held.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, each := range s.items {
		if each.Lease == id {
			s.remove(key)
		}
	}
}

func (s *store) handleKey(writer http.ResponseWriter, request *http.Request) {
	s.mutex.Lock()
	found, exists := s.items[request.FormValue("Key")]
	at := s.revision
	s.mutex.Unlock()
	if !exists {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(writer, http.StatusOK, struct {
		item
		At uint64
	}{found, at})
}

func (s *store) handleRange(writer http.ResponseWriter, request *http.Request) {
	prefix, after := request.FormValue("PathPrefix"), request.FormValue("after")
	s.mutex.Lock()
	found := make([]item, 0, len(s.items))
	for key, each := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, each)
		}
	}
	at := s.revision
	s.mutex.Unlock()
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	count := min(len(found), maxPageItems)
	writeJSON(writer, http.StatusOK, map[string]any{"items": found[:count], "More": count < len(found), "At": at})
}

func (s *store) handleWatch(writer http.ResponseWriter, request *http.Request) {
	after, _ := strconv.ParseUint(request.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(request.FormValue("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		events, at, isGone, changed := s.eventsAfter(request.FormValue("PathPrefix"), after)
		if isGone {
			writer.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeJSON(writer, http.StatusOK, map[string]any{"events": events, "At": at})
			return
		}
		select {
		case <-request.Context().Done():
			return
		case <-timer.C:
			writeJSON(writer, http.StatusOK, map[string]any{"events": []item{}, "At": at})
			return
		case <-changed:
		}
	}
}

// eventsAfter returns the events after a revision, the store's revision, whether some of those events
// are forgotten, and a channel that is closed at the next change.
func (s *store) eventsAfter(prefix string, after uint64) ([]item, uint64, bool, chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var events []item
	for _, each := range s.events {
		if each.Revision > after && strings.HasPrefix(each.Key, prefix) {
			events = append(events, each)
		}
	}
	return events, s.revision, after < s.forgottenUpTo, s.changed
}

// transaction is the body of a conditional write.
type transaction struct {
	ExpectedRev []struct {
		Key      string
		Revision uint64
	}
	Put []struct {
		Key   string
		Value []byte
		Lease uint64
	}
	Remove []string
}

func (s *store) handleTransaction(writer http.ResponseWriter, request *http.Request) {
	var change transaction
	if err := json.NewDecoder(request.Body).Decode(&change); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	status, answer := s.apply(change)
	writeJSON(writer, status, answer)
}

// apply applies a transaction as a whole or not at all, and returns the answer.
func (s *store) apply(change transaction) (int, map[string]any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, each := range change.ExpectedRev {
		if s.items[each.Key].Revision != each.Revision {
			return http.StatusPreconditionFailed, s.current(change)
		}
	}
	for _, each := range change.Put {
		if strings.HasPrefix(each.Key, "op/") || strings.HasPrefix(each.Key, "servers/") {
			return http.StatusForbidden, nil
		}
		if each.Lease != 0 && s.leases[each.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	for _, each := range change.Put {
		s.write(each.Key, each.Value, each.Lease)
	}
	for _, key := range change.Remove {
		s.remove(key)
	}
	return http.StatusOK, map[string]any{"Revision": s.revision}
}

// current returns the items whose revisions a transaction expected. The mutex is held.
func (s *store) current(change transaction) map[string]any {
	items := make([]item, 0, len(change.ExpectedRev))
	for _, each := range change.ExpectedRev {
		found := s.items[each.Key]
		found.Key = each.Key
		items = append(items, found)
	}
	return map[string]any{"items": items}
}

func (s *store) handleLease(writer http.ResponseWriter, request *http.Request) {
	var body struct{ TtlMs int64 }
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	span := time.Duration(body.TtlMs) * time.Millisecond
	s.mutex.Lock()
	s.lastLease++
	id := s.lastLease
	s.leases[id] = &lease{span: span, endsAt: time.Now().Add(span)}
	s.mutex.Unlock()
	writeJSON(writer, http.StatusOK, map[string]any{"Lease": id, "TtlMs": body.TtlMs})
}

func (s *store) handleKeep(writer http.ResponseWriter, request *http.Request) {
	id, _ := strconv.ParseUint(request.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	kept := s.leases[id]
	if kept == nil {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	kept.endsAt = time.Now().Add(kept.span)
	writeJSON(writer, http.StatusOK, map[string]any{"TtlMs": kept.span.Milliseconds()})
}

func (s *store) handleLeaseEnd(writer http.ResponseWriter, request *http.Request) {
	id, _ := strconv.ParseUint(request.PathValue("id"), 10, 64)
	s.mutex.Lock()
	s.endLease(id)
	s.mutex.Unlock()
	writer.WriteHeader(http.StatusOK)
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	// The write fails only if the caller has gone.
	_ = json.NewEncoder(writer).Encode(value)
}
