package faultproxy

import (
	"io"
	"math/rand/v2"
	"net"
	"time"

	"github.com/pkg/errors"
)

// Sizes of the buffer between the reading and the writing of one direction.
const (
	chunkBytes     = 16 << 10
	bufferedChunks = 128
)

// direction is the way that bytes flow.
type direction int

const (
	toServer direction = iota
	toClient
)

// of returns the faults of the direction.
func (d direction) of(faults Faults) DirectionFaults {
	if d == toServer {
		return faults.ToServer
	}
	return faults.ToClient
}

// chunk is bytes that were read, or the end of the source, and when they may
// leave.
type chunk struct {
	content []byte
	due     time.Time
	end     sourceEnd
}

// sourceEnd is how a source ended.
type sourceEnd int

const (
	notEnded sourceEnd = iota
	// endedWhole means that the peer closed its side.
	endedWhole
	// endedBroken means that the connection was reset or lost.
	endedBroken
)

// pump moves the bytes of one direction. The end of the source is passed on
// after the last byte, and the other direction goes on.
func (c *connection) pump(source, sink net.Conn, way direction) {
	chunks := make(chan chunk, bufferedChunks)
	go c.read(source, way, chunks)
	whole := c.write(sink, way, chunks)
	if !whole {
		c.cancel()
	}
	for range chunks {
		// The reader ends once its source is closed.
	}
	if whole {
		closeWrite(sink)
		c.endAfterBoth()
	}
}

// read fills the buffer; it is the only sender on chunks and closes it.
func (c *connection) read(source net.Conn, way direction, chunks chan<- chunk) {
	defer close(chunks)
	random := c.random(way)
	var last time.Time
	for end := notEnded; end == notEnded; {
		content := make([]byte, chunkBytes)
		count, err := source.Read(content)
		end = endOf(err)
		last = dueTime(way.of(c.faults.Get()), random, last)
		select {
		case chunks <- chunk{content: content[:count], due: last, end: end}:
		case <-c.context.Done():
			return
		}
	}
}

func endOf(err error) sourceEnd {
	switch {
	case err == nil:
		return notEnded
	case errors.Is(err, io.EOF):
		return endedWhole
	default:
		return endedBroken
	}
}

// dueTime draws when bytes that were read now may leave, never before those
// read earlier.
func dueTime(faults DirectionFaults, random *rand.Rand, last time.Time) time.Time {
	due := time.Now().Add(faults.Delay.Std())
	if faults.Jitter > 0 {
		due = due.Add(time.Duration(random.Int64N(int64(faults.Jitter))))
	}
	if due.Before(last) {
		return last
	}
	return due
}

// write empties the buffer into the sink. It reports true at the end of the
// source, false if the connection is to end at once.
func (c *connection) write(sink net.Conn, way direction, chunks <-chan chunk) bool {
	var budget resetBudget
	for next := range chunks {
		if !c.sleepUntil(next.due) || !c.waitWhileStalled(way) {
			return false
		}
		faults := way.of(c.faults.Get())
		allowed, exhausted := budget.take(faults.ResetAfterBytes, len(next.content))
		if !c.writePaced(sink, next.content[:allowed], faults.BytesPerSecond) {
			return false
		}
		c.count(way, allowed)
		if exhausted || next.end == endedBroken {
			c.owner.resets.Add(1)
			reset(sink)
			reset(c.client)
			return false
		}
		if next.end == endedWhole {
			return true
		}
	}
	return false
}

// writePaced writes the bytes, and waits as long as they take at the bandwidth.
func (c *connection) writePaced(sink net.Conn, content []byte, bytesPerSecond int64) bool {
	if _, err := sink.Write(content); err != nil {
		return false
	}
	if bytesPerSecond <= 0 {
		return true
	}
	took := time.Duration(float64(len(content)) / float64(bytesPerSecond) * float64(time.Second))
	return c.sleepUntil(time.Now().Add(took))
}

func (c *connection) count(way direction, bytes int) {
	if way == toServer {
		c.owner.bytesToServer.Add(uint64(bytes))
		return
	}
	c.owner.bytesToClient.Add(uint64(bytes))
}

func (c *connection) waitWhileStalled(way direction) bool {
	_, flows := c.faults.Wait(c.context, func(faults Faults) bool { return !way.of(faults).Stall })
	return flows
}

// sleepUntil waits and reports false if the connection ended first.
func (c *connection) sleepUntil(moment time.Time) bool {
	wait := time.Until(moment)
	if wait <= 0 {
		return c.context.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.context.Done():
		return false
	}
}

// endAfterBoth ends the connection once both directions are over.
func (c *connection) endAfterBoth() {
	if c.ended.Add(1) == 2 {
		c.cancel()
	}
}

func closeWrite(side net.Conn) {
	if tcp, ok := side.(*net.TCPConn); ok {
		// It ends anyhow: an error tells nothing more.
		_ = tcp.CloseWrite()
	}
}

// resetBudget counts the bytes that a connection may still pass.
type resetBudget struct {
	limit  int64
	passed int64
}

// take returns how many of the bytes may pass, and whether the connection ends
// after them. A changed limit starts a new count.
func (b *resetBudget) take(limit int64, bytes int) (int, bool) {
	if limit != b.limit {
		b.limit, b.passed = limit, 0
	}
	if limit == 0 {
		return bytes, false
	}
	allowed := min(int64(bytes), limit-b.passed)
	b.passed += allowed
	return int(allowed), b.passed == limit
}
