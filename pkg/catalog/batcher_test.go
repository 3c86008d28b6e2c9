package catalog

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// sentBatches collects the batches that batchers send.
type sentBatches struct {
	// mutex guards the fields below.
	mutex    sync.Mutex
	messages int
	bytes    int
	largest  int
	updates  []Update
}

func (s *sentBatches) send(encoded []byte) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	batch, err := DecodeUpdates(encoded)
	s.messages++
	s.bytes += len(encoded)
	s.largest = max(s.largest, len(encoded))
	s.updates = append(s.updates, batch...)
	return err
}

// TestNewVersionOverAZone guards against excessive traffic when a new index version reaches a zone
// of 318 nodes and 5,300 servers, since every server produces an update. The servers adopt the
// version within a second, or so slowly that no two of them share a message.
func TestNewVersionOverAZone(t *testing.T) {
	for _, period := range []time.Duration{time.Second, time.Hour} {
		t.Run(period.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testNewVersion(t, period) })
		})
	}
}

func testNewVersion(t *testing.T, period time.Duration) {
	const nodes, servers = 318, 5300
	sent := &sentBatches{}
	batchers := make([]*Batcher, nodes)
	for number := range batchers {
		batchers[number] = NewBatcher(BatcherOptions{Send: sent.send})
	}
	reportNewVersion, receiver := newVersionCatalogs(servers, func(number int, update Update) {
		batchers[number%nodes].Submit(update)
	})
	for number := range servers {
		time.Sleep(period / servers)
		reportNewVersion(number)
	}
	time.Sleep(DefaultBatchWindow)
	synctest.Wait()
	if len(sent.updates) != servers {
		t.Fatalf("%d updates were sent for %d servers", len(sent.updates), servers)
	}
	t.Logf("%d B in %d messages, %.1f B per server, largest message %d B",
		sent.bytes, sent.messages, float64(sent.bytes)/servers, sent.largest)
	const bound = 30 * servers
	if sent.bytes > bound {
		t.Errorf("%d bytes were sent, want at most %d", sent.bytes, bound)
	}
	receiver.Apply(sent.updates...)
	for _, server := range receiver.View(testService).Servers {
		if len(server.Indexes) != 2 || server.Indexes[1].Version != 2 || len(server.Indexes[1].Shards) != 1 {
			t.Fatalf("got %+v", server)
		}
	}
}

// newVersionCatalogs returns a function that makes a catalog observe the second version of a server
// and passes the update to onUpdate, and another catalog that knows only the first versions.
func newVersionCatalogs(servers int, onUpdate func(number int, update Update)) (func(number int), *Catalog) {
	receiver := New(Options{Node: "listener", Zone: "zone"})
	receiver.ReplaceMachines(listOf(servers))
	deliver := func(update Update) { receiver.Apply(update) }
	observer := New(Options{Node: "observer", Zone: "zone", OnUpdate: func(update Update) { deliver(update) }})
	observer.ReplaceMachines(listOf(servers))
	for number := range servers {
		observer.ReportProbe(serverID(number), time.Now(), statusOf(number, "5f0c7a52", false, 1), nil)
	}
	return func(number int) {
		deliver = func(update Update) { onUpdate(number, update) }
		status := statusOf(number, "5f0c7a52", false, 1)
		status.Indexes = append(status.Indexes, backend.Index{Version: 2, Shards: status.Indexes[0].Shards})
		observer.ReportProbe(serverID(number), time.Now(), status, nil)
	}, receiver
}

// TestBatcherSendsOnce guards against duplicate broadcasts: a peer sends the same version change
// while it is held. It also checks that other updates are not held and that large batches are
// split.
func TestBatcherSendsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent := &sentBatches{}
		batcher := NewBatcher(BatcherOptions{Send: sent.send, MaxBytes: 200})
		change := func(base uint64, version target.Version) Update {
			return Update{Kind: KindContents, Change: VersionChange{Base: base, Revision: 2, Versions: []target.Version{version}}}
		}
		batcher.Submit(change(1, 2))
		batcher.Submit(change(2, 2))
		batcher.Submit(Update{Server: serverID(0), Operator: OperatorMark{Sequence: 1}})
		if len(sent.updates) != 1 {
			t.Fatalf("%d updates were sent immediately, want 1", len(sent.updates))
		}
		batcher.DropReceived([]Update{change(1, 2), change(2, 3)})
		time.Sleep(2 * DefaultBatchWindow)
		synctest.Wait()
		if len(sent.updates) != 2 || sent.updates[1].Change.Base != 2 {
			t.Fatalf("sent %+v", sent.updates)
		}
		const many = 100
		for base := range many {
			batcher.Submit(change(uint64(base+1), 3))
		}
		time.Sleep(2 * DefaultBatchWindow)
		synctest.Wait()
		if len(sent.updates) != 2+many || sent.largest > 200 {
			t.Fatalf("%d updates were sent, largest message %d B", len(sent.updates), sent.largest)
		}
	})
}
