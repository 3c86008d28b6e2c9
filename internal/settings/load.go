package settings

import (
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// Override replaces the value at one path of the settings file, for example
// {"listen.callers", "127.0.0.1:8080"}.
type Override struct {
	Path  string
	Value string
}

// MaxFileBytes bounds the size of a settings file.
const MaxFileBytes = 1 << 20

// Load reads the file at path (none if it is empty), applies the overrides and
// validates the result. The error is of type Errors if the contents are wrong.
func Load(path string, overrides []Override) (*Settings, error) {
	var text []byte
	if path != "" {
		read, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "read settings file")
		}
		text = read
	}
	return Parse(text, overrides)
}

// Parse is Load for the contents of a file.
func Parse(text []byte, overrides []Override) (*Settings, error) {
	if len(text) > MaxFileBytes {
		return nil, errors.Errorf("settings file: %d bytes, at most %d are read", len(text), MaxFileBytes)
	}
	var tree map[string]any
	if err := yaml.Unmarshal(text, &tree); err != nil {
		return nil, errors.Wrap(err, "settings file is not a YAML mapping")
	}
	source := newSource(tree)
	for _, override := range overrides {
		source.override(override)
	}
	built := build(source)
	source.reportUnknown()
	if len(source.errors) > 0 {
		return nil, source.sortedErrors()
	}
	return built, nil
}

// build reads every setting once. The calls below are the reference of paths,
// defaults and bounds.
func build(source *source) *Settings {
	settings := &Settings{
		Node: Node{
			Name:     source.name("node.name", "node"),
			Zone:     target.Zone(source.name("node.zone", "")),
			Region:   target.Region(source.name("node.region", "default")),
			SourceIP: source.ip("node.source_ip"),
		},
		Listen: Listen{
			Callers:         source.address("listen.callers", "127.0.0.1:8480"),
			Operators:       source.address("listen.operators", "127.0.0.1:8481"),
			Peers:           source.address("listen.peers", "127.0.0.1:8482"),
			PeersAdvertised: source.optionalAddress("listen.peers_advertised"),
		},
		Store: Store{
			URL:     source.url("store.url"),
			Timeout: source.duration("store.timeout", 2*time.Second, 50*time.Millisecond, time.Minute),
		},
		MachineList: MachineList{
			URL:      source.url("machine_list.url"),
			Interval: source.duration("machine_list.interval", 5*time.Second, 100*time.Millisecond, 10*time.Minute),
		},
		Backends: Backends{
			ProbeInterval:    source.duration("backends.probe_interval", time.Second, 50*time.Millisecond, time.Minute),
			ProbeTimeout:     source.duration("backends.probe_timeout", 500*time.Millisecond, 10*time.Millisecond, time.Minute),
			ProbesPerSecond:  int(source.integer("backends.probes_per_second", 100, 1, 100_000)),
			MaxResponseBytes: source.integer("backends.max_response_bytes", 4<<20, 1<<10, 1<<30),
			SharingNodes:     int(source.integer("backends.sharing_nodes", 0, 0, 100_000)),
		},
		Callers: Callers{
			MaxConnections: int(source.integer("callers.max_connections", 4096, 1, 1_000_000)),
			MaxBodyBytes:   source.integer("callers.max_body_bytes", 64<<10, 256, 64<<20),
			HeaderTimeout:  source.duration("callers.header_timeout", 5*time.Second, 10*time.Millisecond, time.Minute),
			BodyTimeout:    source.duration("callers.body_timeout", 5*time.Second, 10*time.Millisecond, time.Minute),
			WriteTimeout:   source.duration("callers.write_timeout", 5*time.Second, 10*time.Millisecond, time.Minute),
			IdleTimeout:    source.duration("callers.idle_timeout", 2*time.Minute, time.Second, time.Hour),
		},
		Query: Query{
			AnswerMargin: source.duration("query.answer_margin", 2*time.Millisecond, 0, time.Second),
			MaxInFlight:  int(source.integer("query.max_in_flight", 1024, 1, 1_000_000)),
		},
		Stop: Stop{
			Announce: source.duration("stop.announce", 500*time.Millisecond, 0, time.Minute),
			Timeout:  source.duration("stop.timeout", 30*time.Second, 10*time.Millisecond, 10*time.Minute),
		},
		Templates: Templates{Files: source.texts("templates.files")},
		Memory: Memory{
			CollectPercent: int(source.integer("memory.collect_percent", 400, 10, 10_000)),
			LimitBytes:     source.integer("memory.limit_bytes", 1<<30, 16<<20, 1<<40),
		},
		Log: Log{Level: source.oneOf("log.level", "info", "trace", "debug", "info", "warn", "error")},
	}
	for _, seed := range source.addresses("peers.seeds") {
		settings.Peers.Seeds = append(settings.Peers.Seeds, peer.Address(seed))
	}
	return settings
}
