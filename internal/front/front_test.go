package front

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramblemast/bramblemast/pkg/route"
)

// TestRequestsAreDividedByWeight checks that, after any number of requests, each service is within
// one request of its share, or two with many services.
func TestRequestsAreDividedByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 100), 2, 5).Draw(t, "weights")
		weights[0]++
		weighted := &route.Route{Name: "r"}
		total := 0
		for index, weight := range weights {
			weighted.Backends = append(weighted.Backends, route.Weighted{Service: fmt.Sprint(index), Weight: float64(weight)})
			total += weight
		}
		split := newSplitter(rand.New(rand.NewPCG(1, 1)))
		counts := make(map[string]int)
		for sent := 1; sent <= 300; sent++ {
			counts[split.pick(weighted)]++
			for index, weight := range weights {
				share := float64(sent) * float64(weight) / float64(total)
				if difference := float64(counts[fmt.Sprint(index)]) - share; difference > 2 || difference < -2 {
					t.Fatalf("service %d got %d of %d requests, want about %.1f", index, counts[fmt.Sprint(index)], sent, share)
				}
			}
		}
	})
}

// TestManyNodesKeepTheWeights checks that the weights hold over many nodes that each serve only a few
// requests, as in a deployment of hundreds of machines.
func TestManyNodesKeepTheWeights(t *testing.T) {
	g := NewWithT(t)
	weighted := &route.Route{Name: "r", Backends: []route.Weighted{{Service: "large", Weight: 0.7}, {Service: "small", Weight: 0.3}}}
	random := rand.New(rand.NewPCG(1, 2))
	for _, requests := range []int{1, 2, 3} {
		large := 0
		for range 300 {
			node := newSplitter(random)
			for range requests {
				if node.pick(weighted) == "large" {
					large++
				}
			}
		}
		g.Expect(float64(large)/float64(300*requests)).To(BeNumerically("~", 0.7, 0.08), "%d requests per node", requests)
	}
}

// TestDeadlineAndTargetOfARequest checks that the shorter of the client's and the route's timeout
// applies, and that an answer is sent before the target.
func TestDeadlineAndTargetOfARequest(t *testing.T) {
	g := NewWithT(t)
	startedAt := time.Unix(100, 0)
	bounded := &route.Route{Timeout: 2 * time.Second, Target: 120 * time.Millisecond}
	g.Expect(deadline(bounded, 5*time.Second, startedAt)).To(Equal(startedAt.Add(2*time.Second - deadlineReserve)))
	g.Expect(deadline(bounded, time.Second, startedAt)).To(Equal(startedAt.Add(time.Second - deadlineReserve)))
	g.Expect(deadline(bounded, 0, startedAt)).To(BeTemporally(">", startedAt))
	g.Expect(deadline(&route.Route{}, 5*time.Second, startedAt)).To(Equal(startedAt.Add(5*time.Second - deadlineReserve)))
	g.Expect(target(bounded, startedAt)).To(Equal(startedAt.Add(104 * time.Millisecond)))
	g.Expect(target(&route.Route{Target: 10 * time.Second}, startedAt)).To(Equal(startedAt.Add(10*time.Second - maxTargetReserve)))
	g.Expect(target(&route.Route{}, startedAt).IsZero()).To(BeTrue())
}

// TestTooManyConnectionsEndTheLongestIdle checks that a connection beyond the limit ends the one
// that has been idle for longest, and no other.
func TestTooManyConnectionsEndTheLongestIdle(t *testing.T) {
	g := NewWithT(t)
	listener, err := Listen(ListenerOptions{Address: "127.0.0.1:0", Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusNoContent)
	}), MaxConnections: 2})
	g.Expect(err).NotTo(HaveOccurred())
	served := make(chan error, 1)
	go func() { served <- listener.Serve() }()
	sendRequest := func() (net.Conn, *bufio.Reader) {
		opened, err := net.Dial("tcp", listener.Address())
		g.Expect(err).NotTo(HaveOccurred())
		reader := bufio.NewReader(opened)
		_, err = fmt.Fprint(opened, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		answer, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.StatusCode).To(Equal(http.StatusNoContent))
		return opened, reader
	}
	first, firstReader := sendRequest()
	g.Eventually(func() bool { return listener.isIdle(first) }).Should(BeTrue())
	second, secondReader := sendRequest()
	g.Eventually(func() bool { return listener.isIdle(second) }).Should(BeTrue())
	third, _ := sendRequest()
	_, err = firstReader.ReadByte()
	g.Expect(err).To(MatchError(io.EOF), "the connection idle for longest is ended")
	_, err = fmt.Fprint(second, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	answer, err := http.ReadResponse(secondReader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.StatusCode).To(Equal(http.StatusNoContent), "the other connections stay open")
	for _, each := range []net.Conn{first, second, third} {
		g.Expect(each.Close()).To(Succeed())
	}
	listener.Close()
	g.Expect(<-served).To(Succeed())
}

// isIdle reports whether the listener regards a connection of a client as idle.
func (l *Listener) isIdle(client net.Conn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for each, state := range l.states {
		if each.RemoteAddr().String() == client.LocalAddr().String() {
			return state.idle
		}
	}
	return false
}

// TestAConnectionWithoutRoomIsClosed checks that a connection beyond the limit is closed unread if no other
// one is idle, and that the others are served.
func TestAConnectionWithoutRoomIsClosed(t *testing.T) {
	g := NewWithT(t)
	release, working := make(chan struct{}), make(chan struct{}, 2)
	listener, err := Listen(ListenerOptions{Address: "127.0.0.1:0", MaxConnections: 2, Handler: http.HandlerFunc(
		func(writer http.ResponseWriter, _ *http.Request) {
			working <- struct{}{}
			<-release
			writer.WriteHeader(http.StatusNoContent)
		})})
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = listener.Serve() }()
	defer listener.Close()
	dial := func() *bufio.Reader {
		opened, err := net.Dial("tcp", listener.Address())
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = opened.Close() })
		_, err = fmt.Fprint(opened, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		return bufio.NewReader(opened)
	}
	readers := []*bufio.Reader{dial(), dial()}
	<-working
	<-working
	_, err = http.ReadResponse(dial(), nil)
	g.Expect(err).To(HaveOccurred())
	close(release)
	for _, reader := range readers {
		answer, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.StatusCode).To(Equal(http.StatusNoContent))
	}
}

// TestAnIdleConnectionIsEnded checks that a connection is ended after the idle timeout, while one
// with a request in progress stays open until the request is answered.
func TestAnIdleConnectionIsEnded(t *testing.T) {
	g := NewWithT(t)
	release, working := make(chan struct{}), make(chan struct{})
	listener, err := Listen(ListenerOptions{Address: "127.0.0.1:0", Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/slow" {
			close(working)
			<-release
		}
		writer.WriteHeader(http.StatusNoContent)
	})})
	g.Expect(err).NotTo(HaveOccurred())
	served := make(chan error, 1)
	go func() { served <- listener.Serve() }()
	dial := func(path string) (net.Conn, *bufio.Reader) {
		opened, err := net.Dial("tcp", listener.Address())
		g.Expect(err).NotTo(HaveOccurred())
		_, err = fmt.Fprintf(opened, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
		g.Expect(err).NotTo(HaveOccurred())
		return opened, bufio.NewReader(opened)
	}
	idle, idleReader := dial("/quick")
	_, err = http.ReadResponse(idleReader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	busy, busyReader := dial("/slow")
	<-working
	g.Eventually(func() int {
		listener.endIdle(time.Now().Add(time.Hour))
		return listener.Open()
	}, "20s").Should(Equal(1))
	_, err = idleReader.ReadByte()
	g.Expect(err).To(HaveOccurred(), "the idle connection was ended")
	close(release)
	answer, err := http.ReadResponse(busyReader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.StatusCode).To(Equal(http.StatusNoContent))
	listener.StopAccepting()
	listener.Close()
	g.Expect(<-served).To(Succeed())
	_, _ = idle.Close(), busy.Close()
}

// TestAStopServesWhatANewConnectionBrings checks that a client that has connected just before a
// planned stop closes the listening socket gets its answer, and that one that sends nothing delays
// the stop only briefly.
func TestAStopServesWhatANewConnectionBrings(t *testing.T) {
	g := NewWithT(t)
	listener, err := Listen(ListenerOptions{Address: "127.0.0.1:0", Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Connection", "close")
		writer.WriteHeader(http.StatusNoContent)
	})})
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = listener.Serve() }()
	defer listener.Close()
	var connections []net.Conn
	for range 2 {
		connected, err := net.Dial("tcp", listener.Address())
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = connected.Close() }()
		connections = append(connections, connected)
	}
	g.Eventually(listener.Open).Should(Equal(len(connections)))
	listener.StopAccepting()
	drained := make(chan int, 1)
	go func() { drained <- listener.AwaitDrained(t.Context()) }()
	time.Sleep(2 * drainPollInterval)
	_, err = io.WriteString(connections[0], "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	answer, err := http.ReadResponse(bufio.NewReader(connections[0]), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.StatusCode).To(Equal(http.StatusNoContent))
	g.Eventually(drained, 5*time.Second).Should(Receive(BeZero()))
}
