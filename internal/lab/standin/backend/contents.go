// Package backend emulates back-end servers: slots and connections with limits,
// index versions with a retention, shards that split and merge, slow and cold
// servers, drains, cancellation and deadlines, and wrong or lost answers on
// demand.
//
// A Server is one emulated server with a listener of its own; a Fleet is all
// servers of one service, which share the index contents and the layout. Both
// are safe for concurrent use. A not-repeatable request runs each time that it
// is received; the execution log tells how often that was.
package backend

import (
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/lab/dataset"
	"github.com/bramblemast/bramblemast/pkg/backend/backendpb"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// maxCachedBodies bounds the encoded answers that Contents keeps.
const maxCachedBodies = 16384

// Contents answers queries from a dataset and keeps the encoded answers, so
// that an emulated execution costs little processor time. It is safe for
// concurrent use.
type Contents struct {
	data *dataset.Dataset

	mutex  sync.RWMutex
	bodies map[question]body // guarded by mutex
}

// question identifies an answer: contents are a pure function of it.
type question struct {
	version target.Version
	within  keyspace.Range
	query   string
	limit   uint32
}

// body is an encoded answer with its checksum as sent in the header.
type body struct {
	content  []byte
	checksum string
}

// NewContents wraps a dataset.
func NewContents(data *dataset.Dataset) *Contents {
	return &Contents{data: data, bodies: make(map[question]body)}
}

// answer returns the encoded answer. The content is shared and must not be
// changed.
func (c *Contents) answer(asked question) (body, error) {
	c.mutex.RLock()
	known, ok := c.bodies[asked]
	c.mutex.RUnlock()
	if ok {
		return known, nil
	}
	made, err := c.compute(asked)
	if err != nil {
		return body{}, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.bodies) >= maxCachedBodies {
		clear(c.bodies)
	}
	c.bodies[asked] = made
	return made, nil
}

func (c *Contents) compute(asked question) (body, error) {
	found := c.data.Evaluate(asked.version, asked.query, []keyspace.Range{asked.within}, int(asked.limit))
	result := &backendpb.SubResult{Matches: found.Matches, ScoreSum: found.ScoreSum}
	for _, record := range found.Records {
		result.Records = append(result.Records, &backendpb.Record{
			Key:     record.Key,
			Score:   record.Score,
			Payload: record.Payload,
		})
	}
	return encode(result)
}

func encode(result *backendpb.SubResult) (body, error) {
	content, err := result.MarshalVT()
	if err != nil {
		return body{}, errors.Wrap(err, "encode answer")
	}
	return body{content: content, checksum: fmt.Sprintf("%016x", xxhash.Sum64(content))}, nil
}
