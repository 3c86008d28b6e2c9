package peer

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bramblemast/bramblemast/pkg/peer/peerpb"
)

// lengthBytes is the size of the length that precedes every frame: an
// unsigned 32-bit integer, most significant byte first.
const lengthBytes = 4

// trustedFrameBytes is the announced size up to which memory is allocated before
// a frame has arrived; a faulty peer may announce one that it never sends.
const trustedFrameBytes = 64 << 10

// errFraming means that what was read cannot be a frame, so nothing that
// follows on the connection can be trusted.
var errFraming = errors.New("framing lost")

// generatedMessage is implemented by the messages with generated codecs.
type generatedMessage interface {
	MarshalVT() ([]byte, error)
	UnmarshalVT(data []byte) error
}

// marshal encodes a message. A nil message is encoded as no bytes.
func marshal(message proto.Message) ([]byte, error) {
	if message == nil {
		return nil, nil
	}
	if generated, ok := message.(generatedMessage); ok {
		return generated.MarshalVT()
	}
	return proto.Marshal(message)
}

// unmarshal replaces the content of message by the decoded data. A nil message
// drops the data.
func unmarshal(data []byte, message proto.Message) error {
	if message == nil {
		return nil
	}
	if generated, ok := message.(generatedMessage); ok {
		proto.Reset(message)
		return generated.UnmarshalVT(data)
	}
	return proto.Unmarshal(data, message)
}

// appendFrame encodes a frame with its length.
func appendFrame(frame *peerpb.Frame, maxBytes int) ([]byte, error) {
	size := frame.SizeVT()
	if size > maxBytes {
		return nil, errors.Errorf("frame of %d bytes exceeds the limit of %d", size, maxBytes)
	}
	buffer := make([]byte, lengthBytes+size)
	binary.BigEndian.PutUint32(buffer, uint32(size))
	if _, err := frame.MarshalToSizedBufferVT(buffer[lengthBytes:]); err != nil {
		return nil, errors.Wrap(err, "encode frame")
	}
	return buffer, nil
}

// readFrame reads one frame and returns it with its encoded size, length
// included. An error that wraps errFraming or an unexpected end means that the
// connection must be closed.
func readFrame(reader io.Reader, maxBytes int) (*peerpb.Frame, int, error) {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, 0, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if uint64(size) > uint64(maxBytes) {
		return nil, 0, errors.Wrapf(errFraming, "frame of %d bytes exceeds the limit of %d", size, maxBytes)
	}
	body, err := readFrameBody(reader, int(size))
	if err != nil {
		return nil, 0, errors.Wrap(err, "read frame")
	}
	frame := &peerpb.Frame{}
	if err := frame.UnmarshalVT(body); err != nil {
		return nil, 0, errors.Wrapf(errFraming, "decode frame: %v", err)
	}
	return frame, lengthBytes + int(size), nil
}

// readFrameBody reads size bytes. Beyond trustedFrameBytes its memory grows with
// what has arrived.
func readFrameBody(reader io.Reader, size int) ([]byte, error) {
	if size <= trustedFrameBytes {
		body := make([]byte, size)
		_, err := io.ReadFull(reader, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(reader, int64(size)))
	if err == nil && len(body) < size {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}
