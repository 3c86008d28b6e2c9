package load

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// progress counts what happened since the last line.
type progress struct {
	offered, answered, refused, failed atomic.Int64
	outstanding                        atomic.Int64
	// worst is the greatest latency in microseconds.
	worst atomic.Int64
}

func (p *progress) finished(done finished) {
	switch {
	case done.last.Reason() == "":
		p.answered.Add(1)
	case done.last.Refused():
		p.refused.Add(1)
	default:
		p.failed.Add(1)
	}
	micros := done.latency().Microseconds()
	for {
		seen := p.worst.Load()
		if micros <= seen || p.worst.CompareAndSwap(seen, micros) {
			return
		}
	}
}

// write prints the counts and starts them again.
func (p *progress) write(output io.Writer, elapsed time.Duration) {
	fmt.Fprintf(output, "%4.0fs offered=%d answered=%d refused=%d failed=%d outstanding=%d worst=%s\n",
		elapsed.Seconds(), p.offered.Swap(0), p.answered.Swap(0), p.refused.Swap(0), p.failed.Swap(0),
		p.outstanding.Load(), time.Duration(p.worst.Swap(0))*time.Microsecond)
}

// run prints a line each second until stop is closed.
func (p *progress) run(output io.Writer, stop <-chan struct{}) {
	start := time.Now()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			p.write(output, time.Since(start))
		}
	}
}
