package configsync

import (
	"strings"
	"sync"
	"time"

	"github.com/bramblemast/bramblemast/pkg/template"
	"github.com/bramblemast/bramblemast/pkg/template/stored"
)

// Source says where a node learned a document.
type Source string

// The sources.
const (
	// SourceLocal is a change that was published through this node.
	SourceLocal Source = "local"
	SourceStore Source = "store"
	// SourcePush is a document that a peer passed on.
	SourcePush Source = "push"
	// SourceExchange is a comparison with a peer.
	SourceExchange Source = "exchange"
	// SourceBootstrap is a comparison with a peer before this node was ready.
	SourceBootstrap Source = "bootstrap"
)

// verdict is what became of a document that was offered to the table.
type offerResult int

const (
	// older means that the table holds a higher version.
	resultOlder offerResult = iota
	// same means that the table holds this version.
	resultSame
	// newer means that the document was taken.
	resultNewer
)

// entry is what the table holds of one template.
type entry struct {
	published template.Published
	// storeKey is the key of the template in the store.
	storeKey    string
	fingerprint uint64
	source      Source
	// since is when the document was taken.
	since time.Time
	// invalid is why the document can't be run here; an earlier one stays in
	// force then.
	invalid error
	// introduced, rooted and branched are whether this node has passed this
	// version on in each role; see relay.go.
	handedToRoot bool
	treeStarted  bool
	relayed      bool
	// storeBehind is set while the store holds a lower version.
	storeBehind bool
	// fork is set if another document with the same revision was seen.
	fork bool
}

// table holds the highest version of each template. Its invariant: the version
// of a key never goes down. It is safe for concurrent use.
type table struct {
	onReplace func(template.Published)
	// inForce maps template.Key to *template.Compiled, for readers without a
	// lock. It is written under mutex.
	inForce sync.Map

	// mutex guards the fields below.
	mutex   sync.Mutex
	entries map[template.Key]*entry
	byHash  map[uint64]template.Key
	shards  [stored.ShardCount]map[template.Key]*entry
	sums    shardSums
	forks   uint64
	// bytes is the size of all held documents.
	bytes int
}

func newTable(onReplace func(template.Published)) *table {
	if onReplace == nil {
		onReplace = func(template.Published) {}
	}
	created := &table{onReplace: onReplace, entries: map[template.Key]*entry{}, byHash: map[uint64]template.Key{}}
	for shard := range created.shards {
		created.shards[shard] = map[template.Key]*entry{}
	}
	return created
}

// offer takes a document if its version is higher than the one that is held.
// This is the only place at which a node's configuration changes.
func (t *table) offer(published template.Published, source Source, now time.Time) offerResult {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	key := published.Key()
	held := t.entries[key]
	if held != nil {
		t.recordForkLocked(held, published)
		order := published.Version().Compare(held.published.Version())
		if order < 0 {
			return resultOlder
		}
		if order == 0 {
			return resultSame
		}
	}
	t.replaceLocked(key, held, &entry{
		published:   published,
		storeKey:    stored.Key(key),
		fingerprint: fingerprint(published),
		source:      source,
		since:       now,
		fork:        held != nil && held.fork && held.published.Template.Revision == published.Template.Revision,
	})
	return resultNewer
}

// recordForkLocked notes two documents with the same revision. They come about
// when a store goes back and is written again; the change id decides.
func (t *table) recordForkLocked(held *entry, offered template.Published) {
	sameRevision := offered.Template.Revision == held.published.Template.Revision
	if !sameRevision || offered.Template.ChangeID == held.published.Template.ChangeID {
		return
	}
	if !held.fork {
		t.forks++
	}
	held.fork = true
}

func (t *table) replaceLocked(key template.Key, held, next *entry) {
	before := uint64(0)
	if held != nil {
		before = held.fingerprint
		t.bytes -= len(held.published.Encoded)
	}
	t.bytes += len(next.published.Encoded)
	shard := stored.ShardOf(key)
	t.sums.replace(shard, before, next.fingerprint)
	t.entries[key] = next
	t.shards[shard][key] = next
	t.byHash[keyHash(key)] = key
	t.putInForceLocked(key, next)
	t.onReplace(next.published)
}

// putInForceLocked makes a document the one that requests use. One that can't
// be run here, because it is of a newer release, leaves the earlier in force.
func (t *table) putInForceLocked(key template.Key, next *entry) {
	if next.published.Template.Deleted {
		t.inForce.Delete(key)
		return
	}
	compiled, err := template.Compile(next.published.Template)
	if err != nil {
		next.invalid = err
		return
	}
	t.inForce.Store(key, compiled)
}

// get returns the held document of a key.
func (t *table) get(key template.Key) (template.Published, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	held := t.entries[key]
	if held == nil {
		return template.Published{}, false
	}
	return held.published, true
}

// size returns the bytes of all held documents.
func (t *table) size() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.bytes
}

// all returns a copy of every entry.
func (t *table) all() []entry {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	copied := make([]entry, 0, len(t.entries))
	for _, held := range t.entries {
		copied = append(copied, *held)
	}
	return copied
}

// markHandedToRoot records that a version is handed to the zone's root. It
// returns false if that was done before, or if the zone's tree was here.
func (t *table) markHandedToRoot(published template.Published) bool {
	return t.mark(published, func(held *entry) bool {
		first := !held.handedToRoot && !held.relayed
		held.handedToRoot = true
		return first
	})
}

// markTreeStarted records that a version is passed on as the root of the zone's
// tree. It returns false if that was done before.
func (t *table) markTreeStarted(published template.Published) bool {
	return t.mark(published, func(held *entry) bool {
		first := !held.treeStarted
		held.treeStarted, held.relayed = true, true
		return first
	})
}

// markRelayed records that a version is passed on along the tree. It returns
// false if that was done before.
func (t *table) markRelayed(published template.Published) bool {
	return t.mark(published, func(held *entry) bool {
		first := !held.relayed
		held.relayed = true
		return first
	})
}

// mark runs a function on the entry of a version; false if it is not held.
func (t *table) mark(published template.Published, set func(*entry) bool) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	held := t.entries[published.Key()]
	if held == nil || held.published.Version() != published.Version() {
		return false
	}
	return set(held)
}

// storeComparison is how the held documents compare with a state of the store.
type storeComparison struct {
	// behind are the documents that the store has lost or holds in a lower
	// version.
	behind []template.Published
	// isInconclusive is set if a document that looks behind was learned only after
	// the read had begun, so that the state may be from before.
	isInconclusive bool
}

// compareWithStore compares with a state of the store below a prefix that was
// read after readStart.
func (t *table) compareWithStore(prefix string, found map[template.Key]template.Version, readStart time.Time) storeComparison {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var result storeComparison
	for key, held := range t.entries {
		if !strings.HasPrefix(held.storeKey, prefix) {
			continue
		}
		ahead := held.published.Version().Compare(found[key]) > 0
		if ahead && !held.since.Before(readStart) {
			result.isInconclusive = true
			continue
		}
		held.storeBehind = ahead
		if ahead {
			result.behind = append(result.behind, held.published)
		}
	}
	return result
}
