package main

import (
	"io"
	"net"
	"sync"
)

// link forwards connections to an address and can be cut: it then resets its connections and refuses
// new ones by a reset.
type link struct {
	address, target string
	// rate is the rate at which the link passes bytes on; nil for no bound.
	rate *throttle

	mutex sync.Mutex
	isCut bool
	open  map[net.Conn]bool
}

// startLink starts a link to a target on a free loopback port.
func startLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	created := &link{address: listener.Addr().String(), target: target, open: make(map[net.Conn]bool)}
	go created.serve(listener)
	return created, nil
}

func (l *link) serve(listener net.Listener) {
	for {
		from, err := listener.Accept()
		if err != nil {
			return
		}
		go l.forward(from)
	}
}

func (l *link) forward(from net.Conn) {
	to, err := net.Dial("tcp", l.target)
	if err != nil {
		resetSocket(from)
		return
	}
	l.mutex.Lock()
	isCut := l.isCut
	if !isCut {
		l.open[from], l.open[to] = true, true
	}
	l.mutex.Unlock()
	if isCut {
		resetSocket(from)
		_ = to.Close()
		return
	}
	go l.pump(to, from)
	l.pump(from, to)
}

func (l *link) pump(to, from net.Conn) {
	if l.rate != nil {
		l.rate.copy(to, from)
	} else {
		_, _ = io.Copy(to, from)
	}
	l.mutex.Lock()
	delete(l.open, to)
	delete(l.open, from)
	l.mutex.Unlock()
	_ = to.Close()
	_ = from.Close()
}

// setRate sets the rate of the link, before its first connection.
func (l *link) setRate(megabitsPerSecond float64) {
	l.rate = &throttle{bytesPerSecond: megabitsPerSecond * 1e6 / 8}
}

// cut resets all connections and refuses new ones, or ends that.
func (l *link) cut(isCut bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.isCut = isCut
	for each := range l.open {
		if isCut {
			resetSocket(each)
		}
	}
}

func resetSocket(connection net.Conn) {
	if socket, ok := connection.(*net.TCPConn); ok {
		_ = socket.SetLinger(0)
	}
	_ = connection.Close()
}
