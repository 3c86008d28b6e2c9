package edge

import (
	"net"
	"net/http"
	"syscall"

	"github.com/bramblemast/bramblemast/internal/front"
	"github.com/bramblemast/bramblemast/internal/netbuffer"
)

// The division of the machine's memory. The rest is for what the node knows, and for garbage that is
// not collected yet.
const (
	// bodyShare is the share for the bodies of requests and answers, over all connections.
	bodyShare = 0.25
	// headShare is the share for heads of clients' requests that are long and not complete.
	headShare = 0.15
	// clientConnectionShare is the share for connections of clients.
	clientConnectionShare = 0.35
)

// Sizes in bytes of what one connection takes at most, besides the bodies.
const (
	// clientReceiveBuffer and clientSendBuffer are the kernel's buffers. A client 3 ms away can still
	// send 2.5 MB/s and receive 5 MB/s.
	clientReceiveBuffer = 16 << 10
	clientSendBuffer    = 32 << 10
	// clientProcessBytes is for the goroutine, its buffers and a short head.
	clientProcessBytes = 16 << 10
	// serverReceiveBuffer bounds what a faulty server can send on an idle connection.
	serverReceiveBuffer = 32 << 10
)

// memoryLimit returns the memory in bytes beyond which the platform kills the process; zero for no limit.
func (s *Settings) memoryLimit() float64 { return float64(s.Limits.MemoryMB) * (1 << 20) }

// bodyMemory returns the bytes that the bodies of requests and answers may take; zero for no limit.
func (s *Settings) bodyMemory() int64 { return int64(bodyShare * s.memoryLimit()) }

// headMemory returns the bytes that incomplete heads of requests may take; zero for no limit.
func (s *Settings) headMemory() int64 { return int64(headShare * s.memoryLimit()) }

// clientConnections returns the maximum number of open connections of clients; zero for no limit.
func (s *Settings) clientConnections() int {
	byDescriptors := int(clientShare * float64(s.Limits.Descriptors))
	byMemory := int(clientConnectionShare * s.memoryLimit() / (clientReceiveBuffer + clientSendBuffer + clientProcessBytes))
	switch {
	case byMemory == 0:
		return byDescriptors
	case byDescriptors == 0:
		return byMemory
	}
	return min(byDescriptors, byMemory)
}

// clientBuffers returns the sizes of the kernel's buffers of a client's connection; zero leaves them to
// the system.
func (s *Settings) clientBuffers() (receive, send int) {
	if s.Limits.MemoryMB == 0 {
		return 0, 0
	}
	return clientReceiveBuffer, clientSendBuffer
}

// newServerDialer returns a dialer for connections to servers.
func (s *Settings) newServerDialer() *net.Dialer {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	if s.Limits.MemoryMB > 0 {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			return netbuffer.Set(raw, serverReceiveBuffer, 0)
		}
	}
	return dialer
}

// maxProbeConnections is the maximum number of connections of the platform's probes, and of readers of
// the metrics.
const maxProbeConnections = 32

// probeListener returns the options of a listener whose callers have few connections.
func (s *Settings) probeListener(address string, handler http.Handler) front.ListenerOptions {
	receive, send := s.clientBuffers()
	return front.ListenerOptions{
		Address: address, Handler: handler, MaxConnections: maxProbeConnections, ReceiveBuffer: receive, SendBuffer: send,
	}
}
