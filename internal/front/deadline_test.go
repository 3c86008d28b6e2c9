package front

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestDeadlinesOfClients checks that a client's deadline is never negative, whatever number or text it
// sends.
func TestDeadlinesOfClients(t *testing.T) {
	g := NewWithT(t)
	handler := &Handler{}
	handler.dialect.DeadlineMillis = "Left"
	for text, expected := range map[string]time.Duration{
		"1500": 1500 * time.Millisecond, "0.5": 500 * time.Microsecond, "": defaultDeadline, "x": defaultDeadline,
		"-1": defaultDeadline, "NaN": defaultDeadline, "1e400": defaultDeadline, "Inf": maxDeadlineMillis * time.Millisecond,
		"1e300": maxDeadlineMillis * time.Millisecond,
	} {
		g.Expect(handler.clientDeadline(http.Header{"Left": {text}})).To(Equal(expected), text)
	}
}
