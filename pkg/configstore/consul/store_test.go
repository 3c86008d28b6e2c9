package consul

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/configstore"
	"github.com/bramblemast/bramblemast/pkg/configstore/storetest"
	"github.com/bramblemast/bramblemast/pkg/outcome"
)

func open(t *testing.T, address string) *Store {
	t.Helper()
	store, err := New(Options{Address: address, Token: "token", MaxBody: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.options.Client.CloseIdleConnections)
	return store
}

func TestStoreConforms(t *testing.T) {
	storetest.Run(t, func(t *testing.T) configstore.Store {
		return open(t, newServer(t, configstore.NewMemory()).URL)
	})
}

func wantFailure(t *testing.T, err, kind error, want outcome.Outcome) {
	t.Helper()
	var typed *outcome.Error
	if !errors.Is(err, kind) || !errors.As(err, &typed) || typed.Outcome != want || typed.Peer == "" || typed.Step == "" {
		t.Fatalf("got %#v, want %v with outcome %v, step and peer", err, kind, want)
	}
}

func TestFailuresOfTheStore(t *testing.T) {
	memory := configstore.NewMemory()
	store := open(t, newServer(t, memory).URL)
	ctx := t.Context()

	memory.FailWrites(configstore.ReplyLost, 1)
	wantFailure(t, store.CompareAndSwap(ctx, "a", []byte("1"), 0), configstore.ErrUnknown, outcome.Unknown)
	if entry, err := store.Get(ctx, "a"); err != nil || string(entry.Value) != "1" {
		t.Fatalf("read back %q, %v", entry.Value, err)
	}

	memory.SetUnavailable(true)
	wantFailure(t, store.CompareAndSwap(ctx, "a", nil, 2), configstore.ErrUnknown, outcome.Unknown)
	_, err := store.Get(ctx, "a")
	wantFailure(t, err, configstore.ErrUnavailable, outcome.NotRun)
	memory.SetUnavailable(false)

	memory.SetLimit(1e-9, 1)
	_, _, err = store.List(ctx, "")
	if err != nil {
		t.Fatal(err)
	}
	wantFailure(t, store.CompareAndSwap(ctx, "a", nil, 2), configstore.ErrLimited, outcome.NotRun)
	_, _, err = store.List(ctx, "")
	wantFailure(t, err, configstore.ErrLimited, outcome.NotRun)
}

func TestFailuresOfTheNetwork(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	store := open(t, "http://"+closed)
	wantFailure(t, store.CompareAndSwap(t.Context(), "a", nil, 0), configstore.ErrUnavailable, outcome.NotRun)

	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	wantFailure(t, store.CompareAndSwap(cancelled, "a", nil, 0), configstore.ErrUnavailable, outcome.NotRun)
}

func TestStrangeAnswers(t *testing.T) {
	answers := []struct {
		name, index, body string
	}{
		{"no index", "", `[]`},
		{"an index that is no number", "x", `[]`},
		{"no JSON", "5", `<html>`},
		{"an entry without key", "5", `[{"Value":"YQ==","ModifyIndex":5}]`},
		{"a value that is not base64", "5", `[{"Key":"a","Value":"%","ModifyIndex":5}]`},
		{"an answer without end", "5", strings.Repeat(" ", 2<<20)},
	}
	for _, answer := range answers {
		t.Run(answer.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set(headerIndex, answer.index)
				_, _ = writer.Write([]byte(answer.body))
			}))
			defer server.Close()
			store := open(t, server.URL)
			_, err := store.Get(t.Context(), "a")
			wantFailure(t, err, configstore.ErrUnavailable, outcome.NotRun)
			wantFailure(t, store.CompareAndSwap(t.Context(), "a", nil, 0), configstore.ErrUnknown, outcome.Unknown)
		})
	}
}

func TestNewChecksTheAddress(t *testing.T) {
	for _, address := range []string{"", "10.0.0.1:8500", "ftp://10.0.0.1", "http://", "http://[::1"} {
		if _, err := New(Options{Address: address}); err == nil {
			t.Errorf("%q was taken", address)
		}
	}
}

// FuzzDecodeEntries checks that no body of an answer gives an entry without
// key or index.
func FuzzDecodeEntries(f *testing.F) {
	f.Add([]byte(`[{"Key":"a","Value":"YQ==","ModifyIndex":5,"Flags":0,"LockIndex":0}]`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, body []byte) {
		entries, err := decodeEntries(body)
		if err != nil {
			return
		}
		for _, entry := range entries {
			if entry.Key == "" || entry.Index == 0 {
				t.Fatalf("got %+v", entry)
			}
		}
	})
}
