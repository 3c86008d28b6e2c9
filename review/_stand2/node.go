package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// node is one process of the product, started as the deploy file says.
type node struct {
	name, zone, region    string
	clients, ready, peers string
	file, log             string
	// store is the address of the store for this node; empty for the store's own.
	store string

	mutex   sync.Mutex
	process *exec.Cmd
	stopped bool
}

// smallBounds are the bounds in the settings of the site valgsok.
var smallBounds = map[string]any{
	"drain_ms": 3000, "apply_ms": 3000, "contact_ms": 5000, "grace_s": 6, "extra_ratio": 0.2, "extra": 58, "extra_window_s": 10,
}

// grownBounds are the bounds in the settings of the Valgsøk site once grown.
var grownBounds = map[string]any{
	"drain_ms": 5000, "apply_ms": 5000, "contact_ms": 6000, "grace_s": 6, "extra_ratio": 0.2, "extra": 180, "extra_window_s": 10,
}

// newNode chooses free loopback ports for a node.
func newNode(name, zone, region string) *node {
	return &node{name: name, zone: zone, region: region, clients: freeAddress(), ready: freeAddress(), peers: freeAddress()}
}

// Ports of nodes are below those that the system gives to outgoing connections, which could take a
// free port before the node does.
const (
	firstPort = 15000
	lastPort  = 31000
)

// usedPorts are the ports given to nodes; only the goroutine of the case uses it.
var usedPorts = make(map[int]bool)

// freeAddress returns a loopback address that is free now.
func freeAddress() string {
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if usedPorts[port] {
			continue
		}
		usedPorts[port] = true
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address
	}
}

// settings are what the settings of all nodes have in common.
type settings struct {
	store    string
	zones    map[string]string
	memoryMB int
	bounds   map[string]any
}

// descriptors is the limit on open files of the machines on the users' sheets.
const descriptors = 4100

// writeSettings writes the settings file with the fields of deploy/edge.json.
func (n *node) writeSettings(folder string, given settings, seeds []string) error {
	n.file, n.log = filepath.Join(folder, n.name+".json"), filepath.Join(folder, n.name+".log")
	encoded, err := json.Marshal(map[string]any{
		"node":   map[string]any{"name": n.name, "zone": n.zone, "region": n.region, "address": "127.0.0.1", "first_start": true},
		"zones":  given.zones,
		"listen": map[string]any{"clients": n.clients, "ready": n.ready, "peers": n.peers},
		"store":  map[string]any{"address": cmp.Or(n.store, given.store)},
		"limits": map[string]any{"memory_mb": given.memoryMB, "descriptors": descriptors},
		"bounds": given.bounds, "peers": seeds,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(n.file, encoded, 0o600)
}

// start starts the process.
func (n *node) start(root string) error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.stopped {
		return errors.New("the case has ended")
	}
	output, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	n.process = exec.Command(filepath.Join(root, "target/bramblemast-edge"))
	n.process.Dir = root
	n.process.Env = []string{"PATH=" + os.Getenv("PATH"), "BRAMBLEMAST_BOOT=" + n.file}
	n.process.Stdout, n.process.Stderr = output, output
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return n.process.Start()
}

// kill ends the process at once and waits for its end.
func (n *node) kill() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.process != nil {
		_ = n.process.Process.Kill()
		_ = n.process.Wait()
		n.process = nil
	}
}

// end ends the process for good.
func (n *node) end() {
	n.mutex.Lock()
	n.stopped = true
	n.mutex.Unlock()
	n.kill()
}

// isReady asks the node as the platform does.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// role returns how the node reads the store, from its log.
func (n *node) role() string {
	content, err := os.ReadFile(n.log)
	if err != nil {
		return ""
	}
	role := ""
	for _, line := range strings.Split(string(content), "\n") {
		if _, rest, found := strings.Cut(line, `"role":"`); found {
			role, _, _ = strings.Cut(rest, `"`)
		}
	}
	return role
}
