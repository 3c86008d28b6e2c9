package configsync

import (
	"sync/atomic"
)

// Stats holds counters of a replica since its creation. Bytes are those of the message bodies,
// without framing; the transport counts frames.
type Stats struct {
	// MessagesOut and MessagesIn count requests and replies alike.
	MessagesOut uint64
	MessagesIn  uint64
	BytesOut    uint64
	BytesIn     uint64

	// Applied counts the documents that were accepted as new or newer, by source.
	Applied map[Source]uint64
	// Duplicates counts the offered documents that were held already. Refused counts the offered
	// documents that were older than the held one.
	Duplicates uint64
	Refused    uint64
	// Malformed counts documents that could not be decoded.
	Malformed uint64

	PushesFailed    uint64
	PushesDropped   uint64
	Exchanges       uint64
	ExchangesFailed uint64

	StoreCalls  uint64
	StoreErrors uint64
	// StoreBytes counts the bytes of the values read from the store.
	StoreBytes uint64
	// StoreBehind counts documents that the store was found to have lost or to hold in an older
	// version, once for each read; Repaired counts those that this node wrote back.
	StoreBehind uint64
	Repaired    uint64
	// Forks counts held documents for which another document with the same revision and a different
	// change id was offered.
	Forks uint64
}

// counters holds the live values of Stats.
type counters struct {
	messagesOut, messagesIn, bytesOut, bytesIn        atomic.Uint64
	local, store, push, exchange, bootstrap           atomic.Uint64
	duplicates, refused, malformed                    atomic.Uint64
	pushesFailed, dropped, exchanges, exchangesFailed atomic.Uint64
	storeCalls, storeErrors, storeBytes               atomic.Uint64
	storeBehind, repaired                             atomic.Uint64
	// storeIndex is the index of the last read of the store.
	storeIndex atomic.Uint64
	// storeReadAt is the time of that read, in nanoseconds since 1970.
	storeReadAt atomic.Int64
}

func (c *counters) addSent(bytes int) {
	c.messagesOut.Add(1)
	c.bytesOut.Add(uint64(bytes))
}

func (c *counters) addReceived(bytes int) {
	c.messagesIn.Add(1)
	c.bytesIn.Add(uint64(bytes))
}

func (c *counters) addHandled(requestBytes, replyBytes int) {
	c.addReceived(requestBytes)
	c.addSent(replyBytes)
}

// addOffer counts a document that was offered to the table.
func (c *counters) addOffer(source Source, result offerResult) {
	switch result {
	case resultOlder:
		c.refused.Add(1)
	case resultSame:
		c.duplicates.Add(1)
	case resultNewer:
		c.applied(source).Add(1)
	}
}

func (c *counters) applied(source Source) *atomic.Uint64 {
	switch source {
	case SourceLocal:
		return &c.local
	case SourceStore:
		return &c.store
	case SourcePush:
		return &c.push
	case SourceExchange:
		return &c.exchange
	default:
		return &c.bootstrap
	}
}

// Stats returns the counts so far.
func (r *Replica) Stats() Stats {
	c := &r.counters
	stats := Stats{
		MessagesOut: c.messagesOut.Load(), MessagesIn: c.messagesIn.Load(),
		BytesOut: c.bytesOut.Load(), BytesIn: c.bytesIn.Load(),
		Applied:    map[Source]uint64{},
		Duplicates: c.duplicates.Load(), Refused: c.refused.Load(), Malformed: c.malformed.Load(),
		PushesFailed: c.pushesFailed.Load(), PushesDropped: c.dropped.Load(),
		Exchanges: c.exchanges.Load(), ExchangesFailed: c.exchangesFailed.Load(),
		StoreCalls: c.storeCalls.Load(), StoreErrors: c.storeErrors.Load(), StoreBytes: c.storeBytes.Load(),
		StoreBehind: c.storeBehind.Load(), Repaired: c.repaired.Load(),
		Forks: r.table.forkCount(),
	}
	for _, source := range []Source{SourceLocal, SourceStore, SourcePush, SourceExchange, SourceBootstrap} {
		stats.Applied[source] = c.applied(source).Load()
	}
	return stats
}

func (t *table) forkCount() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.forks
}
