package store_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/bramblemast/bramblemast/internal/lab/standin/store"
	"github.com/bramblemast/bramblemast/pkg/configstore"
	"github.com/bramblemast/bramblemast/pkg/configstore/consul"
	"github.com/bramblemast/bramblemast/pkg/configstore/storetest"
)

// TestConformance runs the conformance suite of configuration stores with the
// node's own client against the stand-in.
func TestConformance(t *testing.T) {
	storetest.Run(t, func(t *testing.T) configstore.Store {
		server := httptest.NewServer(store.New())
		client := &http.Client{Transport: &http.Transport{}}
		t.Cleanup(func() {
			client.CloseIdleConnections()
			server.CloseClientConnections()
			server.Close()
		})
		opened, err := consul.New(consul.Options{Address: server.URL, Client: client})
		if err != nil {
			t.Fatal(err)
		}
		return opened
	})
}
