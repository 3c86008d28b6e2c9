// Package freeport finds loopback addresses for processes that must listen at one again after a
// restart. It is safe for concurrent use.
package freeport

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Ports below the range from which Linux takes those of outgoing connections (32768 and up): one of these could
// otherwise hold a process's port before it listens, or while it restarts.
const (
	leastPort    = 20000
	greatestPort = 32000
)

// taken counts the ports that were given out, from a random one on, so that none is given out twice in
// this process, and seldom by two.
var taken, first = atomic.Int64{}, rand.Int64N(greatestPort - leastPort)

// Address returns a loopback address whose port is free now.
func Address() (string, error) {
	for range greatestPort - leastPort {
		port := leastPort + (first+taken.Add(1))%(greatestPort-leastPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			// Another process listens there.
			continue
		}
		return address, errors.Wrap(listener.Close(), "free "+address)
	}
	return "", errors.New("no port is free")
}
