package backend_test

import (
	"context"
	"testing"

	standin "github.com/bramblemast/bramblemast/internal/lab/standin/backend"
	"github.com/bramblemast/bramblemast/internal/lab/topology"
	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/backend/httpbackend"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// BenchmarkExchange measures one exchange with a server that takes no time, the
// client's side included.
func BenchmarkExchange(b *testing.B) {
	service := topology.Service{
		Name: "bench", Groups: 4, ServersPerGroup: 1, Slots: 64, Queue: 64, Connections: 1000,
		Records: 4000, Retention: 1,
	}
	deployment := topology.Preset(topology.PresetValgsok)
	fleet := standin.NewFleet(standin.FleetConfig{Service: service, Plans: deployment.PlanService(&service), Seed: 1})
	if err := fleet.Start(); err != nil {
		b.Fatal(err)
	}
	defer fleet.Stop()
	client := httpbackend.New(httpbackend.Options{Connections: func(target.ServerID) int { return 64 }})
	defer client.Close()
	server := fleet.Servers()[0]
	request := backend.Request{
		Target: target.Target{
			Service: service.Name,
			Range:   deployment.PlanService(&service)[0].Shards[0].Range,
			Server:  server.Address(),
			Version: standin.FirstVersion,
		},
		RequestID: "bench", Attempt: 1, Query: "group1/", Limit: 20,
	}
	b.ReportAllocs()
	b.RunParallel(func(loop *testing.PB) {
		for loop.Next() {
			if _, err := client.Do(context.Background(), &request); err != nil {
				b.Error(err)
			}
		}
	})
}
