package configsync

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/bramblemast/bramblemast/pkg/configsync/configsyncpb"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// The kinds of peer messages.
const (
	kindPush      peer.Kind = "configsync.push"
	kindCompare   peer.Kind = "configsync.compare"
	kindReconcile peer.Kind = "configsync.reconcile"
	kindStatus    peer.Kind = "configsync.status"
)

// message is a protobuf message of this package.
type message interface {
	proto.Message
	SizeVT() int
	UnmarshalVT(data []byte) error
}

// handle registers the message handlers at the transport.
func (r *Replica) handle() {
	serve(r, kindPush, func(from target.NodeID, request *pb.Push) message {
		return r.handlePush(string(from), request)
	})
	serve(r, kindCompare, func(_ target.NodeID, request *pb.CompareRequest) message {
		return r.handleCompare(request)
	})
	serve(r, kindReconcile, func(_ target.NodeID, request *pb.ReconcileRequest) message {
		return r.handleReconcile(request)
	})
	serve(r, kindStatus, func(_ target.NodeID, request *pb.StatusRequest) message {
		return r.handleStatus(request)
	})
}

// messagePointer constrains P to be a pointer to T that implements message.
type messagePointer[T any] interface {
	*T
	message
}

// serve registers a handler for one kind of message. It decodes the request and counts both
// messages.
func serve[T any, P messagePointer[T]](r *Replica, kind peer.Kind, handler func(target.NodeID, P) message) {
	r.options.Transport.Handle(kind, func(_ context.Context, from target.NodeID, body []byte) (proto.Message, error) {
		request := P(new(T))
		if err := request.UnmarshalVT(body); err != nil {
			return nil, errors.Wrapf(err, "decode %s", kind)
		}
		reply := handler(from, request)
		r.counters.addHandled(len(body), reply.SizeVT())
		return reply, nil
	})
}

// call sends one request, waits for the reply and counts both.
func (r *Replica) call(ctx context.Context, to Peer, kind peer.Kind, request, reply message) error {
	r.counters.addSent(request.SizeVT())
	if err := r.options.Transport.Call(ctx, to.Address, kind, request, reply); err != nil {
		return err
	}
	r.counters.addReceived(reply.SizeVT())
	return nil
}

// applyEncoded decodes a document that a peer sent, applies it and passes it on if it is new.
func (r *Replica) applyEncoded(encoded []byte, from target.NodeID, source Source) {
	published, err := template.ReadPublished(encoded)
	if err != nil {
		r.rejectMalformed(string(from), err)
		return
	}
	r.applyAndSpread(published, source)
}

// rejectMalformed counts and logs a document that can't be decoded.
func (r *Replica) rejectMalformed(sender string, err error) {
	r.counters.malformed.Add(1)
	r.logger.Warn("document refused", "sender", sender, "error", err)
}
