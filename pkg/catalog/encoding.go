package catalog

import (
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/catalog/catalogpb"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// Bounds of accepted input. Names are in bytes.
const (
	maxNameBytes = 255
	maxIndexes   = 64
	maxShards    = 4096
	maxLimit     = 1 << 20
	maxUptime    = 100 * 365 * 24 * time.Hour
	// maxCounter leaves room for every counter to be incremented.
	maxCounter = 1 << 62
)

// EncodeUpdates returns the wire form of a batch of updates. Version changes follow the others;
// adjacent ones with the same versions are stored as one entry.
func EncodeUpdates(batch []Update) ([]byte, error) {
	message := &catalogpb.NewsBatch{}
	for index := range batch {
		if update := &batch[index]; update.Change.Base != 0 {
			appendChange(message, update)
		} else {
			message.News = append(message.News, ToProto(update))
		}
	}
	encoded, err := message.MarshalVT()
	return encoded, errors.Wrap(err, "encode news")
}

// DecodeUpdates decodes a batch. If any update is malformed, the whole batch is rejected with an
// error.
func DecodeUpdates(encoded []byte) ([]Update, error) {
	var message catalogpb.NewsBatch
	if err := message.UnmarshalVT(encoded); err != nil {
		return nil, errors.Wrap(err, "decode news")
	}
	batch := make([]Update, 0, len(message.News))
	for index, item := range message.News {
		update, err := FromProto(item)
		if err != nil {
			return nil, errors.Wrapf(err, "news %d", index)
		}
		batch = append(batch, update)
	}
	for index, item := range message.VersionChanges {
		changes, err := changesFromProto(item)
		if err != nil {
			return nil, errors.Wrapf(err, "version change %d", index)
		}
		batch = append(batch, changes...)
	}
	return batch, nil
}

// ToProto returns the protobuf message of one update. A version change is written in its complete
// form.
func ToProto(update *Update) *catalogpb.News {
	message := &catalogpb.News{
		Server:   string(update.Server),
		Kind:     uint32(update.Kind),
		Observer: string(update.Observer),
	}
	if update.Instance.ID != "" {
		message.Instance = &catalogpb.Instance{
			Id:         update.Instance.ID,
			Generation: update.Instance.Generation,
			Draining:   update.Instance.Draining,
			Liveness:   update.Instance.Liveness,
			Revision:   update.Instance.Revision,
			Contents:   contentsToProto(update.Instance.Contents),
		}
	}
	if update.Operator.Sequence > 0 {
		message.OperatorMark = &catalogpb.OperatorMark{
			Sequence: update.Operator.Sequence,
			Drained:  update.Operator.Drained,
			Author:   update.Operator.Author,
		}
	}
	return message
}

func contentsToProto(contents *Contents) *catalogpb.Contents {
	if contents == nil {
		return nil
	}
	message := &catalogpb.Contents{
		Service:     string(contents.Service),
		Ready:       contents.Ready,
		UptimeMs:    uint64(max(contents.Uptime, 0) / time.Millisecond),
		Slots:       uint32(contents.Slots),
		Connections: uint32(contents.Connections),
		Indexes:     make([]*catalogpb.Index, 0, len(contents.Indexes)),
	}
	for position, index := range contents.Indexes {
		message.Indexes = append(message.Indexes, indexToProto(contents.Indexes, position, index))
	}
	return message
}

// indexToProto omits the shards if the previous index has the same ones, as most new versions keep
// the layout.
func indexToProto(indexes []backend.Index, position int, index backend.Index) *catalogpb.Index {
	message := &catalogpb.Index{Version: uint64(index.Version)}
	if position > 0 {
		previous := indexes[position-1]
		if previous.Version > 0 && slices.Equal(previous.Shards, index.Shards) {
			message.SameAs = uint64(previous.Version)
			return message
		}
	}
	for _, shard := range index.Shards {
		message.Shards = append(message.Shards, &catalogpb.Shard{
			Group: shard.Group, Start: shard.Range.Start, End: shard.Range.End,
		})
	}
	return message
}

// contentsKey returns bytes that are equal only for equal contents.
func contentsKey(contents *Contents) []byte {
	message := contentsToProto(contents)
	if message == nil {
		return nil
	}
	message.UptimeMs = 0
	// Marshalling into a buffer of the message's own size cannot fail.
	encoded, _ := message.MarshalVT()
	return encoded
}

// FromProto validates and converts one update.
func FromProto(message *catalogpb.News) (Update, error) {
	if _, _, err := net.SplitHostPort(message.GetServer()); err != nil || len(message.GetServer()) > maxNameBytes {
		return Update{}, errors.Errorf("server %.40q is not host:port", message.GetServer())
	}
	update := Update{
		Server:   target.ServerID(message.Server),
		Kind:     UpdateKind(message.Kind),
		Observer: target.NodeID(message.Observer),
	}
	if len(message.Observer) > maxNameBytes {
		return Update{}, errors.New("observer is too long")
	}
	if mark := message.OperatorMark; mark != nil {
		update.Operator = OperatorMark{Sequence: mark.Sequence, Drained: mark.Drained, Author: mark.Author}
		if mark.Sequence == 0 || mark.Sequence > maxCounter || len(mark.Author) > maxNameBytes {
			return Update{}, errors.New("operator mark is out of bounds")
		}
	}
	if message.Instance == nil {
		return update, nil
	}
	instance, err := instanceFromProto(message.Instance)
	update.Instance = instance
	return update, err
}

func instanceFromProto(message *catalogpb.Instance) (Instance, error) {
	instance := Instance{
		ID:         message.Id,
		Generation: message.Generation,
		Draining:   message.Draining,
		Liveness:   message.Liveness,
		Revision:   message.Revision,
	}
	switch {
	case message.Id == "" || len(message.Id) > maxNameBytes:
		return Instance{}, errors.New("instance has no valid id")
	case max(message.Generation, message.Liveness, message.Revision) > maxCounter:
		return Instance{}, errors.New("instance has a counter that is out of bounds")
	case (message.Contents == nil) != (message.Revision == 0):
		return Instance{}, errors.New("instance has a revision without contents, or contents without one")
	case message.Contents == nil:
		return instance, nil
	}
	contents, err := contentsFromProto(message.Contents)
	instance.Contents = contents
	return instance, err
}

func contentsFromProto(message *catalogpb.Contents) (*Contents, error) {
	switch {
	case message.Service == "" || len(message.Service) > maxNameBytes:
		return nil, errors.New("contents have no valid service")
	case message.Slots > maxLimit || message.Connections > maxLimit:
		return nil, errors.New("slots or connections are out of bounds")
	case message.UptimeMs > uint64(maxUptime/time.Millisecond):
		return nil, errors.New("uptime is out of bounds")
	case len(message.Indexes) > maxIndexes:
		return nil, errors.New("too many indexes")
	}
	contents := &Contents{
		Service:     target.Service(message.Service),
		Ready:       message.Ready,
		Uptime:      time.Duration(message.UptimeMs) * time.Millisecond,
		Slots:       int(message.Slots),
		Connections: int(message.Connections),
		Indexes:     make([]backend.Index, 0, len(message.Indexes)),
	}
	for _, item := range message.Indexes {
		if hasVersion(contents.Indexes, target.Version(item.Version)) {
			return nil, errors.Errorf("version %d occurs twice", item.Version)
		}
		shards, err := shardsFromProto(contents.Indexes, item)
		if err != nil {
			return nil, errors.Wrapf(err, "version %d", item.Version)
		}
		index := backend.Index{Version: target.Version(item.Version), Shards: shards}
		contents.Indexes = append(contents.Indexes, index)
	}
	return contents, nil
}

func hasVersion(indexes []backend.Index, version target.Version) bool {
	return slices.ContainsFunc(indexes, func(index backend.Index) bool { return index.Version == version })
}

// checkStatus returns an error for a status that other nodes would not accept in an update.
func checkStatus(status *backend.Status) error {
	contents := contentsToProto(newContents(status))
	_, err := instanceFromProto(&catalogpb.Instance{Id: status.Instance, Revision: 1, Contents: contents})
	return err
}

// shardsFromProto returns the shards of an index. earlier holds the indexes that precede it in the
// message.
func shardsFromProto(earlier []backend.Index, message *catalogpb.Index) ([]backend.Shard, error) {
	if message.SameAs != 0 {
		for _, index := range earlier {
			if index.Version == target.Version(message.SameAs) {
				return index.Shards, nil
			}
		}
		return nil, errors.Errorf("has the shards of unknown version %d", message.SameAs)
	}
	if len(message.Shards) > maxShards {
		return nil, errors.New("has too many shards")
	}
	shards := make([]backend.Shard, 0, len(message.Shards))
	for _, item := range message.Shards {
		part := keyspace.Range{Start: item.Start, End: item.End}
		if !part.Valid() || len(item.Group) > maxNameBytes {
			return nil, errors.Errorf("has the invalid shard %.40q %s", item.Group, part)
		}
		shards = append(shards, backend.Shard{Group: item.Group, Range: part})
	}
	return shards, nil
}
