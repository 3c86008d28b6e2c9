package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start. It is safe for
// concurrent use.
type record struct {
	began time.Time

	mutex sync.Mutex
	// file and output are guarded by mutex.
	file   *os.File
	output *bufio.Writer
}

// openRecord creates the file of a record.
func openRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, output: bufio.NewWriter(file)}, nil
}

// note writes one line.
func (r *record) note(format string, values ...any) {
	elapsed := time.Since(r.began).Seconds()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.output, "%8.3f ", elapsed)
	_, _ = fmt.Fprintf(r.output, format+"\n", values...)
}

// say writes one line to the record and to the standard output.
func (r *record) say(format string, values ...any) {
	r.note(format, values...)
	fmt.Printf(format+"\n", values...)
}

// close writes what is buffered and closes the file.
func (r *record) close() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err := r.output.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
