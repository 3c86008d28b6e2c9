package peer

import (
	"bytes"
	"encoding/binary"
	"io"
	"runtime"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/peer/peerpb"
)

// TestAnAnnouncedFrameTakesNoMemory guards against a process that runs out of memory since faulty peers
// announce long frames and send little of them.
func TestAnAnnouncedFrameTakesNoMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	const maxBytes = 16 << 20
	sent := append(binary.BigEndian.AppendUint32(nil, maxBytes), "little"...)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	const frames = 20
	for range frames {
		_, _, err := readFrame(bytes.NewReader(sent), maxBytes)
		g.Expect(err).To(gomega.MatchError(io.ErrUnexpectedEOF))
	}
	runtime.ReadMemStats(&after)
	g.Expect((after.TotalAlloc - before.TotalAlloc) / frames).To(gomega.BeNumerically("<", 1<<20))
}

// TestALongFrameIsReadWhole checks a frame for which memory is not allocated in advance.
func TestALongFrameIsReadWhole(t *testing.T) {
	g := gomega.NewWithT(t)
	sent := &peerpb.Frame{Id: 7, Kind: "k", Body: []byte(strings.Repeat("0123456789abcdef", 2*trustedFrameBytes/16))}
	encoded, err := appendFrame(sent, 1<<20)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	got, size, err := readFrame(bytes.NewReader(append(encoded, "next"...)), 1<<20)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(size).To(gomega.Equal(len(encoded)))
	g.Expect(got.Body).To(gomega.Equal(sent.Body))
}
