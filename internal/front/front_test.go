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

// TestRequestsAreDividedByWeight: in any row of requests each service is within
// one request, or two for many services, of its share.
func TestRequestsAreDividedByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 100), 2, 5).Draw(t, "weights")
		weights[0]++
		divided := &route.Route{Name: "r"}
		total := 0
		for index, weight := range weights {
			divided.Backends = append(divided.Backends, route.Weighted{Service: fmt.Sprint(index), Weight: float64(weight)})
			total += weight
		}
		split := newSplitter(rand.New(rand.NewPCG(1, 1)))
		counts := make(map[string]int)
		for asked := 1; asked <= 300; asked++ {
			counts[split.pick(divided)]++
			for index, weight := range weights {
				share := float64(asked) * float64(weight) / float64(total)
				if difference := float64(counts[fmt.Sprint(index)]) - share; difference > 2 || difference < -2 {
					t.Fatalf("service %d has %d of %d, its share is %.1f", index, counts[fmt.Sprint(index)], asked, share)
				}
			}
		}
	})
}

// TestManyNodesKeepTheWeights though each of them sees a few requests only, as
// on a deployment of hundreds of machines.
func TestManyNodesKeepTheWeights(t *testing.T) {
	g := NewWithT(t)
	divided := &route.Route{Name: "r", Backends: []route.Weighted{{Service: "large", Weight: 0.7}, {Service: "small", Weight: 0.3}}}
	random := rand.New(rand.NewPCG(1, 2))
	for _, each := range []int{1, 2, 3} {
		large := 0
		for range 300 {
			node := newSplitter(random)
			for range each {
				if node.pick(divided) == "large" {
					large++
				}
			}
		}
		g.Expect(float64(large)/float64(300*each)).To(BeNumerically("~", 0.7, 0.08), "%d requests a node", each)
	}
}

// TestTheTimesOfARequest: the client's time and the route's bound both count,
// and an answer leaves before the target.
func TestTheTimesOfARequest(t *testing.T) {
	g := NewWithT(t)
	began := time.Unix(100, 0)
	bounded := &route.Route{Timeout: 2 * time.Second, Target: 120 * time.Millisecond}
	g.Expect(deadline(bounded, 5*time.Second, began)).To(Equal(began.Add(2*time.Second - deadlineReserve)))
	g.Expect(deadline(bounded, time.Second, began)).To(Equal(began.Add(time.Second - deadlineReserve)))
	g.Expect(deadline(bounded, 0, began)).To(BeTemporally(">", began))
	g.Expect(deadline(&route.Route{}, 5*time.Second, began)).To(Equal(began.Add(5*time.Second - deadlineReserve)))
	g.Expect(target(bounded, began)).To(Equal(began.Add(104 * time.Millisecond)))
	g.Expect(target(&route.Route{Target: 10 * time.Second}, began)).To(Equal(began.Add(10*time.Second - greatestTargetReserve)))
	g.Expect(target(&route.Route{}, began).IsZero()).To(BeTrue())
}

// TestTooManyConnectionsEndTheLongestResting one, and none that is being served.
func TestTooManyConnectionsEndTheLongestResting(t *testing.T) {
	g := NewWithT(t)
	listener, err := Listen("127.0.0.1:0", http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusNoContent)
	}))
	g.Expect(err).NotTo(HaveOccurred())
	listener.SetMaxConnections(2)
	served := make(chan error, 1)
	go func() { served <- listener.Serve() }()
	ask := func() (net.Conn, *bufio.Reader) {
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
	first, firstReader := ask()
	g.Eventually(func() bool { return listener.rests(first) }).Should(BeTrue())
	second, secondReader := ask()
	g.Eventually(func() bool { return listener.rests(second) }).Should(BeTrue())
	third, _ := ask()
	_, err = firstReader.ReadByte()
	g.Expect(err).To(MatchError(io.EOF), "the first one is ended")
	_, err = fmt.Fprint(second, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	answer, err := http.ReadResponse(secondReader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.StatusCode).To(Equal(http.StatusNoContent), "the others go on")
	for _, each := range []net.Conn{first, second, third} {
		g.Expect(each.Close()).To(Succeed())
	}
	listener.Close()
	g.Expect(<-served).To(Succeed())
}

// rests reports whether the listener's side of a connection rests.
func (l *Listener) rests(client net.Conn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for each, state := range l.states {
		if each.RemoteAddr().String() == client.LocalAddr().String() {
			return state.resting
		}
	}
	return false
}

// TestARestingConnectionIsEnded after its time, while one that is being served
// goes on for as long as it takes.
func TestARestingConnectionIsEnded(t *testing.T) {
	g := NewWithT(t)
	release, working := make(chan struct{}), make(chan struct{})
	listener, err := Listen("127.0.0.1:0", http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/slow" {
			close(working)
			<-release
		}
		writer.WriteHeader(http.StatusNoContent)
	}))
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
	resting, restingReader := dial("/quick")
	_, err = http.ReadResponse(restingReader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	busy, busyReader := dial("/slow")
	<-working
	g.Eventually(func() int {
		listener.endResting(time.Now().Add(time.Hour))
		return listener.Open()
	}, "20s").Should(Equal(1))
	_, err = restingReader.ReadByte()
	g.Expect(err).To(HaveOccurred(), "the resting connection was ended")
	close(release)
	answer, err := http.ReadResponse(busyReader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.StatusCode).To(Equal(http.StatusNoContent))
	listener.StopAccepting()
	listener.Close()
	g.Expect(<-served).To(Succeed())
	_, _ = resting.Close(), busy.Close()
}

// TestAStopServesWhatANewConnectionBrings: a client that has just connected when a planned
// stop closes the listening socket gets its answer, and one that says nothing holds up the
// stop only shortly.
func TestAStopServesWhatANewConnectionBrings(t *testing.T) {
	g := NewWithT(t)
	listener, err := Listen("127.0.0.1:0", http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Connection", "close")
		writer.WriteHeader(http.StatusNoContent)
	}))
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = listener.Serve() }()
	defer listener.Close()
	var opened []net.Conn
	for range 2 {
		connected, err := net.Dial("tcp", listener.Address())
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = connected.Close() }()
		opened = append(opened, connected)
	}
	g.Eventually(listener.Open).Should(Equal(len(opened)))
	listener.StopAccepting()
	drained := make(chan int, 1)
	go func() { drained <- listener.AwaitDrained(t.Context()) }()
	time.Sleep(2 * drainPoll)
	_, err = io.WriteString(opened[0], "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	answer, err := http.ReadResponse(bufio.NewReader(opened[0]), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.StatusCode).To(Equal(http.StatusNoContent))
	g.Eventually(drained, 5*time.Second).Should(Receive(BeZero()))
}
