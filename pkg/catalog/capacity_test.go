package catalog

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/machinelist"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// The design size: the servers of the whole installation, and those of one zone, whose contents a
// node knows.
const (
	designServers     = 90_000
	designZoneServers = 5_300
	designParts       = 220
)

func designList() machinelist.List {
	list := make(machinelist.List, 0, designServers)
	for number := range designServers {
		list = append(list, machinelist.Entry{
			Server:  designServer(number),
			Service: target.Service(fmt.Sprintf("service%d", number%8)),
			Group:   fmt.Sprintf("group%d", number%designParts),
			Zone:    target.Zone(fmt.Sprintf("zone%d", number/designZoneServers)),
			State:   machinelist.Live,
		})
	}
	return list
}

func designServer(number int) target.ServerID {
	return target.ServerID(fmt.Sprintf("10.%d.%d.%d:9000", number>>16, number>>8&255, number&255))
}

// BenchmarkDesignSize reports the heap use of a catalog of the design size, for each server that is
// only listed and for each whose contents are known, and the time to apply an unchanged machine
// list.
func BenchmarkDesignSize(b *testing.B) {
	list := designList()
	parts := keyspace.Split(designParts)
	before := heapInUse()
	built := New(Options{Node: "n", Zone: "zone0"})
	built.ReplaceMachines(list)
	listed := heapInUse()
	for number := range designZoneServers {
		built.ReportProbe(designServer(number), time.Now(), &backend.Status{
			Service: list[number].Service, Instance: "instance", Ready: true, Slots: 5, Connections: 75,
			Indexes: []backend.Index{{Version: 1, Shards: []backend.Shard{{Group: list[number].Group, Range: parts[number%designParts]}}}},
		}, nil)
	}
	for _, service := range built.Services() {
		built.View(service)
	}
	known := heapInUse()
	for b.Loop() {
		built.ReplaceMachines(list)
	}
	b.ReportMetric(float64(listed-before)/designServers, "B/listed_server")
	b.ReportMetric(float64(known-listed)/designZoneServers, "B/known_server")
	b.ReportMetric(float64(known-before)/(1<<20), "MiB_in_all")
	runtime.KeepAlive(built)
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
