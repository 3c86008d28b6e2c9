package catalog

import (
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/catalog/catalogpb"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// appendChange adds a version change to the last entry of a message, or to a new entry if the last
// one has different versions.
func appendChange(message *catalogpb.NewsBatch, update *Update) {
	var last *catalogpb.VersionChange
	if count := len(message.VersionChanges); count > 0 {
		last = message.VersionChanges[count-1]
	}
	if last == nil || !sameVersions(last.Versions, update.Change.Versions) {
		last = &catalogpb.VersionChange{}
		for _, version := range update.Change.Versions {
			last.Versions = append(last.Versions, uint64(version))
		}
		message.VersionChanges = append(message.VersionChanges, last)
	}
	last.Bases = append(last.Bases, update.Change.Base)
	last.Revisions = append(last.Revisions, update.Change.Revision)
}

func sameVersions(sent []uint64, versions []target.Version) bool {
	if len(sent) != len(versions) {
		return false
	}
	for index, version := range versions {
		if sent[index] != uint64(version) {
			return false
		}
	}
	return true
}

// changesFromProto validates and converts version changes. It returns one update for each process.
func changesFromProto(message *catalogpb.VersionChange) ([]Update, error) {
	if err := checkChange(message); err != nil {
		return nil, err
	}
	versions := make([]target.Version, 0, len(message.Versions))
	for _, version := range message.Versions {
		versions = append(versions, target.Version(version))
	}
	changes := make([]Update, 0, len(message.Bases))
	for index, base := range message.Bases {
		revision := message.Revisions[index]
		if base == 0 || revision == 0 || revision > maxCounter {
			return nil, errors.Errorf("process %d has a base or revision that is out of bounds", index)
		}
		changes = append(changes, Update{
			Kind:   KindContents,
			Change: VersionChange{Base: base, Revision: revision, Versions: versions},
		})
	}
	return changes, nil
}

func checkChange(message *catalogpb.VersionChange) error {
	switch {
	case len(message.Versions) == 0 || len(message.Versions) > maxIndexes:
		return errors.New("has no versions or too many")
	case len(message.Bases) != len(message.Revisions):
		return errors.New("has more bases than revisions, or fewer")
	}
	seen := make(map[uint64]struct{}, len(message.Versions))
	for _, version := range message.Versions {
		if _, twice := seen[version]; twice {
			return errors.Errorf("version %d occurs twice", version)
		}
		seen[version] = struct{}{}
	}
	return nil
}
