package catalog

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// Bounds of the version changes that are kept until their base is known.
const (
	maxUnresolvedBases = 4096
	maxChangesPerBase  = 4
)

// unresolvedChanges holds version changes by their base. They arrived before the update that they
// build on, or that update was lost.
type unresolvedChanges map[uint64][]Update

// add keeps a change if its revision is the highest for its base. When there are maxUnresolvedBases
// bases, all changes are dropped; the next anti-entropy exchange with a peer restores what is lost.
func (u unresolvedChanges) add(update *Update) {
	if len(u) >= maxUnresolvedBases {
		clear(u)
	}
	kept := u[update.Change.Base]
	if len(kept) > 0 && update.Change.Revision != kept[0].Change.Revision {
		if update.Change.Revision < kept[0].Change.Revision {
			return
		}
		kept = nil
	}
	known := slices.ContainsFunc(kept, func(other Update) bool { return other.Change.equal(&update.Change) })
	if !known && len(kept) < maxChangesPerBase {
		u[update.Change.Base] = append(kept, *update)
	}
}

func (v *VersionChange) equal(other *VersionChange) bool {
	return v.Base == other.Base && v.Revision == other.Revision && slices.Equal(v.Versions, other.Versions)
}

// setVersionChange turns the update into a version change if the base is the same before and after.
func (u *Update) setVersionChange(before, after uint64) {
	if before == 0 || before != after {
		return
	}
	u.Change = VersionChange{Base: after, Revision: u.Instance.Revision}
	for _, index := range u.Instance.Contents.Indexes {
		u.Change.Versions = append(u.Change.Versions, index.Version)
	}
}

// changeBase returns VersionChange.Base for an instance. It is zero if the contents are unknown or
// the versions have different shards.
func (i *instanceFacts) changeBase(server target.ServerID) uint64 {
	if i.Contents != i.baseOf {
		i.base, i.baseOf = computeBase(server, &i.Instance), i.Contents
	}
	return i.base
}

func computeBase(server target.ServerID, instance *Instance) uint64 {
	contents := instance.Contents
	if contents == nil || !sameShards(contents.Indexes) {
		return 0
	}
	unchanged := *contents
	unchanged.Indexes = []backend.Index{{Shards: contents.Indexes[0].Shards}}
	key := append([]byte(string(server)+"\x00"+instance.ID+"\x00"), contentsKey(&unchanged)...)
	return xxhash.Sum64(key)
}

// sameShards reports whether there is at least one index and all have the same shards.
func sameShards(indexes []backend.Index) bool {
	for _, index := range indexes {
		if !slices.Equal(index.Shards, indexes[0].Shards) {
			return false
		}
	}
	return len(indexes) > 0
}

// updateBases updates the index of bases after the facts of a server changed, and applies the
// version changes that were waiting for one of the new bases.
func (c *Catalog) updateBases(m *mutation, r *record) {
	bases := make([]uint64, 0, len(r.facts.instances))
	for _, instance := range r.facts.instances {
		if base := instance.changeBase(r.server); base != 0 {
			bases = append(bases, base)
		}
	}
	if slices.Equal(bases, r.bases) {
		return
	}
	c.removeBases(r)
	r.bases = bases
	for _, base := range bases {
		c.bases[base] = r
	}
	for _, base := range bases {
		pending := c.unresolved[base]
		delete(c.unresolved, base)
		for index := range pending {
			c.applyChange(m, &pending[index])
		}
	}
}

func (c *Catalog) removeBases(r *record) {
	for _, base := range r.bases {
		delete(c.bases, base)
	}
	r.bases = nil
}

// applyChange applies a version change and reports whether it changed anything. A change with an
// unknown base is kept for later.
func (c *Catalog) applyChange(m *mutation, update *Update) bool {
	if update.Change.Base == 0 {
		return false
	}
	r := c.bases[update.Change.Base]
	if r == nil {
		c.unresolved.add(update)
		return false
	}
	known := r.instanceWithBase(update.Change.Base)
	if known == nil {
		return false
	}
	expanded := r.expandChange(m, known, update)
	return c.apply(m, &expanded)
}

// instanceWithBase returns the instance with a base, or nil if the instance was pruned.
func (r *record) instanceWithBase(base uint64) *instanceFacts {
	for _, instance := range r.facts.instances {
		if instance.changeBase(r.server) == base {
			return instance
		}
	}
	return nil
}

// expandChange returns the complete update that a version change represents.
func (r *record) expandChange(m *mutation, known *instanceFacts, update *Update) Update {
	instance := known.instanceAt(m.now)
	shards := instance.Contents.Indexes[0].Shards
	instance.Contents.Indexes = make([]backend.Index, 0, len(update.Change.Versions))
	for _, version := range update.Change.Versions {
		instance.Contents.Indexes = append(instance.Contents.Indexes, backend.Index{Version: version, Shards: shards})
	}
	instance.Revision = update.Change.Revision
	return Update{Server: r.server, Kind: update.Kind, Observer: update.Observer, Instance: instance}
}
