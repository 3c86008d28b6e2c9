package stored

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"slices"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/template"
)

// HistoryLength is the number of earlier revisions that are kept.
const HistoryLength = 10

// RejectedLength is the number of change ids that are kept as rejected.
const RejectedLength = 64

// maxDocumentSize bounds the value of a key, in bytes. The platform's service
// takes 512 KiB.
const maxDocumentSize = 384 << 10

// Document is the value of a template's key.
type Document struct {
	Current template.Published
	// History is the earlier documents, newest first, at most HistoryLength.
	History []template.Published
	// Rejected are the ids of changes that a settlement declared rejected,
	// newest first, at most RejectedLength. They must not be published any
	// more, whoever still holds them. Writing one also moves the key's index
	// on, so that a write that is still under way can't commit later; a store
	// may leave the index as it is where a value does not change.
	Rejected []string
}

// wireDocument is the JSON form. The history is a compressed JSON list, since
// its entries differ little and every watcher reads them with each change.
type wireDocument struct {
	Current  json.RawMessage `json:"current"`
	History  []byte          `json:"history,omitempty"`
	Rejected []string        `json:"rejected,omitempty"`
}

// Encode returns the value for the store.
func (d Document) Encode() ([]byte, error) {
	history, err := encodeHistory(d.History)
	if err != nil {
		return nil, err
	}
	encoded, err := json.Marshal(wireDocument{
		Current: d.Current.Encoded, History: history, Rejected: d.Rejected,
	})
	return encoded, errors.Wrap(err, "encode stored document")
}

// Decode reads the value of a key, and checks that it belongs there.
func Decode(key template.Key, value []byte) (Document, error) {
	wire, current, err := decodeWire(key, value)
	if err != nil {
		return Document{}, err
	}
	history, err := decodeHistory(wire.History)
	if err != nil {
		return Document{}, errors.WithMessagef(err, "history of %s", key)
	}
	return Document{Current: current, History: history, Rejected: wire.Rejected}, nil
}

// DecodeCurrent reads only the document in force, for watchers.
func DecodeCurrent(key template.Key, value []byte) (template.Published, error) {
	_, current, err := decodeWire(key, value)
	return current, err
}

func decodeWire(key template.Key, value []byte) (wireDocument, template.Published, error) {
	var wire wireDocument
	if len(value) > maxDocumentSize {
		return wire, template.Published{}, errors.Errorf("stored document of %s is too large", key)
	}
	if err := json.Unmarshal(value, &wire); err != nil {
		return wire, template.Published{}, errors.Wrapf(err, "stored document of %s", key)
	}
	current, err := template.ReadPublished(wire.Current)
	if err != nil {
		return wire, template.Published{}, errors.WithMessagef(err, "stored document of %s", key)
	}
	if current.Key() != key {
		return wire, template.Published{}, errors.Errorf("stored document of %s is that of %s", key, current.Key())
	}
	return wire, current, nil
}

// Replace returns the document that follows this one.
func (d Document) Replace(next template.Published) Document {
	history := append([]template.Published{d.Current}, d.History...)
	return Document{Current: next, History: history[:min(len(history), HistoryLength)], Rejected: d.Rejected}
}

// Reject returns the document with a change id kept as rejected.
func (d Document) Reject(changeID string) Document {
	rejected := append([]string{changeID}, d.Rejected...)
	d.Rejected = rejected[:min(len(rejected), RejectedLength)]
	return d
}

// IsRejected reports whether a change id is kept as rejected.
func (d Document) IsRejected(changeID string) bool { return slices.Contains(d.Rejected, changeID) }

// Find returns the revision that a change id published, if it is still kept.
func (d Document) Find(changeID string) (template.Published, bool) {
	for _, candidate := range append([]template.Published{d.Current}, d.History...) {
		if candidate.Template.ChangeID == changeID {
			return candidate, true
		}
	}
	return template.Published{}, false
}

func encodeHistory(history []template.Published) ([]byte, error) {
	if len(history) == 0 {
		return nil, nil
	}
	list := make([]json.RawMessage, 0, len(history))
	for _, earlier := range history {
		list = append(list, earlier.Encoded)
	}
	plain, err := json.Marshal(list)
	if err != nil {
		return nil, errors.Wrap(err, "encode history")
	}
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestCompression)
	if err != nil {
		return nil, errors.Wrap(err, "compress history")
	}
	if _, err := writer.Write(plain); err != nil {
		return nil, errors.Wrap(err, "compress history")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress history")
	}
	return compressed.Bytes(), nil
}

func decodeHistory(compressed []byte) ([]template.Published, error) {
	if len(compressed) == 0 {
		return nil, nil
	}
	const greatest = HistoryLength * (template.MaxEncodedSize + 1)
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), greatest+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if len(plain) > greatest {
		return nil, errors.New("larger than allowed")
	}
	var list []json.RawMessage
	if err := json.Unmarshal(plain, &list); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	history := make([]template.Published, 0, len(list))
	for _, encoded := range list {
		earlier, err := template.ReadPublished(encoded)
		if err != nil {
			return nil, err
		}
		history = append(history, earlier)
	}
	return history, nil
}
