package owner

import (
	"bytes"
	"runtime"
	"testing"
	"time"

	"github.com/bramblemast/bramblemast/pkg/owner/ownerpb"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// Bounds, in bytes, of all memory allocated to decode a message. The bound per byte is high because
// a part without content takes only two bytes on the wire.
const (
	minFuzzMemory     = 256 << 10
	fuzzMemoryPerByte = 1 << 9
)

// FuzzMessages checks that no question, report or grant of another node makes this one panic or
// allocate memory out of proportion to the message.
func FuzzMessages(f *testing.F) {
	report, err := (&ownerpb.Report{
		Parts: []*ownerpb.Part{{Index: 1 << 31, Evidence: "e"}}, Records: make([]byte, 48), Ended: true, Wanted: []uint32{7},
		Failures:          []*ownerpb.Failure{{Index: 3, Cause: "c"}},
		EndedIncarnations: []*ownerpb.Incarnation{{Id: "i", Start: -1}},
	}).MarshalVT()
	if err != nil {
		f.Fatal(err)
	}
	question, err := (&ownerpb.Question{
		RequestId: "r", Method: "GET", Target: "/", Services: []string{"s"}, DeadlineUs: 1 << 63, TargetUs: 1 << 63,
		Headers: []*ownerpb.Header{{Name: "a\r\nb", Value: "c"}}, Regions: []string{"x"}, Body: make([]byte, 1<<20),
	}).MarshalVT()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(report)
	f.Add(question)
	f.Add(bytes.Repeat([]byte{0x0a, 0}, 1<<19))
	f.Add(bytes.Repeat([]byte{0x4b}, 1<<20))
	server := &Server{options: ServerOptions{
		Policies: func(string, string) (policy.HedgePolicy, float64) { return nil, 1 },
		Regions:  func(scope RequestScope) route.Regions { return scope.Regions },
	}}
	f.Fuzz(func(t *testing.T, body []byte) {
		before := allocated()
		if decoded, _, err := decodeReport(body); err == nil && len(decoded.CrashedServers) > len(body) {
			t.Fatalf("%d crashed servers decoded from %d bytes", len(decoded.CrashedServers), len(body))
		}
		decodedQuestion := &ownerpb.Question{}
		if decodedQuestion.UnmarshalVT(body) == nil {
			server.plan(decodedQuestion, time.Now()).Regions()
			decodeRequest(decodedQuestion)
		}
		// An unreadable grant grants nothing.
		_ = (&ownerpb.Grant{}).UnmarshalVT(body)
		if taken := allocated() - before; taken > minFuzzMemory+fuzzMemoryPerByte*uint64(len(body)) {
			t.Fatalf("%d bytes allocated for a message of %d bytes", taken, len(body))
		}
	})
}

// allocated returns the number of bytes that the process has allocated so far.
func allocated() uint64 {
	var figures runtime.MemStats
	runtime.ReadMemStats(&figures)
	return figures.TotalAlloc
}
