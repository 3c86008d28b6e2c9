package store

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
)

// Paths and bounds of the interface.
const (
	keyPath     = "/v1/kv/"
	sessionPath = "/v1/session/"
	// maxValue is the largest value, in bytes, that the interface takes.
	maxValue = 512 << 10
	// defaultWait and maxWait bound a blocking query.
	defaultWait = 5 * time.Minute
	maxWait     = 10 * time.Minute

	headerIndex = "X-Consul-Index"
)

// Store is the emulated configuration store, an http.Handler. It is safe for
// concurrent use.
type Store struct {
	state    *state
	faults   faultControl
	counters counters
	mux      *http.ServeMux
}

// New makes an empty, healthy store.
func New() *Store {
	store := &Store{state: newState(time.Now), mux: http.NewServeMux()}
	store.registerSessions()
	return store
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if !s.admit(writer, request) {
		return
	}
	if strings.HasPrefix(request.URL.Path, keyPath) {
		s.serveKey(writer, request)
		return
	}
	s.mux.ServeHTTP(writer, request)
}

// serveKey goes round the mux, which would redirect keys such as "a//b".
func (s *Store) serveKey(writer http.ResponseWriter, request *http.Request) {
	switch request.Method {
	case http.MethodGet:
		s.serveRead(writer, request)
	case http.MethodPut:
		s.serveWrite(writer, request)
	case http.MethodDelete:
		s.serveDelete(writer, request)
	default:
		http.Error(writer, "method not allowed", http.StatusMethodNotAllowed)
	}
}

// SetFaults replaces the faults of the store.
func (s *Store) SetFaults(faults labapi.StoreFaults) { s.faults.set(faults) }

// Rollback brings the store back to its state at an index.
func (s *Store) Rollback(index uint64) { s.state.rollback(index) }

// Stats returns the counters.
func (s *Store) Stats() labapi.StoreStats {
	return labapi.StoreStats{
		Index:    s.state.currentIndex(),
		Reads:    s.counters.reads.Load(),
		Blocking: s.counters.blocking.Load(),
		Writes:   s.counters.writes.Load(),
		Sessions: s.counters.sessions.Load(),
		Limited:  s.counters.limited.Load(),
		Lost:     s.counters.lost.Load(),
	}
}

// RegisterAdmin adds the admin routes to a router.
func (s *Store) RegisterAdmin(router *echo.Echo) {
	router.POST(labapi.PathStoreFaults, s.postFaults)
	router.POST(labapi.PathRollback, s.postRollback)
	router.GET(labapi.PathStoreStats, func(c echo.Context) error {
		return c.JSON(http.StatusOK, s.Stats())
	})
}

func (s *Store) postFaults(c echo.Context) error {
	var faults labapi.StoreFaults
	if err := c.Bind(&faults); err != nil {
		return err
	}
	s.SetFaults(faults)
	return c.JSON(http.StatusOK, struct{}{})
}

func (s *Store) postRollback(c echo.Context) error {
	var request labapi.RollbackRequest
	if err := c.Bind(&request); err != nil {
		return err
	}
	s.Rollback(request.Index)
	return c.JSON(http.StatusOK, struct{}{})
}

// serveWrite handles PUT with ?cas, ?acquire, ?release and ?flags.
func (s *Store) serveWrite(writer http.ResponseWriter, request *http.Request) {
	s.counters.writes.Add(1)
	wanted, err := parseWrite(writer, request)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	committed, err := s.state.put(wanted)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	s.replyToWrite(writer, committed)
}

// serveDelete handles DELETE with ?cas and ?recurse.
func (s *Store) serveDelete(writer http.ResponseWriter, request *http.Request) {
	s.counters.writes.Add(1)
	key := keyOf(request)
	if request.URL.Query().Has("recurse") {
		s.state.removePrefix(key)
		s.replyToWrite(writer, true)
		return
	}
	cas, err := parseCAS(request)
	if err != nil || key == "" {
		http.Error(writer, "invalid key or cas", http.StatusBadRequest)
		return
	}
	s.replyToWrite(writer, s.state.remove(key, cas))
}

// replyToWrite answers a write, or loses the reply of one that committed.
func (s *Store) replyToWrite(writer http.ResponseWriter, committed bool) {
	if committed && s.faults.takeLostReply() {
		s.counters.lost.Add(1)
		panic(http.ErrAbortHandler)
	}
	writeJSON(writer, committed)
}

func parseWrite(writer http.ResponseWriter, request *http.Request) (write, error) {
	key := keyOf(request)
	if key == "" {
		return write{}, errors.New("missing key name")
	}
	cas, err := parseCAS(request)
	if err != nil {
		return write{}, err
	}
	parameters := request.URL.Query()
	var flags uint64
	if text := parameters.Get("flags"); text != "" {
		if flags, err = strconv.ParseUint(text, 10, 64); err != nil {
			return write{}, errors.Wrap(err, "flags")
		}
	}
	value, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxValue))
	if err != nil {
		return write{}, errors.Wrap(err, "read value")
	}
	return write{
		key:     key,
		value:   value,
		flags:   flags,
		cas:     cas,
		acquire: parameters.Get("acquire"),
		release: parameters.Get("release"),
	}, nil
}

// parseCAS returns the expected index, or nil if the request names none.
func parseCAS(request *http.Request) (*uint64, error) {
	parameters := request.URL.Query()
	if !parameters.Has("cas") {
		return nil, nil
	}
	index, err := strconv.ParseUint(parameters.Get("cas"), 10, 64)
	if err != nil {
		return nil, errors.Wrap(err, "cas")
	}
	return &index, nil
}

func keyOf(request *http.Request) string { return strings.TrimPrefix(request.URL.Path, keyPath) }

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	// It fails if the other side has gone: there is nobody left to tell.
	_ = json.NewEncoder(writer).Encode(value)
}
