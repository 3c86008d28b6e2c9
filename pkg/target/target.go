// Package target names what a sub-request is sent to. One typed value travels
// from the plan through every layer to the text of an error. All types are
// immutable values.
package target

import (
	"fmt"

	"github.com/bramblemast/bramblemast/pkg/keyspace"
)

// Service is the name of a back-end service, for example "resultatside".
type Service string

// ServerID identifies one back-end server over its whole life. It is the
// host:port that the server listens on.
type ServerID string

// NodeID identifies one node of the query tier. It is unique for each start
// of a process.
type NodeID string

// Zone is the name of a failure domain with its own machines, for example
// "oslo".
type Zone string

// Region is the name of a group of zones that are near each other.
type Region string

// Version is the version of an index. Versions of one service are ordered;
// a higher one is newer. Zero means that no version is chosen.
type Version uint64

// Target is one replica of one part of a service's index at one version.
type Target struct {
	Service Service
	Group   string
	Range   keyspace.Range
	Server  ServerID
	Version Version
}

// String formats the target for logs and errors.
func (t Target) String() string {
	return fmt.Sprintf("%s/%s[%s]@%d via %s", t.Service, t.Group, t.Range, t.Version, t.Server)
}
