package peer

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"
)

// spreadWidth bounds the calls of one Spread that are under way together: a node that is
// silent holds up no more than one in so many.
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
