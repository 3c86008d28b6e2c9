package consul

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/configstore"
)

// newServer serves a Memory over the interface, as far as the adapter uses it.
func newServer(t *testing.T, memory *configstore.Memory) *httptest.Server {
	server := httptest.NewServer(http.StripPrefix(keyPath, http.HandlerFunc(
		func(writer http.ResponseWriter, request *http.Request) { serve(writer, request, memory) })))
	t.Cleanup(server.Close)
	return server
}

func serve(writer http.ResponseWriter, request *http.Request, memory *configstore.Memory) {
	key := strings.TrimPrefix(request.URL.Path, "/")
	swap, _ := strconv.ParseUint(request.URL.Query().Get(paramSwap), 10, 64)
	switch request.Method {
	case http.MethodGet:
		serveRead(writer, request, memory, key)
	case http.MethodPut:
		value, _ := io.ReadAll(request.Body)
		serveWrite(writer, memory.CompareAndSwap(request.Context(), key, value, swap))
	case http.MethodDelete:
		serveWrite(writer, memory.CompareAndDelete(request.Context(), key, swap))
	}
}

func serveRead(writer http.ResponseWriter, request *http.Request, memory *configstore.Memory, key string) {
	parameters := request.URL.Query()
	after, _ := strconv.ParseUint(parameters.Get(paramIndex), 10, 64)
	wait, _ := time.ParseDuration(parameters.Get(paramWait))
	var entries []configstore.Entry
	var index uint64
	var err error
	if after > 0 {
		entries, index, err = memory.Watch(request.Context(), key, after, wait)
	} else {
		entries, index, err = memory.List(request.Context(), key)
	}
	if err != nil {
		serveFailure(writer, err)
		return
	}
	wire := []wireEntry{}
	for _, entry := range entries {
		if parameters.Has(paramRecurse) || entry.Key == key {
			wire = append(wire, wireEntry{Key: entry.Key, Value: entry.Value, ModifyIndex: entry.Index})
		}
	}
	writer.Header().Set(headerIndex, strconv.FormatUint(index, 10))
	if len(wire) == 0 {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(writer).Encode(wire)
}

func serveWrite(writer http.ResponseWriter, err error) {
	switch {
	case err == nil:
		_, _ = io.WriteString(writer, bodyCommitted)
	case errors.Is(err, configstore.ErrConflict):
		_, _ = io.WriteString(writer, bodyConflict)
	case errors.Is(err, configstore.ErrUnknown):
		panic(http.ErrAbortHandler) // the connection closes without an answer
	default:
		serveFailure(writer, err)
	}
}

func serveFailure(writer http.ResponseWriter, err error) {
	if errors.Is(err, configstore.ErrLimited) {
		http.Error(writer, "rate limit exceeded", http.StatusTooManyRequests)
		return
	}
	http.Error(writer, "No cluster leader", http.StatusInternalServerError)
}
