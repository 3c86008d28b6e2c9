package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/internal/settings"
)

const testPatience = 30 * time.Second

var _ = Describe("the planned stop of a listener", func() {
	var listener *httpListener
	var entered, proceed chan struct{}
	var served chan error

	BeforeEach(func() {
		entered, proceed, served = make(chan struct{}, 8), make(chan struct{}), make(chan error, 1)
		// A handler may outlast its spec, while the next one sets the variables.
		enters, proceeds := entered, proceed
		handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path == "/slow" {
				enters <- struct{}{}
				<-proceeds
			}
			_, _ = io.WriteString(writer, "done")
		})
		var err error
		listener, err = newHTTPListener("127.0.0.1:0", handler, settings.Callers{MaxConnections: 2, HeaderTimeout: time.Minute, IdleTimeout: time.Minute})
		Expect(err).NotTo(HaveOccurred())
		started := listener
		go func() { served <- started.serve() }()
		DeferCleanup(func() {
			started.close()
			Eventually(served, testPatience).Should(Receive(BeNil()))
		})
	})

	// dial opens a connection by hand, so that a spec decides when it is used.
	dial := func() (net.Conn, *bufio.Reader) {
		GinkgoHelper()
		connection, err := net.Dial("tcp", listener.address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(connection.Close)
		return connection, bufio.NewReader(connection)
	}
	ask := func(connection net.Conn, path string) {
		GinkgoHelper()
		_, err := io.WriteString(connection, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
	}
	answer := func(reader *bufio.Reader) *http.Response {
		GinkgoHelper()
		response, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("done"))
		return response
	}

	It("waits for a request in flight and asks its caller to close", func() {
		connection, reader := dial()
		ask(connection, "/slow")
		Eventually(entered, testPatience).Should(Receive())
		listener.startLeaving()
		stopped := make(chan error, 1)
		go func() { stopped <- listener.stop(context.Background()) }()
		Consistently(stopped, "100ms").ShouldNot(Receive())
		close(proceed)
		answer(reader)
		Eventually(stopped, testPatience).Should(Receive(BeNil()))
	})

	It("serves a request that was on its way on an idle connection", func() {
		connection, reader := dial()
		ask(connection, "/")
		answer(reader)
		listener.startLeaving()
		stopped := make(chan error, 1)
		go func() { stopped <- listener.stop(context.Background()) }()
		ask(connection, "/")
		Expect(answer(reader).Close).To(BeTrue())
		Eventually(stopped, testPatience).Should(Receive(BeNil()))
	})

	It("says so when a request outlasts its time", func() {
		connection, _ := dial()
		ask(connection, "/slow")
		Eventually(entered, testPatience).Should(Receive())
		bounded, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		Expect(listener.stop(bounded)).To(MatchError(ContainSubstring("requests still run")))
		close(proceed)
	})

	It("serves a request on a connection that it had not accepted yet", func() {
		for range 2 {
			connection, _ := dial()
			ask(connection, "/slow")
			Eventually(entered, testPatience).Should(Receive())
		}
		waiting, reader := dial()
		ask(waiting, "/")
		listener.startLeaving()
		stopped := make(chan error, 1)
		go func() { stopped <- listener.stop(context.Background()) }()
		answer(reader)
		close(proceed)
		Eventually(stopped, testPatience).Should(Receive(BeNil()))
	})

	It("serves no more connections at once than its bound", func() {
		for range 2 {
			connection, _ := dial()
			ask(connection, "/slow")
			Eventually(entered, testPatience).Should(Receive())
		}
		third, reader := dial()
		ask(third, "/slow")
		Consistently(entered, "100ms").ShouldNot(Receive())
		close(proceed)
		_ = reader
	})
})
