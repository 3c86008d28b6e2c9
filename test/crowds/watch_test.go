package crowds

import (
	"bufio"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"
)

// usage is what a process takes of its machine.
type usage struct {
	// bytes is its resident memory together with what its sockets hold: bytes that arrived and were not
	// read yet, and bytes that were written and have not arrived yet.
	bytes       int64
	descriptors int
}

// sampleInterval is how often the usage is measured.
const sampleInterval = 10 * time.Millisecond

// watcher measures the peak usage of a node's process.
type watcher struct {
	done    chan struct{}
	stopped chan usage
}

func watch(d *deployment) *watcher {
	started := &watcher{done: make(chan struct{}), stopped: make(chan usage, 1)}
	ports := []uint16{port(d.clients), port(d.server.Address())}
	go started.run(d.command.Process.Pid, ports[0], ports[1])
	return started
}

func port(address string) uint16 { return netip.MustParseAddrPort(address).Port() }

// run samples the usage until stop is called. A sample that fails, since the process has ended, counts
// as nothing.
func (w *watcher) run(process int, clients, server uint16) {
	var peak usage
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		peak.bytes = max(peak.bytes, residentBytes(process)+socketBytes(clients, server))
		peak.descriptors = max(peak.descriptors, openDescriptors(process))
		select {
		case <-w.done:
			w.stopped <- peak
			return
		case <-ticker.C:
		}
	}
}

// stop returns the peak.
func (w *watcher) stop() usage {
	close(w.done)
	return <-w.stopped
}

// residentBytes returns the resident memory of a process; zero if it has ended.
func residentBytes(process int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		if len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
			if err == nil {
				return kilobytes << 10
			}
		}
	}
	return 0
}

func openDescriptors(process int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", process))
	if err != nil {
		return 0
	}
	return len(entries)
}

// socketBytes returns what the node's sockets to clients and to the server hold.
func socketBytes(clients, server uint16) int64 {
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = table.Close() }() // It is only read.
	var sum int64
	lines := bufio.NewScanner(table)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		const local, remote, queues = 1, 2, 4
		if len(fields) <= queues || hexPort(fields[local]) != clients && hexPort(fields[remote]) != server {
			continue
		}
		sent, received, _ := strings.Cut(fields[queues], ":")
		sum += hexNumber(sent) + hexNumber(received)
	}
	return sum
}

func hexPort(address string) uint16 {
	_, port, _ := strings.Cut(address, ":")
	return uint16(hexNumber(port))
}

// hexNumber parses a number of /proc/net/tcp; its heading counts as zero.
func hexNumber(text string) int64 {
	number, err := strconv.ParseInt(text, 16, 64)
	if err != nil {
		return 0
	}
	return number
}
