package template

import (
	"cmp"
	"fmt"
	"regexp"
	"strings"

	"github.com/pkg/errors"
)

// Version orders the published documents of one key. Two documents have the
// same revision only if the store went back to an older state and was written
// again; the change id then decides, alike at every node.
type Version struct {
	Revision uint64
	ChangeID string
}

// Compare returns -1, 0 or 1 as v is lower than, the same as or higher than
// other.
func (v Version) Compare(other Version) int {
	if order := cmp.Compare(v.Revision, other.Revision); order != 0 {
		return order
	}
	return strings.Compare(v.ChangeID, other.ChangeID)
}

// String formats the version for logs.
func (v Version) String() string { return fmt.Sprintf("%d (%s)", v.Revision, v.ChangeID) }

// Published is one document as it was published: its exact bytes, which are
// passed on unchanged, and their meaning. It is immutable.
type Published struct {
	Template *Template
	// Encoded is what Encode gave at the publisher.
	Encoded []byte
}

// changeIDPattern bounds what is taken from the store and from peers.
var changeIDPattern = regexp.MustCompile(`^[0-9A-Za-z-]{1,64}$`)

// Seal encodes a template for publication.
func Seal(t *Template) (Published, error) {
	encoded, err := Encode(t)
	if err != nil {
		return Published{}, err
	}
	return ReadPublished(encoded)
}

// ReadPublished decodes a published document and checks its key and version,
// not its policies, which may be those of a newer release.
func ReadPublished(encoded []byte) (Published, error) {
	decoded, err := Decode(encoded)
	if err != nil {
		return Published{}, err
	}
	if !namePattern.MatchString(decoded.Tenant) || !namePattern.MatchString(decoded.Name) {
		return Published{}, errors.Errorf("published template %q: %s", decoded.Key(), nameRule)
	}
	if decoded.Revision == 0 || !changeIDPattern.MatchString(decoded.ChangeID) {
		return Published{}, errors.Errorf("published template %s lacks its revision or change id", decoded.Key())
	}
	return Published{Template: decoded, Encoded: encoded}, nil
}

// Key returns the key of the document.
func (p Published) Key() Key { return p.Template.Key() }

// Version returns the version of the document.
func (p Published) Version() Version {
	return Version{Revision: p.Template.Revision, ChangeID: p.Template.ChangeID}
}
