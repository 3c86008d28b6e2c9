package crowds

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/platform/platformtest"
)

const (
	// answerBytes is the size of the long answers.
	answerBytes = 1 << 20
	// slowReadBytes is what a slow client reads each slowReadPause.
	slowReadBytes = 512
	slowReadPause = 100 * time.Millisecond
)

// readSlowly asks for a long answer and reads a little of it now and then.
func readSlowly(address, id string) told {
	end := time.Now().Add(crowdSpan)
	connection := connect(address, end)
	if connection == nil {
		return told{id: id}
	}
	defer func() { _ = connection.Close() }() // Nothing more is read.
	// A small window holds the node up sooner; it is no matter if the system chooses another.
	_ = connection.(*net.TCPConn).SetReadBuffer(slowReadBytes)
	if _, err := fmt.Fprintf(connection, "GET /lookup/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 60000\r\n\r\n", id, host, id); err != nil {
		return told{id: id}
	}
	answer, err := http.ReadResponse(bufio.NewReaderSize(connection, slowReadBytes), nil)
	if err != nil {
		return told{id: id}
	}
	for err == nil {
		_, err = io.CopyN(io.Discard, answer.Body, slowReadBytes)
		time.Sleep(slowReadPause)
	}
	return told{id: id, status: answer.StatusCode}
}

// TestACrowdOfSlowReadersEndsNoNode guards against a node that runs out of memory since many clients read
// long answers slowly.
func TestACrowdOfSlowReadersEndsNoNode(t *testing.T) {
	d := startDeployment(t)
	body := bytes.Repeat([]byte("0123456789abcdef"), answerBytes/16)
	d.server.Set(platformtest.Behaviour{Records: body})
	expectWhole := func(id string) {
		client := platformtest.NewClient(d.clients)
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		d.g.Eventually(func() (int, error) {
			answer, err := client.Do(ctx, http.MethodGet, host, "/lookup/"+id, id, "", patience)
			if err == nil && answer.Status == http.StatusOK {
				d.g.Expect(answer.Body).To(HaveLen(answerBytes))
			}
			return answer.Status, err
		}, patience, "100ms").Should(Equal(http.StatusOK))
	}
	expectWhole("calm")
	d.withstand(func(client int) told { return readSlowly(d.clients, fmt.Sprintf("slow-%d", client)) })
	expectWhole("calm-again")
}
