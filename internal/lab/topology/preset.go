package topology

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/target"
)

// The presets: the two deployments at their sizes of today.
const (
	PresetValgsok       = "valgsok"
	PresetColourArchive = "colour-archive"
)

// defaultSeed is used unless the operator of the lab names one.
const defaultSeed = 20261202

// Defaults of a service; a deployment file sets its own.
const (
	defaultRecords   = 4000
	defaultRetention = 3
)

// Preset returns a fresh copy of a preset deployment, or nil if there is none
// of that name.
func Preset(name string) *Deployment {
	switch name {
	case PresetValgsok:
		return valgsok()
	case PresetColourArchive:
		return colourArchive()
	default:
		return nil
	}
}

// Presets returns the names of the presets.
func Presets() []string { return []string{PresetValgsok, PresetColourArchive} }

func valgsok() *Deployment {
	return &Deployment{
		Name:    PresetValgsok,
		Seed:    defaultSeed,
		Regions: []Region{{Name: "norway", Zones: []target.Zone{"oslo", "bergen", "trondheim"}}},
		Latency: defaultLatency(),
		Services: []Service{
			grouped("resultatside", 4, 5, 75),
			grouped("kandidatprofil", 6, 5, 75),
			ungrouped("valgarkiv", 25, 3, 110),
			ungrouped("redaksjonsfeed", 13, 3, 110),
		},
	}
}

func colourArchive() *Deployment {
	return &Deployment{
		Name:    PresetColourArchive,
		Seed:    defaultSeed + 1,
		Regions: []Region{{Name: "portugal", Zones: []target.Zone{"setubal", "palmela", "sesimbra"}}},
		Latency: defaultLatency(),
		Services: []Service{
			grouped("colour-lookup", 4, 5, 65),
			grouped("pigment-stock", 6, 5, 65),
			ungrouped("audit-ledger", 20, 4, 95),
			ungrouped("tint-orders", 10, 4, 95),
		},
	}
}

func defaultLatency() Latency {
	return Latency{
		BetweenZones:   Duration(time.Millisecond),
		BetweenRegions: Duration(12 * time.Millisecond),
		ToClients:      Duration(3 * time.Millisecond),
		NewConnection:  Duration(time.Millisecond),
	}
}

func grouped(name target.Service, groups, slots, connections int) Service {
	service := withDefaults(name, slots, connections)
	service.Groups = groups
	service.ServersPerGroup = 4
	return service
}

func ungrouped(name target.Service, servers, slots, connections int) Service {
	service := withDefaults(name, slots, connections)
	service.Servers = servers
	return service
}

func withDefaults(name target.Service, slots, connections int) Service {
	return Service{
		Name:        name,
		Slots:       slots,
		Queue:       2 * slots,
		Connections: connections,
		Records:     defaultRecords,
		Retention:   defaultRetention,
		ServiceTime: ServiceTime{Median: Duration(2 * time.Millisecond), Spread: 0.3},
		ColdStart:   ColdStart{NotReady: Duration(0), Slow: Duration(0), Factor: 1},
		DrainGrace:  Duration(3 * time.Second),
	}
}
