package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// restartDelay is how long the platform takes to start a process again.
const restartDelay = 300 * time.Millisecond

// memoryWatch kills the processes that use more memory than their machine allows, as the platform does.
type memoryWatch struct {
	peak map[*node]float64
	ends map[*node]int
	done chan struct{}
}

// watchMemory watches nodes until ctx ends.
func watchMemory(ctx context.Context, s *stage, nodes []*node, memoryMB int) *memoryWatch {
	watch := &memoryWatch{peak: make(map[*node]float64), ends: make(map[*node]int), done: make(chan struct{})}
	go func() {
		defer close(watch.done)
		for ctx.Err() == nil {
			for _, each := range nodes {
				used := each.privateMB()
				watch.peak[each] = max(watch.peak[each], used)
				if used > float64(memoryMB) {
					s.note("%s uses %.0f MB of %d MB, and is killed", each.name, used, memoryMB)
					watch.ends[each]++
					each.kill()
					time.AfterFunc(restartDelay, func() { _ = each.start(s.root) })
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	return watch
}

// report waits for the end of the watch and notes what the nodes used.
func (m *memoryWatch) report(s *stage) {
	<-m.done
	for each, peak := range m.peak {
		s.note("%s: at most %.0f MB, ended %d times", each.name, peak, m.ends[each])
	}
}

// machines returns on how many machines the process has ended so often.
func (m *memoryWatch) machines(ends int) int {
	count := 0
	for _, each := range m.ends {
		if each >= ends {
			count++
		}
	}
	return count
}

// privateMB returns the process's private memory, without its program file, in MB.
func (n *node) privateMB() float64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.process == nil {
		return 0
	}
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(content), "\n") {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			kilobytes, _ := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kilobytes / 1024
		}
	}
	return 0
}
