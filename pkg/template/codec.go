package template

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// MaxEncodedSize bounds an encoded template, in bytes. It bounds what one
// change costs each node that relays it.
const MaxEncodedSize = 16 << 10

// ErrTooLarge means that an encoded template exceeds MaxEncodedSize.
var ErrTooLarge = errors.New("template larger than 16 KiB")

// Encode returns the canonical JSON of a template: the same template always
// gives the same bytes.
func Encode(t *Template) ([]byte, error) {
	encoded, err := json.Marshal(t)
	if err != nil {
		return nil, errors.Wrap(err, "encode template")
	}
	if len(encoded) > MaxEncodedSize {
		return nil, ErrTooLarge
	}
	return encoded, nil
}

// Decode reads what Encode wrote. It ignores unknown fields, so that a node
// can read, and pass on unchanged, documents of a newer release. It does not
// validate.
func Decode(data []byte) (*Template, error) {
	if len(data) > MaxEncodedSize {
		return nil, ErrTooLarge
	}
	decoded := &Template{}
	if err := json.Unmarshal(data, decoded); err != nil {
		return nil, errors.Wrap(err, "decode template")
	}
	return decoded, nil
}
