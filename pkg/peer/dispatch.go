package peer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/peer/peerpb"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// stepHandle is the step of errors that a peer's handler gave.
const stepHandle = "handle peer request"

// busyRetryAfter is when to ask a node again whose handlers are all busy.
const busyRetryAfter = 200 * time.Millisecond

// dispatcher finds and runs the handlers of a transport.
type dispatcher struct {
	node target.NodeID
	// slots bounds the handlers that run at once.
	slots chan struct{}
	mutex sync.RWMutex
	// handlers and streams are guarded by mutex.
	handlers map[Kind]Handler
	streams  map[Kind]StreamHandler
}

func newDispatcher(node target.NodeID, maxHandlers int) *dispatcher {
	return &dispatcher{
		node:     node,
		slots:    make(chan struct{}, maxHandlers),
		handlers: make(map[Kind]Handler),
		streams:  make(map[Kind]StreamHandler),
	}
}

// Handle registers the handler of a kind; a later one replaces an earlier one.
func (d *dispatcher) Handle(kind Kind, handler Handler) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.handlers[kind] = handler
}

// HandleStream registers the stream handler of a kind; a later one replaces an
// earlier one.
func (d *dispatcher) HandleStream(kind Kind, handler StreamHandler) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.streams[kind] = handler
}

// stream returns the stream handler of a kind, or nil.
func (d *dispatcher) stream(kind Kind) StreamHandler {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	return d.streams[kind]
}

// tryAcquire takes a handler slot; false if all are taken.
func (d *dispatcher) tryAcquire() bool {
	select {
	case d.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// release gives a handler slot back.
func (d *dispatcher) release() { <-d.slots }

// serve runs the handler of a request and returns the reply, the last one if
// there are several; open carries those before it.
func (d *dispatcher) serve(ctx context.Context, request *peerpb.Frame, open *handling) *peerpb.Frame {
	if handler := d.stream(Kind(request.Kind)); handler != nil {
		return d.serveStream(ctx, request, handler, open)
	}
	d.mutex.RLock()
	handler := d.handlers[Kind(request.Kind)]
	d.mutex.RUnlock()
	if handler == nil {
		return d.refuse(request, outcome.ReasonInvalid, errors.Errorf("no handler for %q", request.Kind), 0)
	}
	ctx, cancel := limit(ctx, request)
	defer cancel()
	message, err := handler(ctx, target.NodeID(request.From), request.Body)
	if err != nil {
		return d.fail(request, err)
	}
	body, err := marshal(message)
	if err != nil {
		return d.fail(request, errors.Wrap(err, "encode reply"))
	}
	return &peerpb.Frame{Id: request.Id, Reply: true, From: string(d.node), Body: body}
}

// serveStream runs the stream handler of a request and returns the last reply.
func (d *dispatcher) serveStream(ctx context.Context, request *peerpb.Frame, handler StreamHandler, open *handling) *peerpb.Frame {
	ctx, cancel := limit(ctx, request)
	defer cancel()
	open.id, open.node = request.Id, d.node
	if err := handler(ctx, target.NodeID(request.From), request.Body, open); err != nil {
		return d.fail(request, err)
	}
	return &peerpb.Frame{Id: request.Id, Reply: true, From: string(d.node)}
}

// handling is a request whose handler runs. It implements Exchange.
type handling struct {
	id   uint64
	node target.NodeID
	// write sends one reply.
	write func(*peerpb.Frame) error
	// cancel ends the context of the handler.
	cancel context.CancelFunc

	mutex sync.Mutex
	// receive is guarded by mutex.
	receive func(body []byte)
}

// Send implements Exchange.
func (h *handling) Send(message proto.Message) error {
	body, err := marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode reply")
	}
	return h.write(&peerpb.Frame{Id: h.id, Reply: true, More: true, From: string(h.node), Body: body})
}

// Listen implements Exchange.
func (h *handling) Listen(receive func(body []byte)) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.receive = receive
}

// take hands on a message that follows the request.
func (h *handling) take(body []byte) {
	h.mutex.Lock()
	receive := h.receive
	h.mutex.Unlock()
	if receive != nil {
		receive(body)
	}
}

// limit bounds a handler by the time for which its request is awaited.
func limit(ctx context.Context, request *peerpb.Frame) (context.Context, context.CancelFunc) {
	if request.TimeoutMs == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(request.TimeoutMs)*time.Millisecond)
}

// busy refuses a request because every handler slot is taken.
func (d *dispatcher) busy(request *peerpb.Frame) *peerpb.Frame {
	return d.refuse(request, outcome.ReasonOverloaded, errors.New("all handlers are busy"), busyRetryAfter)
}

// refuse returns the reply to a request that certainly did not run.
func (d *dispatcher) refuse(request *peerpb.Frame, reason outcome.Reason, cause error, retryAfter time.Duration) *peerpb.Frame {
	return &peerpb.Frame{
		Id:           request.Id,
		Reply:        true,
		From:         string(d.node),
		Error:        cause.Error(),
		Refused:      true,
		Reason:       string(reason),
		RetryAfterMs: uint64(retryAfter.Milliseconds()),
	}
}

// fail returns the reply to a request whose handler gave an error.
func (d *dispatcher) fail(request *peerpb.Frame, cause error) *peerpb.Frame {
	reply := &peerpb.Frame{
		Id:      request.Id,
		Reply:   true,
		From:    string(d.node),
		Error:   cause.Error(),
		Refused: outcome.Of(cause) == outcome.NotRun,
		Reason:  string(outcome.ReasonOf(cause)),
	}
	var typed *outcome.Error
	if errors.As(cause, &typed) {
		reply.RetryAfterMs = uint64(typed.RetryAfter.Milliseconds())
	}
	return reply
}

// resultOf decodes a reply into message, or returns the error that it carries.
func resultOf(reply *peerpb.Frame, address Address, decode func(body []byte) error) error {
	if reply.Error != "" {
		return remoteError(reply, address)
	}
	if err := decode(reply.Body); err != nil {
		return &outcome.Error{
			Step:   "decode reply",
			Peer:   string(address),
			Reason: outcome.ReasonCorruptResponse,
			Cause:  err,
		}
	}
	return nil
}

// remoteError returns the error that a peer's handler gave.
func remoteError(reply *peerpb.Frame, address Address) error {
	known := outcome.Unknown
	if reply.Refused {
		known = outcome.NotRun
	}
	return &outcome.Error{
		Step:       stepHandle,
		Peer:       string(address),
		Outcome:    known,
		Reason:     outcome.Reason(reply.Reason),
		RetryAfter: time.Duration(reply.RetryAfterMs) * time.Millisecond,
		Cause:      errors.New(reply.Error),
	}
}

// IsRemote reports whether err was given by the peer's handler, which shows
// that the peer is alive and was reached.
func IsRemote(err error) bool {
	var typed *outcome.Error
	return errors.As(err, &typed) && typed.Step == stepHandle
}

// timeoutOf returns the time that is left in ctx in milliseconds, at least 1;
// zero if there is no deadline.
func timeoutOf(ctx context.Context) uint64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return timeoutMillis(time.Until(deadline))
}

// timeoutMillis is a timeout as frames carry it: at least 1, since zero means none.
func timeoutMillis(timeout time.Duration) uint64 { return uint64(max(timeout.Milliseconds(), 1)) }

// contextError returns the error of a call whose context ended.
func contextError(ctx context.Context, step string, address Address, known outcome.Outcome) error {
	reason := outcome.ReasonDeadline
	if errors.Is(ctx.Err(), context.Canceled) {
		reason = outcome.ReasonCancelled
	}
	return &outcome.Error{Step: step, Peer: string(address), Outcome: known, Reason: reason, Cause: ctx.Err()}
}
