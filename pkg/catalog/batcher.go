package catalog

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Defaults of BatcherOptions.
const (
	// DefaultBatchWindow is short compared with the one second in which the probers of a server
	// detect a change.
	DefaultBatchWindow   = 100 * time.Millisecond
	DefaultBatchMaxBytes = 4096
)

// BatcherOptions configures a Batcher. Only Send is required.
type BatcherOptions struct {
	// Send broadcasts an encoded batch to the peers. It must not block.
	Send func(encoded []byte) error
	// Window is the maximum time for which a version change is held to be batched with others.
	Window time.Duration
	// MaxBytes is the maximum size of an encoded batch of version changes.
	MaxBytes int
	// Logger receives failures to send. Nil disables logging.
	Logger hclog.Logger
}

// Batcher sends updates to peers. It batches version changes over a short window, because a new
// index version produces one for each server, and sends all other updates immediately. It is safe
// for concurrent use.
type Batcher struct {
	options BatcherOptions
	// mutex guards waiting.
	mutex sync.Mutex
	// waiting holds the version changes to be sent, by VersionChange.Base.
	waiting map[uint64]Update
}

// NewBatcher returns a Batcher with defaults applied to options.
func NewBatcher(options BatcherOptions) *Batcher {
	setDuration(&options.Window, DefaultBatchWindow)
	if options.MaxBytes <= 0 {
		options.MaxBytes = DefaultBatchMaxBytes
	}
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	return &Batcher{options: options, waiting: make(map[uint64]Update)}
}

// Submit sends an update immediately, or holds a version change for at most Window.
func (b *Batcher) Submit(update Update) {
	if update.Change.Base == 0 {
		b.send([]Update{update})
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.waiting) == 0 {
		time.AfterFunc(b.options.Window, b.flush)
	}
	if b.waiting[update.Change.Base].Change.Revision <= update.Change.Revision {
		b.waiting[update.Change.Base] = update
	}
}

// DropReceived drops the held version changes that a peer has sent in the meantime: several nodes
// probe the same server and find the same change.
func (b *Batcher) DropReceived(batch []Update) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for index := range batch {
		change := &batch[index].Change
		if waiting, ok := b.waiting[change.Base]; ok && waiting.Change.equal(change) {
			delete(b.waiting, change.Base)
		}
	}
}

// flush sends all held version changes.
func (b *Batcher) flush() {
	b.mutex.Lock()
	batch := make([]Update, 0, len(b.waiting))
	for _, update := range b.waiting {
		batch = append(batch, update)
	}
	clear(b.waiting)
	b.mutex.Unlock()
	if len(batch) == 0 {
		return
	}
	slices.SortFunc(batch, func(first, second Update) int {
		return cmp.Or(
			slices.Compare(first.Change.Versions, second.Change.Versions),
			cmp.Compare(first.Server, second.Server),
		)
	})
	b.send(batch)
}

// send sends a batch and splits it if its encoding exceeds MaxBytes.
func (b *Batcher) send(batch []Update) {
	encoded, err := EncodeUpdates(batch)
	if err == nil && len(encoded) > b.options.MaxBytes && len(batch) > 1 {
		half := len(batch) / 2
		b.send(batch[:half])
		b.send(batch[half:])
		return
	}
	if err == nil {
		err = b.options.Send(encoded)
	}
	if err != nil {
		b.options.Logger.Error("server updates not sent to peers", "server", string(batch[0].Server),
			"news", len(batch), "error", err)
	}
}
