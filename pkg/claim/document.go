package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/target"
)

// Prefix is where the claims are in the store: Prefix + tenant + "/" + key, both
// escaped as path segments.
const Prefix = "bramblemast/claims/"

// State is how far the request of a claim is known to have come.
type State string

const (
	// StateSent means that the holder may send the request, or has sent it.
	StateSent State = "sent"
	// StateUnknown means that the holder sent the request and cannot know
	// whether it ran.
	StateUnknown State = "unknown"
	// StateDone means that the request ran and its result is recorded.
	StateDone State = "done"
)

// Document is the stored form of a claim.
type Document struct {
	// ClaimID is unique for each attempt to claim a key.
	ClaimID string `json:"claim_id"`
	// Node is the node that holds the claim.
	Node target.NodeID `json:"node"`
	// Digest is the digest of the request's content.
	Digest    string    `json:"digest"`
	State     State     `json:"state"`
	CreatedAt time.Time `json:"created_at"`
	// FinishedAt is when the state became done or unknown.
	FinishedAt time.Time `json:"finished_at,omitzero"`
	// Result is the recorded result of a request that is done.
	Result []byte `json:"result,omitempty"`
	// ResultDropped is set if the result was too large to be recorded.
	ResultDropped bool `json:"result_dropped,omitempty"`
}

// Record is a claim as found in the store, for operators.
type Record struct {
	Tenant string
	Key    string
	Document
	// Index is the store's index of the document.
	Index uint64
}

// DigestOf returns the digest of a request's content.
func DigestOf(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// storeKey returns where the claim of a key is stored.
func storeKey(tenant, key string) string {
	return Prefix + url.PathEscape(tenant) + "/" + url.PathEscape(key)
}

// splitKey is the reverse of storeKey.
func splitKey(stored string) (tenant, key string, err error) {
	rest, found := strings.CutPrefix(stored, Prefix)
	first, second, separated := strings.Cut(rest, "/")
	if !found || !separated {
		return "", "", errors.Errorf("%q is not the place of a claim", stored)
	}
	if tenant, err = url.PathUnescape(first); err != nil {
		return "", "", errors.Wrapf(err, "tenant of %q", stored)
	}
	if key, err = url.PathUnescape(second); err != nil {
		return "", "", errors.Wrapf(err, "key of %q", stored)
	}
	return tenant, key, nil
}

// encode returns the stored form.
func (d Document) encode() ([]byte, error) {
	value, err := json.Marshal(d)
	return value, errors.Wrap(err, "encode claim")
}

// decode reads the stored form.
func decode(value []byte) (Document, error) {
	var document Document
	if err := json.Unmarshal(value, &document); err != nil {
		return Document{}, errors.Wrap(err, "decode claim")
	}
	if document.ClaimID == "" || document.Digest == "" {
		return Document{}, errors.New("decode claim: claim_id or digest is missing")
	}
	switch document.State {
	case StateSent, StateUnknown, StateDone:
		return document, nil
	default:
		return Document{}, errors.Errorf("decode claim: state %q", document.State)
	}
}
