package main

import (
	"net"
	"sync"
	"time"
)

// throttle is the rate of a machine's own link; all of its connections share it.
type throttle struct {
	bytesPerSecond float64

	mutex  sync.Mutex
	freeAt time.Time
}

// throttledBytes is the size of the pieces in which a link passes bytes on.
const throttledBytes = 16 << 10

// pass waits until a number of bytes has passed the link.
func (t *throttle) pass(count int) {
	t.mutex.Lock()
	now := time.Now()
	if t.freeAt.Before(now) {
		t.freeAt = now
	}
	t.freeAt = t.freeAt.Add(time.Duration(float64(count) / t.bytesPerSecond * float64(time.Second)))
	wait := t.freeAt.Sub(now)
	t.mutex.Unlock()
	time.Sleep(wait)
}

// copy passes the bytes of a connection on until one side ends.
func (t *throttle) copy(to, from net.Conn) {
	buffer := make([]byte, throttledBytes)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			t.pass(count)
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
