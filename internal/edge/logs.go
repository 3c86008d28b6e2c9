package edge

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

// logBacklog is the maximum number of lines that wait for a slow output.
const logBacklog = 512

// asyncWriter passes lines to a writer without ever blocking: if the backlog is full, lines are
// dropped and counted.
type asyncWriter struct {
	lines chan []byte
	// flushes receives a channel for each flush, which is closed when the backlog has been written.
	flushes chan chan struct{}
	dropped atomic.Uint64
}

func newAsyncWriter(output io.Writer) *asyncWriter {
	writer := &asyncWriter{lines: make(chan []byte, logBacklog), flushes: make(chan chan struct{})}
	go writer.run(output)
	return writer
}

// run writes lines until the process ends.
func (w *asyncWriter) run(output io.Writer) {
	for {
		select {
		case line := <-w.lines:
			w.write(output, line)
		case written := <-w.flushes:
			for range len(w.lines) {
				w.write(output, <-w.lines)
			}
			close(written)
		}
	}
}

// write writes one line; if the output fails, the line counts as dropped.
func (w *asyncWriter) write(output io.Writer, line []byte) {
	if _, err := output.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

// Write implements io.Writer.
func (w *asyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// flush waits until all earlier lines have been written, for at most within.
func (w *asyncWriter) flush(within time.Duration) {
	timer := time.NewTimer(within)
	defer timer.Stop()
	written := make(chan struct{})
	select {
	case w.flushes <- written:
	case <-timer.C:
		return
	}
	select {
	case <-written:
	case <-timer.C:
	}
}

// Log is the log of a process. It is safe for concurrent use.
type Log struct {
	writer *asyncWriter
	logger hclog.Logger
}

// OpenLog returns a log of JSON lines that never blocks.
func OpenLog(name string, output io.Writer) *Log {
	writer := newAsyncWriter(output)
	return &Log{writer: writer, logger: hclog.New(&hclog.LoggerOptions{
		Name: name, Level: hclog.Info, Output: writer, JSONFormat: true,
	})}
}

// Logger returns the logger that writes to the log.
func (l *Log) Logger() hclog.Logger { return l.logger }

// Flush waits until all earlier lines have been written, for at most within. Without it a process
// that ends would lose its last lines, which say why it ends.
func (l *Log) Flush(within time.Duration) { l.writer.flush(within) }

// NewLogger returns a logger of JSON lines that never blocks.
func NewLogger(name string, output io.Writer) hclog.Logger { return OpenLog(name, output).Logger() }
