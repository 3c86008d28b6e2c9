package configsync

import (
	"strings"
	"sync"
	"time"

	"github.com/bramblemast/bramblemast/pkg/template"
	"github.com/bramblemast/bramblemast/pkg/template/stored"
)

// Source says how a node obtained a document.
type Source string

// The sources.
const (
	// SourceLocal is a change that was published through this node.
	SourceLocal Source = "local"
	SourceStore Source = "store"
	// SourcePush is a document that a peer passed on along a tree.
	SourcePush Source = "push"
	// SourceExchange is a comparison with a peer.
	SourceExchange Source = "exchange"
	// SourceBootstrap is a comparison with a peer, or a read of the store, before this node was
	// ready.
	SourceBootstrap Source = "bootstrap"
)

// offerResult is the outcome of offering a document to the table.
type offerResult int

const (
	// resultOlder means that the table holds a higher version.
	resultOlder offerResult = iota
	// resultSame means that the table holds this version.
	resultSame
	// resultNewer means that the document was accepted.
	resultNewer
)

// entry is the state that the table holds for one template.
type entry struct {
	published template.Published
	// storeKey is the key of the template in the store.
	storeKey    string
	fingerprint uint64
	source      Source
	// since is the time at which the document was accepted.
	since time.Time
	// invalid is the error if the document can't be compiled here; an earlier one then stays in
	// force.
	invalid error
	// handedToRoot, treeStarted and relayed record whether this node has passed this version on in
	// each role; see relay.go. A started tree counts as relayed too.
	handedToRoot bool
	treeStarted  bool
	relayed      bool
	// storeBehind is set while the store has lost this document or holds a lower version.
	storeBehind bool
	// fork is set if another document with the same revision was offered.
	fork bool
}

// table holds the highest version of each template. Its invariant: the version of a key never
// decreases. It is safe for concurrent use.
type table struct {
	onAccept func(template.Published)
	// inForce maps template.Key to *template.Compiled, for readers without a lock. It is written
	// under mutex.
	inForce sync.Map

	// mutex guards the fields below.
	mutex   sync.Mutex
	entries map[template.Key]*entry
	byHash  map[uint64]template.Key
	shards  [stored.ShardCount]map[template.Key]*entry
	sums    shardSums
	forks   uint64
	// bytes is the total encoded size of all held documents.
	bytes int
}

func newTable(onAccept func(template.Published)) *table {
	if onAccept == nil {
		onAccept = func(template.Published) {}
	}
	created := &table{onAccept: onAccept, entries: map[template.Key]*entry{}, byHash: map[uint64]template.Key{}}
	for shard := range created.shards {
		created.shards[shard] = map[template.Key]*entry{}
	}
	return created
}

// offer accepts a document if its version is higher than the held one. This is the only place where
// a node's configuration changes.
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

// recordForkLocked records that another document with the same revision was offered. Such forks
// arise when the store is rolled back and then written again. The change id decides which one is
// kept.
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
	t.onAccept(next.published)
}

// putInForceLocked makes a document the one that requests use. If it can't be compiled here, because
// it was written for a newer release, the earlier document stays in force.
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

// size returns the total encoded size of all held documents, in bytes.
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

// markHandedToRoot records that a version is handed to the zone's root. It returns false if that was
// done before, if the version already reached this node along the zone's tree, or if the version is
// no longer held.
func (t *table) markHandedToRoot(published template.Published) bool {
	return t.mark(published, func(held *entry) bool {
		first := !held.handedToRoot && !held.relayed
		held.handedToRoot = true
		return first
	})
}

// markTreeStarted records that this node, as the root, starts the zone's tree for a version. It
// returns false if that was done before or the version is no longer held.
func (t *table) markTreeStarted(published template.Published) bool {
	return t.mark(published, func(held *entry) bool {
		first := !held.treeStarted
		held.treeStarted, held.relayed = true, true
		return first
	})
}

// markRelayed records that a version is passed on along the tree. It returns false if that was done
// before or the version is no longer held.
func (t *table) markRelayed(published template.Published) bool {
	return t.mark(published, func(held *entry) bool {
		first := !held.relayed
		held.relayed = true
		return first
	})
}

// mark returns the result of set on the entry of a version, or false if the version is not held.
func (t *table) mark(published template.Published, set func(*entry) bool) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	held := t.entries[published.Key()]
	if held == nil || held.published.Version() != published.Version() {
		return false
	}
	return set(held)
}

// storeComparison is the result of comparing the held documents with a state of the store.
type storeComparison struct {
	// behind are the documents that the store has lost or holds in a lower version.
	behind []template.Published
	// isInconclusive is set if a document that the store seems to have lost, or to hold in a lower
	// version, was accepted only after the read had started, so that the state read may predate it.
	isInconclusive bool
}

// compareWithStore compares the held documents below a prefix with the versions found in the store
// by a read that started at readStart. It updates storeBehind of each document for which the
// comparison is conclusive.
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
