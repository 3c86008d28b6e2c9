package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// stage holds what one play of a case has started.
type stage struct {
	root, folder string
	hasTrouble   bool
	began        time.Time

	mutex sync.Mutex
	// record is guarded by mutex.
	record io.Writer
	nodes  []*node
}

func newStage(root, folder string, record io.Writer, hasTrouble bool) *stage {
	return &stage{root: root, folder: folder, record: record, hasTrouble: hasTrouble, began: time.Now()}
}

// note writes a line to the record and to the output, with the seconds since the start.
func (s *stage) note(format string, values ...any) { fmt.Println(s.detail(format, values...)) }

// detail writes a line to the record only, with the seconds since the start, and returns it.
func (s *stage) detail(format string, values ...any) string {
	line := fmt.Sprintf("%7.2f s  ", time.Since(s.began).Seconds()) + fmt.Sprintf(format, values...)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	fmt.Fprintln(s.record, line)
	return line
}

// startNodes starts processes, and waits until all are ready.
func (s *stage) startNodes(nodes []*node, given settings) error {
	var seeds []string
	for _, each := range nodes[:min(3, len(nodes))] {
		seeds = append(seeds, each.peers)
	}
	s.nodes = append(s.nodes, nodes...)
	for _, each := range nodes {
		if err := each.writeSettings(s.folder, given, seeds); err != nil {
			return err
		}
		if err := each.start(s.root); err != nil {
			return err
		}
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, each := range nodes {
			if each.isReady() {
				ready++
			}
		}
		if ready == len(nodes) {
			s.note("%d nodes are ready", ready)
			return nil
		}
	}
	for _, each := range nodes {
		if !each.isReady() {
			// Most likely another process has taken one of its ports.
			log, _ := os.ReadFile(each.log)
			s.note("%s is not ready; the end of its log: %s", each.name, log[max(0, len(log)-400):])
		}
	}
	return errors.New("the nodes do not get ready")
}

// end ends all processes.
func (s *stage) end() {
	for _, each := range s.nodes {
		each.end()
	}
}
