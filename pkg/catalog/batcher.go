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
	// DefaultBatchWindow is short against the second in which the probers of a
	// server find a change.
	DefaultBatchWindow   = 100 * time.Millisecond
	DefaultBatchMaxBytes = 4096
)

// BatcherOptions sets up a Batcher. Only Send is required.
type BatcherOptions struct {
	// Send passes an encoded batch on to the peers. It must not block.
	Send func(encoded []byte) error
	// Window is how long a change of versions waits for others.
	Window time.Duration
	// MaxBytes bounds an encoded batch of changes of versions.
	MaxBytes int
	// Logger is nil for none.
	Logger hclog.Logger
}

// Batcher sends news to peers: changes of versions together with others of the
// same short time, since a new index version makes one for each server, and all
// other news at once. It is safe for concurrent use.
type Batcher struct {
	options BatcherOptions
	// mutex guards waiting.
	mutex sync.Mutex
	// waiting are the changes to be sent, by VersionChange.Base.
	waiting map[uint64]Update
}

// NewBatcher returns a batcher.
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

// Submit sends updates, or keeps it for at most the window.
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

// DropReceived drops the changes that a peer has told meanwhile: several nodes probe
// the same server.
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

// flush sends all changes that wait.
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

// send passes a batch on, in parts if it is too large.
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
		b.options.Logger.Error("news of back ends was not sent", "server", string(batch[0].Server),
			"news", len(batch), "error", err)
	}
}
