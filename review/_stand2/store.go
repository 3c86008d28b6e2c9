package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store, as the users' page on the protocol describes it.
type store struct {
	address string

	mutex    sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	leases   map[uint64]bool
	changed  chan struct{}
}

// item is one key on the wire.
type item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision uint64
	Created  uint64 `json:",omitempty"`
	Lease    uint64
	Gone     bool `json:",omitempty"`
}

// startStore starts an empty store on a free loopback port.
func startStore() (*store, error) {
	created := &store{items: make(map[string]item), leases: make(map[uint64]bool), changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	created.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", created.key)
	mux.HandleFunc("GET /api/kv-range", created.list)
	mux.HandleFunc("GET /api/kv-watch", created.watch)
	mux.HandleFunc("POST /api/kv-txn", created.transact)
	mux.HandleFunc("POST /api/kv-lease", created.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", created.keep)
	go http.Serve(listener, mux)
	return created, nil
}

// put writes a key as the operator or a server does.
func (s *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(key, encoded, 0)
}

// putBytes writes a key as another writer does.
func (s *store) putBytes(key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(key, value, 0)
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.delete(key)
}

func (s *store) write(key string, value []byte, lease uint64) {
	s.revision++
	created := s.items[key].Created
	if created == 0 {
		created = s.revision
	}
	written := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = written
	s.noteEvent(written)
}

func (s *store) delete(key string) {
	if _, exists := s.items[key]; !exists {
		return
	}
	s.revision++
	delete(s.items, key)
	s.noteEvent(item{Key: key, Revision: s.revision, Gone: true})
}

func (s *store) noteEvent(event item) {
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) key(writer http.ResponseWriter, request *http.Request) {
	s.mutex.Lock()
	found, exists := s.items[request.FormValue("Key")]
	s.mutex.Unlock()
	if !exists {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	answer(writer, found)
}

// pageItems and pageBytes bound a page of a range.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

func (s *store) list(writer http.ResponseWriter, request *http.Request) {
	prefix, after := request.FormValue("PathPrefix"), request.FormValue("after")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page := struct {
		Items []item `json:"items"`
		More  bool
		At    uint64
	}{Items: []item{}, At: s.revision}
	size := 0
	for _, key := range keys {
		if len(page.Items) == pageItems || size > 0 && size+len(s.items[key].Value) > pageBytes {
			page.More = true
			break
		}
		size += len(s.items[key].Value)
		page.Items = append(page.Items, s.items[key])
	}
	answer(writer, page)
}

func (s *store) watch(writer http.ResponseWriter, request *http.Request) {
	after, _ := strconv.ParseUint(request.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(request.FormValue("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		events, at, changed := []item{}, s.revision, s.changed
		for _, event := range s.events {
			if event.Revision > after && strings.HasPrefix(event.Key, request.FormValue("PathPrefix")) {
				events = append(events, event)
			}
		}
		s.mutex.Unlock()
		if len(events) > 0 {
			answer(writer, map[string]any{"events": events, "At": at})
			return
		}
		select {
		case <-request.Context().Done():
			return
		case <-timer.C:
			answer(writer, map[string]any{"events": events, "At": at})
			return
		case <-changed:
		}
	}
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

func (s *store) transact(writer http.ResponseWriter, request *http.Request) {
	var change transaction
	if err := json.NewDecoder(request.Body).Decode(&change); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, each := range change.ExpectedRev {
		if s.items[each.Key].Revision != each.Revision {
			s.refuse(writer, change)
			return
		}
	}
	for _, each := range change.Put {
		if strings.HasPrefix(each.Key, "op/") || strings.HasPrefix(each.Key, "servers/") {
			writer.WriteHeader(http.StatusForbidden)
			return
		}
		if each.Lease != 0 && !s.leases[each.Lease] {
			writer.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, each := range change.Put {
		s.write(each.Key, each.Value, each.Lease)
	}
	for _, key := range change.Remove {
		s.delete(key)
	}
	answer(writer, map[string]any{"Revision": s.revision})
}

func (s *store) refuse(writer http.ResponseWriter, change transaction) {
	current := []item{}
	for _, each := range change.ExpectedRev {
		found := s.items[each.Key]
		found.Key = each.Key
		current = append(current, found)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(http.StatusPreconditionFailed)
	_ = json.NewEncoder(writer).Encode(map[string]any{"items": current})
}

func (s *store) grant(writer http.ResponseWriter, request *http.Request) {
	var body struct{ TtlMs int64 }
	_ = json.NewDecoder(request.Body).Decode(&body)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	id := uint64(len(s.leases) + 1)
	s.leases[id] = true
	answer(writer, map[string]any{"Lease": id, "TtlMs": body.TtlMs})
}

func (s *store) keep(writer http.ResponseWriter, request *http.Request) {
	id, _ := strconv.ParseUint(request.PathValue("id"), 10, 64)
	s.mutex.Lock()
	exists := s.leases[id]
	s.mutex.Unlock()
	if !exists {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	answer(writer, map[string]any{"TtlMs": 90000})
}

func answer(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}
