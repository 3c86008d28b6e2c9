package edge

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

// logBacklog is the number of lines that wait for a slow reader.
const logBacklog = 512

// asyncWriter hands lines to a writer without ever blocking: lines that find
// the backlog full are dropped and counted.
type asyncWriter struct {
	lines chan []byte
	// flushes takes a channel for each flush; it is closed when the lines of the backlog are written.
	flushes chan chan struct{}
	dropped atomic.Uint64
}

func newAsyncWriter(output io.Writer) *asyncWriter {
	writer := &asyncWriter{lines: make(chan []byte, logBacklog), flushes: make(chan chan struct{})}
	go writer.run(output)
	return writer
}

// run writes lines for as long as the process lives.
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

// write writes one line; one that the output does not take counts as dropped.
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

// flush waits until the lines before it are written, for at most within.
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

// Log takes the lines of a process. It is safe for concurrent use.
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

// Logger returns the logger whose lines the log takes.
func (l *Log) Logger() hclog.Logger { return l.logger }

// Flush waits until the lines so far are written, for at most within: otherwise a process that ends
// would lose its last lines, which say why it ends.
func (l *Log) Flush(within time.Duration) { l.writer.flush(within) }

// NewLogger returns a logger of JSON lines that never blocks.
func NewLogger(name string, output io.Writer) hclog.Logger { return OpenLog(name, output).Logger() }
