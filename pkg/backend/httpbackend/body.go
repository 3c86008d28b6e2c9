package httpbackend

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

const (
	// initialBufferBytes is the size of a new body buffer.
	initialBufferBytes = 4 << 10
	// maxPooledBytes is the size above which a buffer is not kept.
	maxPooledBytes = 256 << 10
)

var errBodyTooLarge = errors.New("response body is too large")

var buffers = sync.Pool{New: func() any {
	return bytes.NewBuffer(make([]byte, 0, initialBufferBytes))
}}

func takeBuffer() *bytes.Buffer {
	buffer := buffers.Get().(*bytes.Buffer)
	buffer.Reset()
	return buffer
}

func giveBuffer(buffer *bytes.Buffer) {
	if buffer.Cap() <= maxPooledBytes {
		buffers.Put(buffer)
	}
}

// readBody reads the whole body, at most limit bytes. A body that ends before
// its Content-Length or its last chunk is an error.
func readBody(buffer *bytes.Buffer, answer *http.Response, limit int64) error {
	if answer.ContentLength > limit {
		return errBodyTooLarge
	}
	count, err := buffer.ReadFrom(io.LimitReader(answer.Body, limit+1))
	if err != nil {
		return err
	}
	if count > limit {
		return errBodyTooLarge
	}
	return nil
}
