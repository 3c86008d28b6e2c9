package membership

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/bramblemast/bramblemast/pkg/membership/membershippb"
	"github.com/bramblemast/bramblemast/pkg/peer"
)

// transmission is one message between two nodes, in the order in which it was sent.
type transmission struct {
	sentAt   time.Time
	from, to peer.Address
	kind     peer.Kind
	// carried are the items in the message, as named by itemName.
	carried []string
	// returned are the items in the reply. err is set if there was none.
	returned []string
	err      error
}

// messageTrace records the messages of all nodes of a cluster, so that a test that finds a node
// without an item can show which nodes sent that item to whom.
type messageTrace struct {
	mutex         sync.Mutex
	enabled       bool
	transmissions []*transmission
}

// start begins the recording.
func (r *messageTrace) start() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.enabled = true
}

func (r *messageTrace) record(sent *transmission) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.enabled {
		r.transmissions = append(r.transmissions, sent)
	}
}

// describe lists the transmissions of one item, and the messages of one node that did not carry
// it, with the time since the first transmission.
func (r *messageTrace) describe(item string, missed peer.Address) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var text strings.Builder
	senders := make(map[peer.Address]int)
	receivers := make(map[peer.Address]int)
	var first time.Time
	for _, sent := range r.transmissions {
		carried := slices.Contains(sent.carried, item)
		returned := slices.Contains(sent.returned, item)
		involved := sent.from == missed || sent.to == missed
		if !carried && !returned && !involved {
			continue
		}
		if first.IsZero() {
			first = sent.sentAt
		}
		if carried {
			senders[sent.from]++
			receivers[sent.to]++
		}
		fmt.Fprintf(&text, "%v %s %s -> %s carried=%v returned=%v err=%v\n",
			sent.sentAt.Sub(first), sent.kind, sent.from, sent.to, carried, returned, sent.err)
	}
	fmt.Fprintf(&text, "sent by: %v\nsent to: %v\n", senders, receivers)
	return text.String()
}

// tracedTransport records every call of one node.
type tracedTransport struct {
	*peer.MemoryTransport
	trace *messageTrace
}

// Call implements peer.Transport.
func (t *tracedTransport) Call(ctx context.Context, address peer.Address, kind peer.Kind, request, reply proto.Message) error {
	sent := &transmission{sentAt: time.Now(), from: t.Address(), to: address, kind: kind, carried: itemNames(request)}
	err := t.MemoryTransport.Call(ctx, address, kind, request, reply)
	sent.err = err
	if err == nil {
		sent.returned = itemNames(reply)
	}
	t.trace.record(sent)
	return err
}

// itemNames names the items that a message carries.
func itemNames(message proto.Message) []string {
	var names []string
	entries, broadcasts := itemsOf(message)
	for _, entry := range entries {
		names = append(names, itemName(entry))
	}
	for _, broadcast := range broadcasts {
		names = append(names, broadcastKey(broadcast))
	}
	return names
}

func itemsOf(message proto.Message) ([]*pb.Entry, []*pb.News) {
	switch typed := message.(type) {
	case *pb.Ping:
		return typed.Gossip.GetEntries(), typed.Gossip.GetNews()
	case *pb.Ack:
		return typed.Gossip.GetEntries(), typed.Gossip.GetNews()
	case *pb.ProbeRequest:
		return typed.Gossip.GetEntries(), typed.Gossip.GetNews()
	case *pb.ProbeReply:
		return typed.Gossip.GetEntries(), typed.Gossip.GetNews()
	case *pb.SyncRequest:
		return append([]*pb.Entry{typed.Self}, typed.Entries...), nil
	case *pb.SyncReply:
		return append([]*pb.Entry{typed.Self}, typed.Entries...), typed.News
	default:
		return nil, nil
	}
}

// itemName names what an entry states about a member.
func itemName(entry *pb.Entry) string {
	return fmt.Sprintf("%s %s %d", entry.GetId(), entry.GetState(), entry.GetIncarnation())
}
