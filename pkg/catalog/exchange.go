package catalog

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bramblemast/bramblemast/pkg/catalog/catalogpb"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// The kinds of peer messages of an Exchange.
const (
	kindSync    peer.Kind = "catalog.sync"
	kindForward peer.Kind = "catalog.forward"
)

// Defaults of ExchangeOptions.
const (
	DefaultSyncInterval       = 10 * time.Second
	DefaultRemoteSyncInterval = 30 * time.Second
	DefaultExchangeTimeout    = 2 * time.Second
)

// maxSyncRounds bounds the calls of one Pull. It suffices for the contents of 90,000 servers.
const maxSyncRounds = 200

// ExchangeOptions configures an Exchange. Catalog, Transport and Peers are required.
type ExchangeOptions struct {
	Catalog   *Catalog
	Transport peer.Transport
	// Peers returns the live nodes of this node's zone, without this node.
	Peers func() []peer.Address
	// Remote returns a few live nodes of each other zone, which receive the operators' marks. Nil
	// means none.
	Remote func() []peer.Address
	// OnForwarded receives the updates from another zone that changed the catalog, to be broadcast
	// in this zone. It must not block.
	OnForwarded func(update Update)
	// Interval is the mean time between two exchanges with a peer of the zone, and RemoteInterval
	// with a remote one.
	Interval       time.Duration
	RemoteInterval time.Duration
	// Timeout bounds a call to a peer.
	Timeout time.Duration
	Random  *rand.Rand
	Logger  hclog.Logger
}

func (o ExchangeOptions) withDefaults() ExchangeOptions {
	setDuration(&o.Interval, DefaultSyncInterval)
	setDuration(&o.RemoteInterval, DefaultRemoteSyncInterval)
	setDuration(&o.Timeout, DefaultExchangeTimeout)
	if o.Remote == nil {
		o.Remote = func() []peer.Address { return nil }
	}
	if o.OnForwarded == nil {
		o.OnForwarded = func(Update) {}
	}
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	return o
}

// Exchange is the anti-entropy protocol of the catalog. At intervals it compares digests with one
// random peer of the zone and fetches the differences, so that a node that starts, was disconnected
// or lost a message converges to what the others know. Only the operators' marks are exchanged with
// other zones; what servers report about themselves is found by each zone's own probes.
type Exchange struct {
	options ExchangeOptions
	// running tracks the calls of Forward.
	running sync.WaitGroup
	// mutex guards options.Random.
	mutex sync.Mutex
}

// NewExchange returns an Exchange and registers its handlers with the transport. It must be called
// before the transport serves.
func NewExchange(options ExchangeOptions) *Exchange {
	e := &Exchange{options: options.withDefaults()}
	e.options.Transport.Handle(kindSync, e.handleSync)
	e.options.Transport.Handle(kindForward, e.handleForward)
	return e
}

// Run exchanges digests at intervals until ctx ends, waits for calls of Forward, and returns the
// error of ctx.
func (e *Exchange) Run(ctx context.Context) error {
	defer e.running.Wait()
	zoneTimer := time.NewTimer(e.jitter(e.options.Interval))
	defer zoneTimer.Stop()
	remoteTimer := time.NewTimer(e.jitter(e.options.RemoteInterval))
	defer remoteTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-zoneTimer.C:
			e.pullFromOne(ctx, e.options.Peers(), false)
			zoneTimer.Reset(e.jitter(e.options.Interval))
		case <-remoteTimer.C:
			e.pullFromOne(ctx, e.options.Remote(), true)
			remoteTimer.Reset(e.jitter(e.options.RemoteInterval))
		}
	}
}

func (e *Exchange) jitter(interval time.Duration) time.Duration {
	const share = 0.2
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return time.Duration(float64(interval) * (1 + share*(2*e.options.Random.Float64()-1)))
}

// randomBelow returns a random number in [0, bound).
func (e *Exchange) randomBelow(bound int) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.options.Random.IntN(bound)
}

func (e *Exchange) pullFromOne(ctx context.Context, peers []peer.Address, operatorOnly bool) {
	if len(peers) == 0 {
		return
	}
	address := peers[e.randomBelow(len(peers))]
	if err := e.pull(ctx, address, operatorOnly); err != nil && ctx.Err() == nil {
		e.options.Logger.Debug("catalog exchange with peer failed", "peer", string(address), "error", err)
	}
}

// Pull fetches all updates that the node at address has and this node lacks. A node calls it before
// it serves. It returns the first error of a call or of decoding.
func (e *Exchange) Pull(ctx context.Context, address peer.Address) error {
	return e.pull(ctx, address, false)
}

func (e *Exchange) pull(ctx context.Context, address peer.Address, operatorOnly bool) error {
	for range maxSyncRounds {
		more, err := e.pullOnce(ctx, address, operatorOnly)
		if err != nil || !more {
			return err
		}
	}
	return nil
}

// pullOnce makes one call and reports whether there is more to fetch.
func (e *Exchange) pullOnce(ctx context.Context, address peer.Address, operatorOnly bool) (bool, error) {
	sums := e.options.Catalog.digests(operatorOnly)
	request := &catalogpb.SyncRequest{
		Digests:      sums[:],
		First:        uint32(e.randomBelow(digestBuckets)),
		OperatorOnly: operatorOnly,
	}
	bounded, cancel := context.WithTimeout(ctx, e.options.Timeout)
	defer cancel()
	var reply catalogpb.SyncReply
	if err := e.options.Transport.Call(bounded, address, kindSync, request, &reply); err != nil {
		return false, err
	}
	applied, err := e.apply(reply.News)
	if err != nil {
		return false, err
	}
	if operatorOnly {
		e.forwardToZone(applied)
	}
	return reply.More && len(applied) > 0, nil
}

func (e *Exchange) apply(messages []*catalogpb.News) ([]Update, error) {
	batch := make([]Update, 0, len(messages))
	for _, message := range messages {
		update, err := FromProto(message)
		if err != nil {
			return nil, errors.Wrap(err, "news from peer")
		}
		batch = append(batch, update)
	}
	return e.options.Catalog.Apply(batch...), nil
}

func (e *Exchange) forwardToZone(applied []Update) {
	for _, update := range applied {
		e.options.OnForwarded(update)
	}
}

// Forward sends an operator's mark to the other zones immediately. Other updates are ignored. The
// next anti-entropy exchange makes up for a call that fails.
func (e *Exchange) Forward(ctx context.Context, update Update) {
	if update.Operator.Sequence == 0 || update.Kind != KindOperator {
		return
	}
	batch := &catalogpb.NewsBatch{News: []*catalogpb.News{ToProto(&update)}}
	for _, address := range e.options.Remote() {
		e.running.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, e.options.Timeout)
			defer cancel()
			var reply catalogpb.Received
			if err := e.options.Transport.Call(bounded, address, kindForward, batch, &reply); err != nil {
				e.options.Logger.Warn("operator's mark not forwarded to peer", "peer", string(address), "error", err)
			}
		})
	}
}

func (e *Exchange) handleSync(_ context.Context, _ target.NodeID, body []byte) (proto.Message, error) {
	var request catalogpb.SyncRequest
	if err := request.UnmarshalVT(body); err != nil {
		return nil, errors.Wrap(err, "decode sync request")
	}
	if len(request.Digests) != digestBuckets || request.First >= digestBuckets {
		return nil, errors.Errorf("sync request has %d digests from %d", len(request.Digests), request.First)
	}
	return e.options.Catalog.answerSync(request.Digests, int(request.First), request.OperatorOnly), nil
}

func (e *Exchange) handleForward(_ context.Context, _ target.NodeID, body []byte) (proto.Message, error) {
	var batch catalogpb.NewsBatch
	if err := batch.UnmarshalVT(body); err != nil {
		return nil, errors.Wrap(err, "decode news")
	}
	applied, err := e.apply(batch.News)
	if err != nil {
		return nil, err
	}
	e.forwardToZone(applied)
	return &catalogpb.Received{}, nil
}
