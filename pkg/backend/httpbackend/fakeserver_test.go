package httpbackend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/backend/backendpb"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// reply answers one request on a raw connection; it returns false to have the
// connection closed.
type reply func(conn *net.TCPConn, request *http.Request) bool

// fakeServer is a back end on a raw TCP socket, which can break the exchange at
// any byte. It counts a request as executed as soon as it has read all of it.
type fakeServer struct {
	listener *net.TCPListener
	reply    reply
	running  sync.WaitGroup

	// mutex guards the fields below.
	mutex       sync.Mutex
	connections []*net.TCPConn
	executed    map[string]int
	closed      int
}

func startFakeServer(answer reply) *fakeServer {
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		panic(err)
	}
	server := &fakeServer{listener: listener, reply: answer, executed: map[string]int{}}
	server.running.Go(server.accept)
	return server
}

func (s *fakeServer) id() target.ServerID { return target.ServerID(s.listener.Addr().String()) }

func (s *fakeServer) stop() {
	_ = s.listener.Close()
	s.mutex.Lock()
	for _, conn := range s.connections {
		_ = conn.Close()
	}
	s.mutex.Unlock()
	s.running.Wait()
}

func (s *fakeServer) accept() {
	for {
		conn, err := s.listener.AcceptTCP()
		if err != nil {
			return
		}
		s.mutex.Lock()
		s.connections = append(s.connections, conn)
		s.mutex.Unlock()
		s.running.Go(func() { s.serve(conn) })
	}
}

func (s *fakeServer) serve(conn *net.TCPConn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			break
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			break
		}
		s.count(request)
		if !s.reply(conn, request) {
			break
		}
	}
	_ = conn.Close()
	s.mutex.Lock()
	s.closed++
	s.mutex.Unlock()
}

func (s *fakeServer) count(request *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.executed[request.Header.Get(backend.HeaderRequestID)]++
}

func (s *fakeServer) executions(identity string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.executed[identity]
}

func (s *fakeServer) connectionCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.connections)
}

func (s *fakeServer) closedCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.closed
}

// reset closes a connection with a TCP reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// answer is a response that a test may spoil before it is written.
type answer struct {
	status string
	header http.Header
	body   []byte
	// length is the announced Content-Length; that of the body if negative.
	length int
}

// goodAnswer is the right response to a request.
func goodAnswer(request *http.Request) *answer {
	result := &backendpb.SubResult{
		Records: []*backendpb.Record{{Key: "k", Score: 7, Payload: []byte("p")}}, Matches: 3, ScoreSum: 21,
	}
	body, err := result.MarshalVT()
	if err != nil {
		panic(err)
	}
	header := http.Header{}
	for _, name := range []string{backend.HeaderRequestID, backend.HeaderVersion, backend.HeaderRange} {
		header.Set(name, request.Header.Get(name))
	}
	header.Set(backend.HeaderChecksum, Checksum(body))
	return &answer{status: "200 OK", header: header, body: body, length: -1}
}

func (a *answer) write(conn *net.TCPConn) {
	length := a.length
	if length < 0 {
		length = len(a.body)
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: %d\r\n", a.status, length)
	_ = a.header.Write(conn)
	_, _ = conn.Write(append([]byte("\r\n"), a.body...))
}

// writeChunked sends the body as one chunk, without the last one if truncated.
func (a *answer) writeChunked(conn *net.TCPConn, truncated bool) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nTransfer-Encoding: chunked\r\n", a.status)
	_ = a.header.Write(conn)
	_, _ = fmt.Fprintf(conn, "\r\n%x\r\n%s\r\n", len(a.body), a.body)
	if !truncated {
		_, _ = conn.Write([]byte("0\r\n\r\n"))
	}
}

// spoiled answers with a response that was changed.
func spoiled(change func(a *answer)) reply {
	return func(conn *net.TCPConn, request *http.Request) bool {
		response := goodAnswer(request)
		change(response)
		response.write(conn)
		return response.length < 0
	}
}

func good(conn *net.TCPConn, request *http.Request) bool {
	goodAnswer(request).write(conn)
	return true
}
