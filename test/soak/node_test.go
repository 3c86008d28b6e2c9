package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bramblemast/bramblemast/internal/edge"
	"github.com/bramblemast/bramblemast/internal/lab/faultproxy"
	"github.com/bramblemast/bramblemast/platform"
)

// node is one real process of the node's program.
type node struct {
	t       *testing.T
	history *history
	program string
	name    string
	clients string
	ready   string
	peers   string
	// advertised is where other nodes reach peers, by way of the proxy.
	advertised string
	// metrics is where the node tells operators of itself; empty for nowhere.
	metrics  string
	settings string
	log      *os.File

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	command *exec.Cmd
	// life counts the processes so far, and startedAt is when the last one began.
	life      int
	startedAt time.Time
	// expected says that the process is meant to end.
	expected bool
	ended    chan struct{}
}

// storeLink returns the name of the link between a node and the store, peerLink that
// of the link from all other nodes to a node.
func storeLink(node string) string { return "store-" + node }
func peerLink(node string) string  { return "peers-" + node }

func (d *deployment) startNodes(program, folder string) {
	var peers, advertised []string
	for index := range d.nodes {
		peers = append(peers, freePort(d.t))
		link := peerLink(fmt.Sprintf("node%d", index))
		address, err := d.proxy.AddLink(faultproxy.LinkConfig{Name: link, Listen: freePort(d.t), Upstream: peers[index]})
		if err != nil {
			d.t.Fatal(err)
		}
		advertised = append(advertised, address)
	}
	for index := range d.nodes {
		name := fmt.Sprintf("node%d", index)
		store, err := d.proxy.AddLink(faultproxy.LinkConfig{Name: storeLink(name), Listen: "127.0.0.1:0", Upstream: d.store.Address()})
		if err != nil {
			d.t.Fatal(err)
		}
		started := &node{
			t: d.t, history: d.history, program: program, name: name, clients: freePort(d.t), ready: freePort(d.t),
			peers: peers[index], advertised: advertised[index], settings: filepath.Join(folder, name+".json"),
		}
		started.log, err = os.Create(filepath.Join(folder, name+".log"))
		if err != nil {
			d.t.Fatal(err)
		}
		if d.shape.hasMetrics {
			started.metrics = freePort(d.t)
		}
		started.writeSettings(d.shape, store, advertised)
		started.start()
		d.running = append(d.running, started)
		d.t.Cleanup(started.close)
	}
	for _, each := range d.running {
		each.awaitReady()
	}
}

func (n *node) writeSettings(shaped shape, store string, peers []string) {
	encoded, err := json.Marshal(edge.Settings{
		Node:   edge.NodeSettings{Name: n.name, Zone: nodeZone, Region: region, Address: "127.0.0.1"},
		Zones:  map[string]string{nodeZone: region, evacuatedZone: region},
		Listen: edge.ListenSettings{Clients: n.clients, Ready: n.ready, Peers: n.peers, PeersAdvertised: n.advertised, MetricsPort: n.metricsPort()},
		Store:  edge.StoreSettings{Address: store},
		Bounds: edge.BoundSettings{
			DrainMillis: int(shaped.drainBound.Milliseconds()), ApplyMillis: int(shaped.configBound.Milliseconds()), ContactMillis: int(contactBound.Milliseconds()),
			EvacuateMillis:        int(shaped.drainBound.Milliseconds()),
			RefuseUnconfirmedKeys: shaped.revokeBound > 0, RevokeMillis: int(shaped.revokeBound.Milliseconds()),
			LimitWindowSeconds: limitWindow.Seconds(), LimitOvershoot: limitOvershoot, LimitSlack: limitSlack,
			GraceSeconds: graceBound.Seconds(), ExtraRatio: extraRatio, Extra: extraBound, ExtraWindowSeconds: extraWindow.Seconds(),
		},
		Peers: peers,
	})
	if err == nil {
		err = os.WriteFile(n.settings, encoded, 0o600)
	}
	if err != nil {
		n.t.Fatal(err)
	}
}

// metricsPort returns the port of the metrics; zero for none.
func (n *node) metricsPort() int {
	if n.metrics == "" {
		return 0
	}
	address, err := netip.ParseAddrPort(n.metrics)
	if err != nil {
		n.t.Fatal(err)
	}
	return int(address.Port())
}

// start starts the next process.
func (n *node) start() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	command := exec.Command(n.program, "--settings", n.settings)
	command.Stdout, command.Stderr = n.log, n.log
	if err := command.Start(); err != nil {
		n.t.Error(err)
		return
	}
	n.command, n.expected = command, false
	n.startedAt = time.Now()
	n.life++
	ended := make(chan struct{})
	n.ended = ended
	go n.await(command, ended)
}

// await notes how a process ends.
func (n *node) await(command *exec.Cmd, ended chan struct{}) {
	err := command.Wait()
	n.mutex.Lock()
	expected := n.expected
	n.mutex.Unlock()
	if !expected {
		n.history.violated("%s ended by itself: %v", n.name, err)
	}
	close(ended)
}

// currentLife returns the number of the running process.
func (n *node) currentLife() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.life
}

// age returns how long ago the running process began.
func (n *node) age() time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return time.Since(n.startedAt)
}

func (n *node) signal(signal os.Signal) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	_ = n.command.Process.Signal(signal)
}

// end ends the process by a signal and waits for it.
func (n *node) end(signal syscall.Signal, patience time.Duration) bool {
	n.mutex.Lock()
	n.expected = true
	process, ended := n.command.Process, n.ended
	n.mutex.Unlock()
	_ = process.Signal(signal)
	select {
	case <-ended:
		return true
	case <-time.After(patience):
		_ = process.Kill()
		<-ended
		return false
	}
}

func (n *node) close() {
	n.signal(syscall.SIGCONT)
	n.end(syscall.SIGKILL, time.Minute)
	_ = n.log.Close()
}

// isReady asks as the platform does.
func (n *node) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (n *node) awaitReady() {
	for range 600 {
		if n.isReady() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	n.t.Errorf("%s is not ready", n.name)
}
