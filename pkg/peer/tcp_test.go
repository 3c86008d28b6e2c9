package peer_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/peer/peerpb"
	"github.com/bramblemast/bramblemast/pkg/target"
)

const echoKind peer.Kind = "test.echo"

// startTCP runs a transport until the spec ends.
func startTCP(node target.NodeID, change func(*peer.TCPOptions)) *peer.TCP {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	options := peer.TCPOptions{Node: node, Listener: listener}
	if change != nil {
		change(&options)
	}
	transport := peer.NewTCP(options)
	done := make(chan struct{})
	go func() {
		defer close(done)
		transport.Run(context.Background())
	}()
	DeferCleanup(func() {
		transport.Close()
		<-done
	})
	return transport
}

func echo(_ context.Context, from target.NodeID, body []byte) (proto.Message, error) {
	request := &peerpb.Frame{}
	if err := request.UnmarshalVT(body); err != nil {
		return nil, err
	}
	return &peerpb.Frame{Kind: request.Kind, From: string(from)}, nil
}

func call(transport peer.Transport, address peer.Address, kind peer.Kind, text string, wait time.Duration) (*peerpb.Frame, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	reply := &peerpb.Frame{}
	err := transport.Call(ctx, address, kind, &peerpb.Frame{Kind: text}, reply)
	return reply, err
}

// expiring is a context whose deadline passes when a channel is closed.
type expiring struct {
	context.Context
	passed chan struct{}
}

func (e expiring) Done() <-chan struct{} { return e.passed }

func (e expiring) Err() error {
	select {
	case <-e.passed:
		return context.DeadlineExceeded
	default:
		return nil
	}
}

// callUntil makes a call whose deadline passes once the peer has read it, so that it does not
// depend on the machine's speed whether it was sent by then.
func callUntil(read <-chan struct{}, transport peer.Transport, address peer.Address, kind peer.Kind, text string) error {
	ctx := expiring{context.Background(), make(chan struct{})}
	go func() {
		<-read
		close(ctx.passed)
	}()
	return transport.Call(ctx, address, kind, &peerpb.Frame{Kind: text}, &peerpb.Frame{})
}

// readFrames signals each whole frame that arrives on a socket, until it ends.
func readFrames(socket net.Conn, read chan<- struct{}) {
	var header [4]byte
	for {
		if _, err := io.ReadFull(socket, header[:]); err != nil {
			return
		}
		if _, err := io.CopyN(io.Discard, socket, int64(binary.BigEndian.Uint32(header[:]))); err != nil {
			return
		}
		read <- struct{}{}
	}
}

var _ = Describe("TCP transport", func() {
	It("gives every concurrent call its own reply over one connection", func() {
		server := startTCP("server", nil)
		server.Handle(echoKind, func(ctx context.Context, from target.NodeID, body []byte) (proto.Message, error) {
			time.Sleep(time.Duration(body[len(body)-1]%5) * time.Millisecond)
			return echo(ctx, from, body)
		})
		client := startTCP("client", nil)
		var group sync.WaitGroup
		for number := range 100 {
			group.Add(1)
			go func() {
				defer GinkgoRecover()
				defer group.Done()
				text := fmt.Sprint("call ", number)
				reply, err := call(client, server.Address(), echoKind, text, 10*time.Second)
				Expect(err).NotTo(HaveOccurred())
				Expect(reply.Kind).To(Equal(text))
				Expect(reply.From).To(Equal("client"))
			}()
		}
		group.Wait()
		stats := client.Stats()
		Expect(stats.MessagesOut).To(BeEquivalentTo(100))
		Expect(stats.MessagesIn).To(BeEquivalentTo(100))
		Expect(server.Stats().BytesIn).To(Equal(stats.BytesOut))
	})

	It("says not run when nobody listens, when the kind is unknown and when all handlers are busy", func() {
		server := startTCP("server", func(options *peer.TCPOptions) { options.MaxHandlers = 1 })
		release := make(chan struct{})
		entered := make(chan struct{})
		server.Handle("test.block", func(context.Context, target.NodeID, []byte) (proto.Message, error) {
			close(entered)
			<-release
			return nil, nil
		})
		client := startTCP("client", nil)

		_, err := call(client, "127.0.0.1:1", echoKind, "x", 5*time.Second)
		Expect(outcome.Of(err)).To(Equal(outcome.NotRun))
		_, err = call(client, server.Address(), "test.nothing", "x", 5*time.Second)
		Expect(outcome.Of(err)).To(Equal(outcome.NotRun))
		Expect(peer.IsRemote(err)).To(BeTrue())

		// The slot of the call before is given back only after its reply was
		// written, so the first tries may still be refused.
		done := make(chan struct{})
		go func() {
			defer close(done)
			for {
				_, err := call(client, server.Address(), "test.block", "x", 10*time.Second)
				if outcome.ReasonOf(err) != outcome.ReasonOverloaded {
					return
				}
			}
		}()
		Eventually(entered, "20s").Should(BeClosed())
		_, err = call(client, server.Address(), "test.block", "x", 5*time.Second)
		Expect(outcome.Of(err)).To(Equal(outcome.NotRun))
		Expect(outcome.ReasonOf(err)).To(Equal(outcome.ReasonOverloaded))
		close(release)
		<-done
	})

	It("keeps a handler's outcome, reason and time to retry", func() {
		server := startTCP("server", nil)
		server.Handle(echoKind, func(context.Context, target.NodeID, []byte) (proto.Message, error) {
			return nil, &outcome.Error{Step: "x", Outcome: outcome.NotRun, Reason: outcome.ReasonShed, RetryAfter: 70 * time.Millisecond}
		})
		client := startTCP("client", nil)
		_, err := call(client, server.Address(), echoKind, "x", 5*time.Second)
		var typed *outcome.Error
		Expect(errors.As(err, &typed)).To(BeTrue())
		Expect(typed.Outcome).To(Equal(outcome.NotRun))
		Expect(typed.Reason).To(Equal(outcome.ReasonShed))
		Expect(typed.RetryAfter).To(Equal(70 * time.Millisecond))
		Expect(typed.Peer).To(Equal(string(server.Address())))
	})

	It("drops a late reply and gives the next call its own", func() {
		server := startTCP("server", nil)
		read, release := make(chan struct{}, 1), make(chan struct{})
		server.Handle("test.slow", func(ctx context.Context, from target.NodeID, body []byte) (proto.Message, error) {
			read <- struct{}{}
			<-release
			return echo(ctx, from, body)
		})
		server.Handle(echoKind, echo)
		client := startTCP("client", nil)
		err := callUntil(read, client, server.Address(), "test.slow", "late")
		Expect(outcome.Of(err)).To(Equal(outcome.Unknown))
		close(release)
		Eventually(func() uint64 { return client.StatsByKind()["late"].MessagesIn }).Should(BeEquivalentTo(1))
		reply, err := call(client, server.Address(), echoKind, "next", 5*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Kind).To(Equal("next"))
	})

	It("closes a connection whose framing is lost", func() {
		server := startTCP("server", nil)
		reply, err := (&peerpb.Frame{Id: 1, Reply: true}).MarshalVT()
		Expect(err).NotTo(HaveOccurred())
		for _, garbage := range [][]byte{
			[]byte("GET / HTTP/1.1\r\n\r\n"),
			{0, 0, 0, 2, 0xff, 0xff},
			append(binary.BigEndian.AppendUint32(nil, uint32(len(reply))), reply...),
		} {
			socket, err := net.Dial("tcp", string(server.Address()))
			Expect(err).NotTo(HaveOccurred())
			_, err = socket.Write(garbage)
			Expect(err).NotTo(HaveOccurred())
			socket.SetReadDeadline(time.Now().Add(5 * time.Second))
			_, err = socket.Read(make([]byte, 1))
			var network net.Error
			Expect(errors.As(err, &network) && network.Timeout()).To(BeFalse(), "closed by the server: %v", err)
			Expect(err).To(HaveOccurred())
			socket.Close()
		}
	})

	It("fails the calls on a connection that answers with an id that was never sent", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		go func() {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			defer socket.Close()
			body, _ := (&peerpb.Frame{Id: 99, Reply: true}).MarshalVT()
			socket.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...))
			socket.Read(make([]byte, 1024))
			socket.Read(make([]byte, 1024))
		}()
		client := startTCP("client", nil)
		_, err = call(client, peer.Address(listener.Addr().String()), echoKind, "x", 5*time.Second)
		Expect(outcome.ReasonOf(err)).To(Equal(outcome.ReasonConnectionLost))
	})

	It("gives up a connection without replies, so that a later call opens another", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		accepted, read := make(chan net.Conn, 8), make(chan struct{}, 8)
		go func() {
			for {
				socket, err := listener.Accept()
				if err != nil {
					close(accepted)
					return
				}
				accepted <- socket
				go readFrames(socket, read)
			}
		}()
		client := startTCP("client", nil)
		for range 3 {
			err := callUntil(read, client, peer.Address(listener.Addr().String()), echoKind, "x")
			Expect(outcome.Of(err)).To(Equal(outcome.Unknown))
		}
		listener.Close()
		opened := 0
		for socket := range accepted {
			opened++
			socket.Close()
		}
		Expect(opened).To(Equal(2))
	})

	It("closes idle connections and stays within its bound", func() {
		server := startTCP("server", nil)
		server.Handle(echoKind, echo)
		other := startTCP("other", nil)
		other.Handle(echoKind, echo)
		client := startTCP("client", func(options *peer.TCPOptions) {
			options.MaxConnections = 1
			options.IdleTimeout = 50 * time.Millisecond
		})
		for range 3 {
			_, err := call(client, server.Address(), echoKind, "x", 5*time.Second)
			Expect(err).NotTo(HaveOccurred())
			_, err = call(client, other.Address(), echoKind, "x", 5*time.Second)
			Expect(err).NotTo(HaveOccurred())
			Expect(client.Connections()).To(Equal(1))
		}
		Eventually(client.Connections).Should(Equal(0))
	})
})
