package peer

import (
	"sync"
	"sync/atomic"
)

// Stats counts the messages of a transport. Bytes are those of the frames with
// their lengths, without the headers of TCP and IP. A request and its reply are
// one message each.
type Stats struct {
	MessagesIn  uint64
	MessagesOut uint64
	BytesIn     uint64
	BytesOut    uint64
}

// Add returns the sums of both.
func (s Stats) Add(other Stats) Stats {
	return Stats{
		MessagesIn:  s.MessagesIn + other.MessagesIn,
		MessagesOut: s.MessagesOut + other.MessagesOut,
		BytesIn:     s.BytesIn + other.BytesIn,
		BytesOut:    s.BytesOut + other.BytesOut,
	}
}

// Sub returns what was counted since earlier.
func (s Stats) Sub(earlier Stats) Stats {
	return Stats{
		MessagesIn:  s.MessagesIn - earlier.MessagesIn,
		MessagesOut: s.MessagesOut - earlier.MessagesOut,
		BytesIn:     s.BytesIn - earlier.BytesIn,
		BytesOut:    s.BytesOut - earlier.BytesOut,
	}
}

// counter counts the messages of one kind.
type counter struct {
	messagesIn, messagesOut, bytesIn, bytesOut atomic.Uint64
}

func (c *counter) in(bytes int) {
	c.messagesIn.Add(1)
	c.bytesIn.Add(uint64(bytes))
}

func (c *counter) out(bytes int) {
	c.messagesOut.Add(1)
	c.bytesOut.Add(uint64(bytes))
}

func (c *counter) stats() Stats {
	return Stats{
		MessagesIn:  c.messagesIn.Load(),
		MessagesOut: c.messagesOut.Load(),
		BytesIn:     c.bytesIn.Load(),
		BytesOut:    c.bytesOut.Load(),
	}
}

// maxCountedKinds bounds the memory that names sent by peers can take.
const maxCountedKinds = 256

// otherKind counts what exceeds maxCountedKinds.
const otherKind Kind = "other"

// counters counts messages by kind. It is safe for concurrent use.
type counters struct {
	mutex sync.RWMutex
	// byKind is guarded by mutex; the counters are atomic.
	byKind map[Kind]*counter
}

// of returns the counter of a kind.
func (c *counters) of(kind Kind) *counter {
	c.mutex.RLock()
	found := c.byKind[kind]
	c.mutex.RUnlock()
	if found != nil {
		return found
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.byKind == nil {
		c.byKind = make(map[Kind]*counter)
	}
	if len(c.byKind) >= maxCountedKinds {
		kind = otherKind
	}
	if c.byKind[kind] == nil {
		c.byKind[kind] = &counter{}
	}
	return c.byKind[kind]
}

// Stats returns the totals over all kinds.
func (c *counters) Stats() Stats {
	var total Stats
	for _, stats := range c.StatsByKind() {
		total = total.Add(stats)
	}
	return total
}

// StatsByKind returns the counts of each kind of message.
func (c *counters) StatsByKind() map[Kind]Stats {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	all := make(map[Kind]Stats, len(c.byKind))
	for kind, counted := range c.byKind {
		all[kind] = counted.stats()
	}
	return all
}
