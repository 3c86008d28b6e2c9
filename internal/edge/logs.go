package edge

import (
	"io"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
)

// logBacklog is the number of lines that wait for a slow reader.
const logBacklog = 512

// asyncWriter hands lines to a writer without ever blocking: lines that find
// the backlog full are dropped and counted.
type asyncWriter struct {
	lines   chan []byte
	dropped atomic.Uint64
}

func newAsyncWriter(output io.Writer) *asyncWriter {
	writer := &asyncWriter{lines: make(chan []byte, logBacklog)}
	go writer.run(output)
	return writer
}

func (w *asyncWriter) run(output io.Writer) {
	for line := range w.lines {
		if _, err := output.Write(line); err != nil {
			w.dropped.Add(1)
		}
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

// NewLogger returns a logger of JSON lines that never blocks.
func NewLogger(name string, output io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name: name, Level: hclog.Info, Output: newAsyncWriter(output), JSONFormat: true,
	})
}
