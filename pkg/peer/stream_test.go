package peer_test

import (
	"context"
	"fmt"
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/peer"
	"github.com/bramblemast/bramblemast/pkg/peer/peerpb"
	"github.com/bramblemast/bramblemast/pkg/target"
)

const streamKind peer.Kind = "test.stream"

// heard is what a Receive function was called with.
type heard struct {
	text string
	err  error
}

// listen returns a Receive function and the channel of its calls.
func listen() (peer.Receive, <-chan heard) {
	calls := make(chan heard, 100)
	return func(body []byte, err error) {
		frame := &peerpb.Frame{}
		if err == nil {
			err = frame.UnmarshalVT(body)
		}
		calls <- heard{text: frame.Kind, err: err}
	}, calls
}

// openStream sends a request that is answered by several messages.
func openStream(from peer.Streamer, address peer.Address) (peer.Stream, <-chan heard) {
	receive, calls := listen()
	return from.Open(address, streamKind, &peerpb.Frame{Kind: "question"}, 10*time.Second, receive), calls
}

// transportPair makes a client and a server of one kind of transport.
type transportPair func() (client, server peer.Streamer)

func tcpPair() (peer.Streamer, peer.Streamer) {
	return startTCP("client", nil), startTCP("server", nil)
}

func memoryPair() (peer.Streamer, peer.Streamer) {
	network := peer.NewNetwork(1)
	DeferCleanup(network.Close)
	return network.Transport("client"), network.Transport("server")
}

var _ = DescribeTableSubtree("streams", func(makePair transportPair) {
	It("hands on every message in order and then the end", func() {
		client, server := makePair()
		server.HandleStream(streamKind, func(_ context.Context, _ target.NodeID, _ []byte, exchange peer.Exchange) error {
			for number := range 20 {
				if err := exchange.Send(&peerpb.Frame{Kind: fmt.Sprint(number)}); err != nil {
					return err
				}
			}
			return nil
		})
		_, calls := openStream(client, server.Address())
		for number := range 20 {
			Eventually(calls, "10s").Should(Receive(Equal(heard{text: fmt.Sprint(number)})))
		}
		Eventually(calls, "10s").Should(Receive(Equal(heard{err: io.EOF})))
	})

	It("ends the handling at the peer when it is cancelled, and hears no more", func() {
		client, server := makePair()
		entered, ended := make(chan struct{}), make(chan struct{})
		server.HandleStream(streamKind, func(ctx context.Context, _ target.NodeID, _ []byte, exchange peer.Exchange) error {
			close(entered)
			<-ctx.Done()
			defer close(ended)
			return exchange.Send(&peerpb.Frame{Kind: "too late"})
		})
		opened, calls := openStream(client, server.Address())
		Eventually(entered, "10s").Should(BeClosed())
		opened.Cancel()
		Eventually(ended, "10s").Should(BeClosed())
		Consistently(calls, "50ms").ShouldNot(Receive())
	})

	It("carries messages that follow the request", func() {
		client, server := makePair()
		server.HandleStream(streamKind, func(ctx context.Context, _ target.NodeID, _ []byte, exchange peer.Exchange) error {
			followed := make(chan []byte, 1)
			exchange.Listen(func(body []byte) { followed <- body })
			if err := exchange.Send(&peerpb.Frame{Kind: "go on"}); err != nil {
				return err
			}
			select {
			case body := <-followed:
				frame := &peerpb.Frame{}
				if err := frame.UnmarshalVT(body); err != nil {
					return err
				}
				return exchange.Send(frame)
			case <-ctx.Done():
				return ctx.Err()
			}
		})
		opened, calls := openStream(client, server.Address())
		Eventually(calls, "10s").Should(Receive(Equal(heard{text: "go on"})))
		opened.Send(&peerpb.Frame{Kind: "more"})
		Eventually(calls, "10s").Should(Receive(Equal(heard{text: "more"})))
		Eventually(calls, "10s").Should(Receive(Equal(heard{err: io.EOF})))
	})

	It("says not run when nobody listens, and when the handler refused", func() {
		client, server := makePair()
		server.HandleStream(streamKind, func(context.Context, target.NodeID, []byte, peer.Exchange) error {
			return &outcome.Error{Step: "take", Outcome: outcome.NotRun, Reason: outcome.ReasonDraining}
		})
		for _, address := range []peer.Address{"127.0.0.1:1", server.Address()} {
			_, calls := openStream(client, address)
			var end heard
			Eventually(calls, "10s").Should(Receive(&end))
			Expect(outcome.Of(end.err)).To(Equal(outcome.NotRun))
		}
	})
}, Entry("over TCP", transportPair(tcpPair)), Entry("in memory", transportPair(memoryPair)))

var _ = Describe("streams over TCP", func() {
	It("do not know what ran when the connection ends", func() {
		client, server := startTCP("client", nil), startTCP("server", nil)
		entered := make(chan struct{})
		server.HandleStream(streamKind, func(ctx context.Context, _ target.NodeID, _ []byte, _ peer.Exchange) error {
			close(entered)
			<-ctx.Done()
			return ctx.Err()
		})
		_, calls := openStream(client, server.Address())
		Eventually(entered, "10s").Should(BeClosed())
		Expect(server.Close()).To(Succeed())
		var end heard
		Eventually(calls, "10s").Should(Receive(&end))
		Expect(outcome.Of(end.err)).To(Equal(outcome.Unknown))
	})

	It("give up a connection that went silent", func() {
		client, server := startTCP("client", nil), startTCP("server", nil)
		server.HandleStream(streamKind, func(ctx context.Context, _ target.NodeID, _ []byte, _ peer.Exchange) error {
			<-ctx.Done()
			return ctx.Err()
		})
		opened, calls := openStream(client, server.Address())
		Eventually(client.Connections, "10s").Should(Equal(1))
		opened.NoteSilence()
		opened.NoteSilence() // tells nothing new
		Consistently(calls, "50ms").ShouldNot(Receive())
		again, _ := openStream(client, server.Address())
		again.NoteSilence()
		var end heard
		Eventually(calls, "10s").Should(Receive(&end))
		Expect(outcome.Of(end.err)).To(Equal(outcome.Unknown))
		Eventually(client.Connections, "10s").Should(BeZero())
	})
})
