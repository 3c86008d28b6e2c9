package catalog

import (
	"bytes"
	"slices"
	"time"
)

// maxInstances is the number of instances that are kept for each server. Older ones matter only for
// updates that are still in transit.
const maxInstances = 4

// facts is all that nodes exchange about one server. It is a join semilattice: merge is
// commutative, associative and idempotent as long as the updates in circulation concern at most
// maxInstances instances.
type facts struct {
	instances []*instanceFacts
	operator  OperatorMark
}

// instanceFacts is an Instance with data that is local to this node.
type instanceFacts struct {
	Instance
	// startedAt is the start time of the process by this node's clock; zero if unknown.
	startedAt time.Time
	// base is VersionChange.Base for the contents baseOf.
	base   uint64
	baseOf *Contents
}

// current returns the instance with the highest generation, or nil. An instance without a
// generation is known only by mention, for example from a drain hint, and is never current.
func (f *facts) current() *instanceFacts {
	var found *instanceFacts
	for _, candidate := range f.instances {
		if candidate.Generation > 0 && (found == nil || candidate.newerThan(found)) {
			found = candidate
		}
	}
	return found
}

// newerThan orders instances by generation. Equal generations are ordered by ID so that all nodes
// agree.
func (i *instanceFacts) newerThan(other *instanceFacts) bool {
	if i.Generation != other.Generation {
		return i.Generation > other.Generation
	}
	return i.ID > other.ID
}

// nextGeneration returns a generation higher than all known ones.
func (f *facts) nextGeneration() uint64 {
	var highest uint64
	for _, instance := range f.instances {
		highest = max(highest, instance.Generation)
	}
	return highest + 1
}

// instance returns the facts of an instance and adds an entry if there is none.
func (f *facts) instance(id string) *instanceFacts {
	for _, known := range f.instances {
		if known.ID == id {
			return known
		}
	}
	added := &instanceFacts{Instance: Instance{ID: id}}
	f.instances = append(f.instances, added)
	return added
}

// prune drops the oldest instances beyond maxInstances.
func (f *facts) prune() {
	if len(f.instances) <= maxInstances {
		return
	}
	slices.SortFunc(f.instances, func(a, b *instanceFacts) int {
		if a.newerThan(b) {
			return -1
		}
		return 1
	})
	f.instances = f.instances[:maxInstances]
}

// merge merges an update into the facts and reports whether it changed them.
func (f *facts) merge(update *Update, now time.Time) bool {
	changed := false
	if update.Operator.supersedes(f.operator) {
		f.operator = update.Operator
		changed = true
	}
	if update.Instance.ID == "" {
		return changed
	}
	known := f.instance(update.Instance.ID)
	instanceChanged := known.merge(&update.Instance, now)
	f.prune()
	// An instance that is pruned immediately does not count as a change; otherwise the update would
	// be forwarded repeatedly.
	return changed || instanceChanged && slices.Contains(f.instances, known)
}

// merge merges another state of the same instance field by field and reports whether anything
// changed.
func (i *instanceFacts) merge(update *Instance, now time.Time) bool {
	changed := false
	if update.Generation > i.Generation {
		i.Generation = update.Generation
		changed = true
	}
	if update.Draining && !i.Draining {
		i.Draining = true
		changed = true
	}
	if update.Liveness > i.Liveness {
		i.Liveness = update.Liveness
		changed = true
	}
	if update.Contents != nil && i.contentsSupersededBy(update) {
		i.Revision = update.Revision
		i.Contents = update.Contents
		i.startedAt = now.Add(-update.Contents.Uptime)
		changed = true
	}
	return changed
}

// contentsSupersededBy reports whether the contents of update replace those of i. Two observers can
// assign the same revision to different contents; all nodes then keep the same one, and the next
// probe assigns a higher revision.
func (i *instanceFacts) contentsSupersededBy(update *Instance) bool {
	if update.Revision != i.Revision {
		return update.Revision > i.Revision
	}
	if i.Contents.equal(update.Contents) {
		return false
	}
	return bytes.Compare(contentsKey(update.Contents), contentsKey(i.Contents)) > 0
}

// dead reports whether the probers consider the process dead (odd Liveness).
func (i *instanceFacts) dead() bool { return i.Liveness%2 == 1 }

// withoutContents returns a copy without the contents, to keep updates small.
func (i *instanceFacts) withoutContents() *instanceFacts {
	small := *i
	small.Contents = nil
	small.Revision = 0
	return &small
}

// instanceAt returns the Instance to send to peers, with its uptime as of now.
func (i *instanceFacts) instanceAt(now time.Time) Instance {
	instance := i.Instance
	if instance.Contents != nil {
		contents := *instance.Contents
		contents.Uptime = max(now.Sub(i.startedAt), 0)
		instance.Contents = &contents
	}
	return instance
}
