package configsync

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	pb "github.com/bramblemast/bramblemast/pkg/configsync/configsyncpb"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// TemplateStatus describes the document that a node holds for one template.
type TemplateStatus struct {
	Key     template.Key
	Version template.Version
	Deleted bool
	// InForce is false for a tombstone, and for a document that this node can't compile. In the
	// latter case Invalid holds the error, and an earlier document stays in force if there was one.
	InForce bool
	Invalid string
	Source  Source
	// Since is the time at which this node accepted the document.
	Since time.Time
	// Lag is the time from the creation of the change to Since, subject to the clock difference
	// between the two nodes; zero if the change id carries no time.
	Lag time.Duration
	// StoreBehind is set while the store has lost the document or holds an older version.
	StoreBehind bool
	// Fork is set if another change with the same revision was received.
	Fork bool
}

// StoreStatus describes the store as this node sees it.
type StoreStatus struct {
	// WatchedPrefixes are the prefixes that this node watches; most nodes watch none.
	WatchedPrefixes []string
	// Index and ReadAt are the store index and the time of the last successful read; zero if there
	// was none.
	Index  uint64
	ReadAt time.Time
	// LastError is the error of the last call; empty if it succeeded.
	LastError string
	// Behind counts the templates that the store has lost or holds in an older version.
	Behind int
}

// Status is the state of a replica.
type Status struct {
	Ready bool
	// Summary is a hash over all documents; it is equal at nodes that hold the same versions.
	Summary   uint64
	Templates []TemplateStatus
	Store     StoreStatus
}

// Status returns the state of the replica, with the templates sorted by key.
func (r *Replica) Status() Status {
	status := Status{Ready: r.Ready(), Summary: r.table.summary(), Store: r.storeStatus()}
	for _, held := range r.table.all() {
		status.Templates = append(status.Templates, held.status())
		if held.storeBehind {
			status.Store.Behind++
		}
	}
	slices.SortFunc(status.Templates, func(one, other TemplateStatus) int {
		return strings.Compare(one.Key.String(), other.Key.String())
	})
	return status
}

func (e entry) status() TemplateStatus {
	status := TemplateStatus{
		Key: e.published.Key(), Version: e.published.Version(), Deleted: e.published.Template.Deleted,
		InForce: !e.published.Template.Deleted && e.invalid == nil,
		Source:  e.source, Since: e.since, Lag: lag(e.published.Template.ChangeID, e.since),
		StoreBehind: e.storeBehind, Fork: e.fork,
	}
	if e.invalid != nil {
		status.Invalid = e.invalid.Error()
	}
	return status
}

// lag returns the age of a change at the given time. Change ids are UUIDs of version 7, which carry
// their creation time; the lag of any other change id is zero.
func lag(changeID string, at time.Time) time.Duration {
	const timeOrdered = 7
	id, err := uuid.Parse(changeID)
	if err != nil || id.Version() != timeOrdered {
		return 0
	}
	return at.Sub(time.Unix(id.Time().UnixTime()))
}

func (r *Replica) storeStatus() StoreStatus {
	status := StoreStatus{WatchedPrefixes: r.watches.watched(), Index: r.counters.storeIndex.Load()}
	if readAt := r.counters.storeReadAt.Load(); readAt != 0 {
		status.ReadAt = time.Unix(0, readAt)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.storeError != nil {
		status.LastError = r.storeError.Error()
	}
	return status
}

// recordStoreCall records the result of one call to the store.
func (r *Replica) recordStoreCall(index uint64, err error) {
	r.counters.storeCalls.Add(1)
	if err != nil {
		r.counters.storeErrors.Add(1)
	} else {
		r.counters.storeIndex.Store(index)
		r.counters.storeReadAt.Store(time.Now().UnixNano())
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.storeError = err
}

// Report is the answer of one node about a template.
type Report struct {
	Node   target.NodeID
	Zone   target.Zone
	Region target.Region
	// Err is set if the node did not answer; the fields below are empty then.
	Err   error
	Ready bool
	// Version is zero if the node does not hold the template.
	Version template.Version
	Deleted bool
	InForce bool
	// Summary is a hash over all documents of the node.
	Summary uint64
	// Templates counts the documents of the node, tombstones included.
	Templates int
}

// maxConcurrentSurveyCalls bounds the concurrent calls of one survey.
const maxConcurrentSurveyCalls = 32

// Survey queries every peer that this node considers alive, and this node itself, for its version of
// a template. The reports are sorted by zone and node.
func (r *Replica) Survey(ctx context.Context, key template.Key) []Report {
	peers := append(r.alivePeers(), r.options.Self)
	reports := make([]Report, len(peers))
	var group errgroup.Group
	group.SetLimit(maxConcurrentSurveyCalls)
	for index, node := range peers {
		group.Go(func() error {
			reports[index] = r.fetchReport(ctx, node, key)
			return nil
		})
	}
	_ = group.Wait() // errors are in the reports
	slices.SortFunc(reports, func(one, other Report) int {
		return cmp.Or(cmp.Compare(one.Zone, other.Zone), cmp.Compare(one.Node, other.Node))
	})
	return reports
}

func (r *Replica) fetchReport(ctx context.Context, node Peer, key template.Key) Report {
	report := Report{Node: node.ID, Zone: node.Zone, Region: node.Region}
	request, reply := &pb.StatusRequest{Tenant: key.Tenant, Name: key.Name}, &pb.StatusReply{}
	if node.ID == r.options.Self.ID {
		reply = r.handleStatus(request)
	} else {
		ctx, cancel := context.WithTimeout(ctx, r.options.CallTimeout)
		defer cancel()
		report.Err = r.call(ctx, node, kindStatus, request, reply)
	}
	report.Ready, report.Summary, report.Templates = reply.Ready, reply.Summary, int(reply.Templates)
	report.Version = template.Version{Revision: reply.Revision, ChangeID: reply.ChangeId}
	report.Deleted, report.InForce = reply.Deleted, reply.InForce
	return report
}

// handleStatus answers a survey with this node's state.
func (r *Replica) handleStatus(request *pb.StatusRequest) *pb.StatusReply {
	key := template.Key{Tenant: request.Tenant, Name: request.Name}
	r.table.mutex.Lock()
	defer r.table.mutex.Unlock()
	reply := &pb.StatusReply{
		Ready: r.Ready(), Summary: r.table.sums.summary(), Templates: uint32(len(r.table.entries)),
	}
	if held := r.table.entries[key]; held != nil {
		status := held.status()
		reply.Revision, reply.ChangeId = status.Version.Revision, status.Version.ChangeID
		reply.Deleted, reply.InForce = status.Deleted, status.InForce
	}
	return reply
}

func sortCompiled(all []*template.Compiled) {
	slices.SortFunc(all, func(one, other *template.Compiled) int {
		return strings.Compare(one.Template.Key().String(), other.Template.Key().String())
	})
}
