package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Times of starting and stopping a node.
const (
	readyTimeout = 15 * time.Second
	readyPoll    = 20 * time.Millisecond
	// graceSeconds is GraceS of the pages: the time between SIGTERM and SIGKILL.
	graceSeconds = 6
)

// node is one process of bramblemast-edge with its addresses.
type node struct {
	name, zone, address   string
	clients, ready, peers string
	settingsPath          string
	process               *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// started holds the processes that were started and have not ended, so that they end with this one. It
// is safe for concurrent use.
type started struct {
	mutex sync.Mutex
	// processes is guarded by mutex.
	processes map[*os.Process]bool
}

// running are the processes of this case.
var running = &started{processes: make(map[*os.Process]bool)}

func (s *started) add(process *os.Process) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.processes[process] = true
}

func (s *started) remove(process *os.Process) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.processes, process)
}

// kill ends all of them.
func (s *started) kill() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for process := range s.processes {
		_ = process.Kill() // It may have ended by itself.
	}
}

// killOnSignal ends this process and all that it started when it is told to stop.
func killOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		running.kill()
		os.Exit(exitNotRun)
	}()
}

// nodeOptions say how nodes are started.
type nodeOptions struct {
	// program is the path of bramblemast-edge; root is the folder that it runs in.
	program, root string
	// folder receives settings files and logs.
	folder string
	store  string
}

// startNodes starts a number of nodes, one zone each, and waits until all are ready.
func startNodes(options nodeOptions, count int) ([]*node, error) {
	nodes := make([]*node, count)
	network, err := freeNetwork(count)
	if err != nil {
		return nil, err
	}
	for index := range nodes {
		nodes[index] = newNode(network, index)
	}
	for _, each := range nodes {
		if err := each.writeSettings(options, nodes); err != nil {
			return nil, err
		}
		if err := each.start(options); err != nil {
			stopNodes(nodes)
			return nil, err
		}
	}
	for _, each := range nodes {
		if err := each.awaitReady(); err != nil {
			stopNodes(nodes)
			return nil, err
		}
	}
	return nodes, nil
}

// Ports of a node, alike at all nodes.
const (
	peersPort   = 8224
	clientsPort = 8226
	readyPort   = 8227
	metricsPort = 9464
)

// newNode returns a node with an address of its own in a loopback network.
func newNode(network string, index int) *node {
	address := nodeAddress(network, index)
	return &node{
		name: fmt.Sprintf("edge-%d", index+1), zone: zoneName(index), address: address,
		clients: fmt.Sprintf("%s:%d", address, clientsPort), ready: fmt.Sprintf("%s:%d", address, readyPort),
		peers: fmt.Sprintf("%s:%d", address, peersPort),
	}
}

func zoneName(index int) string { return fmt.Sprintf("zone-%d", index+1) }

func nodeAddress(network string, index int) string { return fmt.Sprintf("%s.%d", network, index+1) }

// networkTries is how many loopback networks are tried before a case gives up.
const networkTries = 20

// freeNetwork returns a loopback network, as its first three bytes, where the ports of a number of
// nodes are free.
func freeNetwork(count int) (string, error) {
	for range networkTries {
		network := fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256))
		if isFree(network, count) {
			return network, nil
		}
	}
	return "", errors.New("no free loopback network was found")
}

func isFree(network string, count int) bool {
	for index := range count {
		for _, port := range []int{peersPort, clientsPort, readyPort, metricsPort} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", nodeAddress(network, index), port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// writeSettings writes the settings file of a node, with the fields of the deploy file's template and
// the bounds of a small deployment.
func (n *node) writeSettings(options nodeOptions, all []*node) error {
	zones, seeds := make(map[string]string), make([]string, 0, len(all))
	for index, each := range all {
		zones[each.zone] = fmt.Sprintf("region-%d", index+1)
		seeds = append(seeds, each.peers)
	}
	settings := map[string]any{
		"node": map[string]any{
			"name": n.name, "zone": n.zone, "region": zones[n.zone], "address": n.address, "first_start": true,
		},
		"zones":  zones,
		"listen": map[string]any{"clients": n.clients, "ready": n.ready, "peers": n.peers, "metrics_port": metricsPort},
		"store":  map[string]any{"address": options.store},
		"limits": map[string]any{"memory_mb": 284, "descriptors": 4100},
		"bounds": map[string]any{
			"drain_ms": 3000, "apply_ms": 3000, "contact_ms": 5000, "grace_s": graceSeconds,
			"extra_ratio": 0.2, "extra": 58, "extra_window_s": 10,
		},
		"peers": seeds[:min(len(seeds), 3)],
	}
	encoded, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	n.settingsPath = filepath.Join(options.folder, n.name+".json")
	return os.WriteFile(n.settingsPath, encoded, 0o600)
}

// start starts the process with the command of the deploy file.
func (n *node) start(options nodeOptions) error {
	log, err := os.OpenFile(filepath.Join(options.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.process = exec.Command(options.program)
	n.process.Dir = options.root
	n.process.Env = []string{"BRAMBLEMAST_BOOT=" + n.settingsPath, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	n.process.Stdout, n.process.Stderr = log, log
	if err := n.process.Start(); err != nil {
		return err
	}
	process, ended := n.process, make(chan struct{})
	n.ended = ended
	running.add(process.Process)
	go func() {
		_ = process.Wait() // How it ended is of no interest here.
		running.remove(process.Process)
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// awaitReady waits until the node says that it is ready.
func (n *node) awaitReady() error {
	for began := time.Now(); time.Since(began) < readyTimeout; time.Sleep(readyPoll) {
		if n.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s was not ready in time", n.name)
}

// isReady asks the node once whether it is ready.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + n.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// terminate sends SIGTERM, and SIGKILL after the grace time, and returns when the process has ended.
func (n *node) terminate() {
	_ = n.process.Process.Signal(syscall.SIGTERM)
	select {
	case <-n.ended:
	case <-time.After(graceSeconds * time.Second):
		_ = n.process.Process.Kill()
		<-n.ended
	}
}

// stopNodes kills the processes that are left and waits for their end.
func stopNodes(nodes []*node) {
	for _, each := range nodes {
		if each.process != nil && each.process.Process != nil && each.ended != nil {
			_ = each.process.Process.Kill()
			<-each.ended
		}
	}
}
