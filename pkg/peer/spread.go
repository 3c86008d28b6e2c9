package peer

import (
	"context"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"
)

// spreadWidth is the number of calls of one Spread that are under way at once: a node that does not
// answer holds up only one of them.
const spreadWidth = 32

// Spread sends one message to several nodes at once and returns the addresses that took it.
// newReply returns a message for each reply. A node that does not answer within ctx is no
// error: what is told this way is told again while it matters.
func Spread(ctx context.Context, transport Transport, addresses []Address, kind Kind, message proto.Message, newReply func() proto.Message) []Address {
	var (
		mutex sync.Mutex
		taken []Address
		group sync.WaitGroup
	)
	slots := make(chan struct{}, spreadWidth)
	for _, address := range addresses {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			if err := transport.Call(ctx, address, kind, message, newReply()); err != nil {
				// The caller sees which nodes took it.
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			taken = append(taken, address)
		})
	}
	group.Wait()
	return taken
}

// SpreadAll does the same as Spread, with all calls under way at once, so that nodes that do not answer
// delay no others: ctx ends too early for the last addresses of one long Spread.
func SpreadAll(ctx context.Context, transport Transport, addresses []Address, kind Kind, message proto.Message, newReply func() proto.Message) []Address {
	var (
		mutex sync.Mutex
		taken []Address
		group sync.WaitGroup
	)
	for part := range slices.Chunk(addresses, spreadWidth) {
		group.Go(func() {
			found := Spread(ctx, transport, part, kind, message, newReply)
			mutex.Lock()
			defer mutex.Unlock()
			taken = append(taken, found...)
		})
	}
	group.Wait()
	return taken
}
