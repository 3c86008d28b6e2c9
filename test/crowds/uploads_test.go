package crowds

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/platform/platformtest"
)

// pieceBytes is the size of the pieces in which some clients send their bodies.
const pieceBytes = 16 << 10

// connect opens a connection of a client of a crowd that stays until the end of crowdSpan; nil if it is
// not accepted.
func connect(address string, end time.Time) net.Conn {
	connection, err := net.DialTimeout("tcp", address, time.Until(end))
	if err != nil {
		return nil
	}
	// This fails only on a closed connection, which the next call shows.
	_ = connection.SetDeadline(end)
	return connection
}

// upload sends a head and the pieces of a body, the last of which ends it, and reads the answer. A client
// that does not finish leaves the last piece out and stays.
func upload(address, id, framing string, pieces []string, isFinished bool) told {
	connection := connect(address, time.Now().Add(crowdSpan))
	if connection == nil {
		return told{id: id}
	}
	defer func() { _ = connection.Close() }() // Nothing more is sent or read.
	if !isFinished {
		pieces = pieces[:len(pieces)-1]
	}
	head := fmt.Sprintf("POST /order/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 60000\r\n%s\r\n\r\n", id, host, id, framing)
	go func() {
		for _, piece := range append([]string{head}, pieces...) {
			if _, err := connection.Write([]byte(piece)); err != nil {
				return
			}
		}
	}()
	answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return told{id: id}
	}
	_ = answer.Body.Close() // Only the status is of interest.
	return told{id: id, status: answer.StatusCode}
}

// split returns a text in pieces of the given size.
func split(text string, size int) []string {
	var pieces []string
	for ; len(text) > size; text = text[size:] {
		pieces = append(pieces, text[:size])
	}
	return append(pieces, text)
}

// chunks returns a body of the given size in chunks, with the chunk that ends it.
func chunks(size, chunkSize int) []string {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkSize, strings.Repeat("x", chunkSize))
	pieces := split(strings.Repeat(chunk, size/chunkSize), pieceBytes)
	return append(pieces, "0\r\n\r\n")
}

// mostStay reports whether a client finishes what it sends; most do not.
func mostStay(client int) (isFinished bool) { return client%5 == 0 }

// TestACrowdOfLargeBodiesEndsNoNode guards against a node that runs out of memory since many clients send
// large bodies of a legal size at once, whole or in pieces, and most stop just short of their end and stay.
func TestACrowdOfLargeBodiesEndsNoNode(t *testing.T) {
	d := startDeployment(t)
	d.server.Set(platformtest.Behaviour{Work: 100 * time.Millisecond})
	framing := fmt.Sprintf("Content-Length: %d", maxBodyBytes)
	body := strings.Repeat("x", maxBodyBytes)
	send := func(id string, pieceSize int, isFinished bool) told {
		pieces := append(split(body[1:], pieceSize), "x")
		return upload(d.clients, id, framing, pieces, isFinished)
	}
	d.g.Expect(send("order-calm", maxBodyBytes, true).status).To(Equal(http.StatusOK))
	d.withstand(func(client int) told {
		size := maxBodyBytes
		if client%2 == 1 {
			size = pieceBytes
		}
		return send(fmt.Sprintf("order-%d", client), size, mostStay(client))
	})
	d.g.Eventually(func() int { return send("order-calm-again", maxBodyBytes, true).status }, patience).Should(Equal(http.StatusOK))
}

// TestACrowdOfChunkedBodiesEndsNoNode guards against a node that runs out of memory since many clients send
// chunked bodies at once, in large or very small chunks, and most stop just short of their end and stay.
func TestACrowdOfChunkedBodiesEndsNoNode(t *testing.T) {
	d := startDeployment(t)
	d.server.Set(platformtest.Behaviour{Work: 100 * time.Millisecond})
	const framing = "Transfer-Encoding: chunked"
	large, small := chunks(maxBodyBytes, 64<<10), chunks(maxBodyBytes, 4)
	d.g.Expect(upload(d.clients, "order-calm-large", framing, large, true).status).To(Equal(http.StatusOK))
	d.g.Expect(upload(d.clients, "order-calm-small", framing, small, true).status).To(Equal(http.StatusOK))
	d.withstand(func(client int) told {
		body := large
		if client%2 == 1 {
			body = small
		}
		return upload(d.clients, fmt.Sprintf("order-%d", client), framing, body, mostStay(client))
	})
	d.g.Eventually(func() int { return upload(d.clients, "order-calm-again", framing, large, true).status }, patience).
		Should(Equal(http.StatusOK))
}
