package backend

import (
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// StatusDocument is the JSON body that StatusPath answers with.
// docs/BACKENDS.md is the reference of its fields.
type StatusDocument struct {
	Service     target.Service  `json:"service"`
	Instance    string          `json:"instance"`
	Draining    bool            `json:"draining"`
	Ready       bool            `json:"ready"`
	UptimeMS    int64           `json:"uptime_ms"`
	Slots       int             `json:"slots"`
	Connections int             `json:"connections"`
	Load        float64         `json:"load"`
	Indexes     []IndexDocument `json:"indexes"`
}

// IndexDocument is one index version of a StatusDocument.
type IndexDocument struct {
	Version target.Version  `json:"version"`
	Shards  []ShardDocument `json:"shards"`
}

// ShardDocument is one part of an IndexDocument.
type ShardDocument struct {
	Group string         `json:"group"`
	Range keyspace.Range `json:"range"`
}

// NewStatusDocument converts a status to its JSON form.
func NewStatusDocument(status *Status) StatusDocument {
	document := StatusDocument{
		Service:     status.Service,
		Instance:    status.Instance,
		Draining:    status.Draining,
		Ready:       status.Ready,
		UptimeMS:    status.Uptime.Milliseconds(),
		Slots:       status.Slots,
		Connections: status.Connections,
		Load:        status.Load,
		Indexes:     make([]IndexDocument, 0, len(status.Indexes)),
	}
	for _, index := range status.Indexes {
		shards := make([]ShardDocument, 0, len(index.Shards))
		for _, shard := range index.Shards {
			shards = append(shards, ShardDocument(shard))
		}
		document.Indexes = append(document.Indexes, IndexDocument{Version: index.Version, Shards: shards})
	}
	return document
}

// Status checks the document and converts it.
func (d *StatusDocument) Status() (*Status, error) {
	if err := d.check(); err != nil {
		return nil, err
	}
	status := &Status{
		Service:     d.Service,
		Instance:    d.Instance,
		Draining:    d.Draining,
		Ready:       d.Ready,
		Uptime:      time.Duration(d.UptimeMS) * time.Millisecond,
		Slots:       d.Slots,
		Connections: d.Connections,
		Load:        d.Load,
		Indexes:     make([]Index, 0, len(d.Indexes)),
	}
	for _, index := range d.Indexes {
		shards := make([]Shard, 0, len(index.Shards))
		for _, shard := range index.Shards {
			shards = append(shards, Shard(shard))
		}
		status.Indexes = append(status.Indexes, Index{Version: index.Version, Shards: shards})
	}
	return status, nil
}

func (d *StatusDocument) check() error {
	switch {
	case d.Service == "":
		return errors.New("status: service is empty")
	case d.Instance == "":
		return errors.New("status: instance is empty")
	case d.UptimeMS < 0:
		return errors.Errorf("status: uptime_ms %d is negative", d.UptimeMS)
	case d.Slots < 0 || d.Connections < 0:
		return errors.Errorf("status: slots %d or connections %d is negative", d.Slots, d.Connections)
	}
	for _, index := range d.Indexes {
		for _, shard := range index.Shards {
			if !shard.Range.Valid() {
				return errors.Errorf("status: version %d: range %s is invalid", index.Version, shard.Range)
			}
		}
	}
	return nil
}
