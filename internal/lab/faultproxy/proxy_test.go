package faultproxy_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/internal/lab/faultproxy"
)

// startEcho serves connections that send back what they get.
func startEcho() string {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	var work sync.WaitGroup
	work.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			work.Go(func() {
				defer connection.Close()
				_, _ = io.Copy(connection, connection)
			})
		}
	})
	DeferCleanup(func() {
		_ = listener.Close()
		work.Wait()
	})
	return listener.Addr().String()
}

var _ = Describe("Proxy", func() {
	var (
		proxy   *faultproxy.Proxy
		address string
	)

	BeforeEach(func() {
		upstream := startEcho()
		proxy = faultproxy.New(1, nil)
		DeferCleanup(func() { proxy.Close() })
		var err error
		address, err = proxy.AddLink(faultproxy.LinkConfig{Name: "echo", Listen: "127.0.0.1:0", Upstream: upstream, Zone: "oslo"})
		Expect(err).NotTo(HaveOccurred())
	})
	dialFrom := func(source string) net.Conn {
		GinkgoHelper()
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
		connection, err := dialer.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = connection.Close() })
		return connection
	}
	exchange := func(connection net.Conn, text string) (string, error) {
		if _, err := connection.Write([]byte(text)); err != nil {
			return "", err
		}
		got := make([]byte, len(text))
		count, err := io.ReadFull(connection, got)
		return string(got[:count]), err
	}
	add := func(rule faultproxy.Rule) int {
		GinkgoHelper()
		id, err := proxy.AddRule(rule)
		Expect(err).NotTo(HaveOccurred())
		return id
	}
	// silent reports that nothing arrives for a while.
	silent := func(connection net.Conn) {
		GinkgoHelper()
		Expect(connection.SetReadDeadline(time.Now().Add(50 * time.Millisecond))).To(Succeed())
		_, err := connection.Read(make([]byte, 1))
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
		Expect(connection.SetReadDeadline(time.Time{})).To(Succeed())
	}

	It("passes everything both ways, and the end of each side", func() {
		connection := dialFrom("127.0.0.1").(*net.TCPConn)
		content := bytes.Repeat([]byte("0123456789"), 100_000)
		go func() {
			_, _ = connection.Write(content)
			_ = connection.CloseWrite()
		}()
		got, err := io.ReadAll(connection)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(got, content)).To(BeTrue())
		Eventually(func() int { return proxy.Links()[0].Connections }).Should(BeZero())
	})

	It("delays each direction", func() {
		connection := dialFrom("127.0.0.1")
		delay := faultproxy.DirectionFaults{Delay: faultproxy.Duration(30 * time.Millisecond)}
		add(faultproxy.Rule{Faults: faultproxy.Faults{ToServer: delay, ToClient: delay}})
		start := time.Now()
		Expect(exchange(connection, "ping")).To(Equal("ping"))
		Expect(time.Since(start)).To(BeNumerically(">=", 60*time.Millisecond))
	})

	It("limits the bandwidth", func() {
		connection := dialFrom("127.0.0.1")
		add(faultproxy.Rule{Faults: faultproxy.Faults{ToClient: faultproxy.DirectionFaults{BytesPerSecond: 1000}}})
		start := time.Now()
		for range 3 {
			Expect(exchange(connection, "0123456789012345678901234")).To(HaveLen(25))
		}
		Expect(time.Since(start)).To(BeNumerically(">=", 50*time.Millisecond))
	})

	DescribeTable("a cut lets nothing through, and what was sent follows when it heals",
		func(faults faultproxy.Faults) {
			connection := dialFrom("127.0.0.1")
			Expect(exchange(connection, "before")).To(Equal("before"))
			id := add(faultproxy.Rule{Selector: faultproxy.Selector{Link: "echo"}, Faults: faults})
			_, err := connection.Write([]byte("during"))
			Expect(err).NotTo(HaveOccurred())
			silent(connection)
			Expect(proxy.RemoveRule(id)).To(Succeed())
			got := make([]byte, len("during"))
			_, err = io.ReadFull(connection, got)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(got)).To(Equal("during"))
		},
		Entry("both ways", faultproxy.Cut()),
		Entry("to the server", faultproxy.Faults{ToServer: faultproxy.DirectionFaults{Stall: true}}),
		Entry("to the client", faultproxy.Faults{ToClient: faultproxy.DirectionFaults{Stall: true}}),
	)

	It("cuts only connections from the chosen network to the chosen zone", func() {
		oslo, bergen := dialFrom("127.0.10.1"), dialFrom("127.0.11.1")
		add(faultproxy.Rule{Selector: faultproxy.Selector{Zone: "trondheim"}, Faults: faultproxy.Cut()})
		Expect(exchange(oslo, "a")).To(Equal("a"))
		add(faultproxy.Rule{Selector: faultproxy.Selector{Zone: "oslo", Source: "127.0.11.0/24"}, Faults: faultproxy.Cut()})
		Expect(exchange(oslo, "a")).To(Equal("a"))
		_, err := bergen.Write([]byte("b"))
		Expect(err).NotTo(HaveOccurred())
		silent(bergen)
	})

	It("refuses connections and resets open ones, then takes them again at the same address", func() {
		open := dialFrom("127.0.0.1")
		Expect(exchange(open, "a")).To(Equal("a"))
		id := add(faultproxy.Rule{Faults: faultproxy.Faults{Refuse: true}})
		_, err := open.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		_, err = net.Dial("tcp", address)
		Expect(err).To(MatchError(syscall.ECONNREFUSED))
		Expect(proxy.RemoveRule(id)).To(Succeed())
		Expect(exchange(dialFrom("127.0.0.1"), "b")).To(Equal("b"))
	})

	It("resets open connections", func() {
		open := dialFrom("127.0.0.1")
		Expect(exchange(open, "a")).To(Equal("a"))
		add(faultproxy.Rule{Faults: faultproxy.Faults{Reset: true}})
		_, err := open.Read(make([]byte, 1))
		Expect(err).To(MatchError(syscall.ECONNRESET))
	})

	It("ends a connection in the middle of a frame", func() {
		connection := dialFrom("127.0.0.1")
		add(faultproxy.Rule{Faults: faultproxy.Faults{ToClient: faultproxy.DirectionFaults{ResetAfterBytes: 4}}})
		got, err := exchange(connection, "whole frame")
		Expect(err).To(HaveOccurred())
		Expect(len(got)).To(BeNumerically("<=", 4))
		Expect(proxy.Links()[0].BytesToClient).To(BeEquivalentTo(4))
	})

	It("is driven by its client", func() {
		server := httptest.NewServer(proxy.Handler())
		client := faultproxy.NewClient(server.URL)
		DeferCleanup(func() {
			client.Close()
			server.Close()
		})
		ctx := context.Background()
		added, err := client.AddLink(ctx, faultproxy.LinkConfig{Name: "second", Listen: "127.0.0.1:0", Upstream: address})
		Expect(err).NotTo(HaveOccurred())
		id, err := client.AddRule(ctx, faultproxy.Rule{Selector: faultproxy.Selector{Link: "second"}, Faults: faultproxy.Faults{Refuse: true}})
		Expect(err).NotTo(HaveOccurred())
		_, err = net.Dial("tcp", added)
		Expect(err).To(MatchError(syscall.ECONNREFUSED))
		Expect(client.Rules(ctx)).To(ConsistOf(HaveField("ID", id)))
		Expect(client.RemoveRule(ctx, id)).To(Succeed())
		Expect(client.RemoveRule(ctx, id)).NotTo(Succeed())
		_, err = client.AddRule(ctx, faultproxy.Rule{Selector: faultproxy.Selector{Source: "nowhere"}})
		Expect(err).To(HaveOccurred())
		Expect(client.Links(ctx)).To(HaveLen(2))
	})

	Describe("files", func() {
		write := func(text string) string {
			GinkgoHelper()
			path := filepath.Join(GinkgoT().TempDir(), "proxy.yaml")
			Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
			return path
		}

		It("plays a schedule", func() {
			file, err := faultproxy.LoadFile(write(`
seed: 3
links:
  - {name: echo, listen: "127.0.0.1:0", upstream: "127.0.0.1:9"}
schedule:
  - {at: 20ms, duration: 10ms, link: echo, faults: {to_client: {delay: 1ms}}}
  - {at: 0s, faults: {reset: true}}
`))
			Expect(err).NotTo(HaveOccurred())
			Expect(proxy.Run(context.Background(), file.Schedule)).To(Succeed())
			Expect(proxy.Rules()).To(ConsistOf(HaveField("Faults.Reset", true)))
		})

		It("lists every error at once", func() {
			_, err := faultproxy.LoadFile(write(`
links:
  - {name: echo}
schedule:
  - {at: 1s, link: other, source: x, faults: {reset: true}}
`))
			Expect(err).To(MatchError(And(
				ContainSubstring("links[0]"),
				ContainSubstring("schedule[0].link"),
				ContainSubstring("schedule[0].source"),
			)))
		})
	})
})
