package exchange

import (
	"io"

	"github.com/pkg/errors"
)

// errTooLarge means that a server sent more bytes than a head or a body may have.
var errTooLarge = errors.New("too many bytes from the server")

// readLimiter reads from a connection and bounds the bytes of the head and of the encoded body of a
// response, neither of which the parser of net/http bounds.
type readLimiter struct {
	source io.Reader
	left   int
	// hasRead says that any byte was read.
	hasRead bool
}

// allow sets the number of bytes that may be read from now on.
func (l *readLimiter) allow(count int) { l.left = count }

// Read implements io.Reader.
func (l *readLimiter) Read(buffer []byte) (int, error) {
	if l.left == 0 {
		return 0, errTooLarge
	}
	count, err := l.source.Read(buffer[:min(len(buffer), l.left)])
	l.left -= count
	l.hasRead = l.hasRead || count > 0
	return count, err
}
