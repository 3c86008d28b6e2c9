package machinelist

import (
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/machinelist/machinelistpb"
	"github.com/bramblemast/bramblemast/pkg/target"
)

const (
	// MaxMessageBytes bounds a message between pollers.
	MaxMessageBytes = 4096
	// announcementBytes is the room that an announcement takes in a message.
	announcementBytes = 32
)

// announcement tells that a node has read the list.
type announcement struct {
	// turn is random and never 0; the next reader follows from it.
	turn uint64
	// digest is that of the list that was read.
	digest uint64
}

// encodeDelta returns the messages that carry a delta, and the announcement in
// the last one. An entry that is too large for a message is left out.
func encodeDelta(delta Delta, announced announcement) ([][]byte, error) {
	parts := splitDelta(delta, nil)
	if len(parts) == 0 {
		parts = append(parts, &machinelistpb.Delta{})
	}
	parts[len(parts)-1].Announcement = &machinelistpb.Announcement{Turn: announced.turn, Digest: announced.digest}
	messages := make([][]byte, 0, len(parts))
	for _, part := range parts {
		message, err := part.MarshalVT()
		if err != nil {
			return nil, errors.Wrap(err, "encode change of the machine list")
		}
		messages = append(messages, message)
	}
	return messages, nil
}

// splitDelta appends the messages of a delta, halving it until each fits.
func splitDelta(delta Delta, parts []*machinelistpb.Delta) []*machinelistpb.Delta {
	message := deltaToProto(&delta)
	switch size := message.SizeVT(); {
	case delta.Len() == 0:
		return parts
	case size <= MaxMessageBytes-announcementBytes:
		return append(parts, message)
	case delta.Len() == 1:
		return parts
	}
	changed, removed := len(delta.Changed)/2, len(delta.Removed)/2
	if len(delta.Changed) == 1 {
		changed = 1
	}
	parts = splitDelta(Delta{Changed: delta.Changed[:changed], Removed: delta.Removed[:removed]}, parts)
	return splitDelta(Delta{Changed: delta.Changed[changed:], Removed: delta.Removed[removed:]}, parts)
}

func deltaToProto(delta *Delta) *machinelistpb.Delta {
	message := &machinelistpb.Delta{}
	var last *machinelistpb.Entries
	for index := range delta.Changed {
		entry := &delta.Changed[index]
		if index == 0 || !entry.sameLabels(&delta.Changed[index-1]) {
			last = &machinelistpb.Entries{
				Zone: string(entry.Zone), Region: string(entry.Region), Service: string(entry.Service),
				Group: entry.Group, State: string(entry.State),
			}
			message.Changed = append(message.Changed, last)
		}
		last.Targets = append(last.Targets, string(entry.Server))
	}
	for _, server := range delta.Removed {
		message.Removed = append(message.Removed, string(server))
	}
	return message
}

func (e *Entry) sameLabels(other *Entry) bool {
	relabelled := *other
	relabelled.Server = e.Server
	return *e == relabelled
}

// decodeDelta reads a message with the checks of Parse. A message with anything
// wrong is refused whole. The announcement's turn is 0 if there is none.
func decodeDelta(payload []byte) (Delta, announcement, error) {
	if len(payload) > MaxMessageBytes {
		return Delta{}, announcement{}, errors.Errorf("%d bytes exceed the limit of %d", len(payload), MaxMessageBytes)
	}
	var message machinelistpb.Delta
	if err := message.UnmarshalVT(payload); err != nil {
		return Delta{}, announcement{}, errors.Wrap(err, "decode change of the machine list")
	}
	parsed := parser{seen: make(map[target.ServerID]struct{})}
	for index, entries := range message.Changed {
		parsed.addGroup(index, &targetGroup{Targets: entries.Targets, Labels: labels{
			Zone: target.Zone(entries.Zone), Region: target.Region(entries.Region),
			Service: target.Service(entries.Service), Group: entries.Group, State: State(entries.State),
		}})
	}
	if len(parsed.errors) > 0 {
		return Delta{}, announcement{}, parsed.errors
	}
	delta := Delta{Changed: parsed.list}
	for _, address := range message.Removed {
		if problem := parsed.checkAddress(address); problem != "" {
			return Delta{}, announcement{}, errors.Errorf("removed server %s", problem)
		}
		parsed.seen[target.ServerID(address)] = struct{}{}
		delta.Removed = append(delta.Removed, target.ServerID(address))
	}
	var announced announcement
	if message.Announcement != nil {
		announced = announcement{turn: message.Announcement.Turn, digest: message.Announcement.Digest}
	}
	return delta, announced, nil
}
