package crowds

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/bramblemast/bramblemast/platform/platformtest"
)

// sendAhead sends a text without waiting and reads one answer.
func sendAhead(address, id, text string) told {
	connection := connect(address, time.Now().Add(crowdSpan))
	if connection == nil {
		return told{id: id}
	}
	defer func() { _ = connection.Close() }() // Nothing more is sent or read.
	go func() {
		// It fails when the client has stayed for long enough, or the node has closed the connection.
		_, _ = connection.Write([]byte(text))
	}()
	answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return told{id: id}
	}
	_ = answer.Body.Close() // Only the status is of interest.
	return told{id: id, status: answer.StatusCode}
}

// TestACrowdThatSendsAheadEndsNoNode guards against a machine that runs out of memory since many clients
// send further requests while one is served, which wait unread.
func TestACrowdThatSendsAheadEndsNoNode(t *testing.T) {
	d := startDeployment(t)
	d.server.Set(platformtest.Behaviour{Work: 100 * time.Millisecond})
	d.withstand(func(client int) told {
		id := fmt.Sprintf("order-%d", client)
		head := fmt.Sprintf("POST /order/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 60000\r\nContent-Length: 0\r\n\r\n", id, host, id)
		return sendAhead(d.clients, id, head+strings.Repeat("x", 4*maxBodyBytes))
	})
}

// TestACrowdOfLongHeadsEndsNoNode guards against a node that runs out of memory since many clients send
// long heads without an end.
func TestACrowdOfLongHeadsEndsNoNode(t *testing.T) {
	d := startDeployment(t)
	lines := strings.Repeat("A: b\r\n", 60<<10/len("A: b\r\n"))
	d.withstand(func(client int) told {
		id := fmt.Sprintf("order-%d", client)
		return sendAhead(d.clients, id, fmt.Sprintf("POST /order/%s HTTP/1.1\r\nHost: %s\r\n%s", id, host, lines))
	})
}
