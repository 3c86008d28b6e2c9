package peer

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/bramblemast/bramblemast/pkg/peer/peerpb"
)

// FuzzReadFrame checks that no input makes the reader panic or allocate beyond
// its bound, and that what it accepts can be sent again.
func FuzzReadFrame(f *testing.F) {
	valid, _ := appendFrame(&peerpb.Frame{Id: 7, Kind: "k", Body: []byte("body"), From: "node"}, 1024)
	f.Add(valid)
	f.Add(valid[:len(valid)-1])
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	if large, err := appendFrame(&peerpb.Frame{Kind: "k", Body: make([]byte, 1<<20)}, 2<<20); err == nil {
		f.Add(large)
	}
	// Groups within groups, as far as the bound reaches.
	f.Add(append([]byte{0, 0, 4, 0}, bytes.Repeat([]byte{0x4b}, 1024)...))
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, size, err := readFrame(bytes.NewReader(data), 1024)
		if err != nil {
			return
		}
		if size > lengthBytes+1024 || size > len(data) {
			t.Fatalf("a frame of %d bytes from %d", size, len(data))
		}
		again, err := appendFrame(frame, 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		copied, _, err := readFrame(bytes.NewReader(again), 1<<20)
		if err != nil || !proto.Equal(copied, frame) {
			t.Fatalf("not the same after encoding: %v", err)
		}
	})
}
