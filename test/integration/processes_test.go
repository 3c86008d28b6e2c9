package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
)

const (
	// startTimeout bounds the start of a process; it is generous, because a
	// busy machine is no fault of the program.
	startTimeout = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

// platform is the stand-ins of one deployment, in a process of their own.
type platform struct {
	session   *gexec.Session
	addresses labapi.Addresses
	admin     *labapi.Client
}

// start runs a program; its output appears when the spec fails.
func start(program string, arguments ...string) *gexec.Session {
	session, err := gexec.Start(exec.Command(program, arguments...), GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { session.Kill().Wait(startTimeout) })
	return session
}

// startPlatform starts the stand-ins of a preset and waits until they listen.
func startPlatform(preset string) *platform {
	file := filepath.Join(GinkgoT().TempDir(), "addresses.json")
	session := start(programs.lab, "standin", "run", "--preset", preset, "--addresses", file)
	var addresses labapi.Addresses
	Eventually(func() error {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		return json.Unmarshal(text, &addresses)
	}, startTimeout, pollInterval).Should(Succeed())
	client := labapi.NewClient(addresses.Admin)
	DeferCleanup(client.Close)
	return &platform{session: session, addresses: addresses, admin: client}
}

// node is one bramblemastd process.
type node struct {
	session   *gexec.Session
	name      string
	callers   string
	operators string
	peers     string
}

// listening is the log line in which a node says where it listens.
type listening struct {
	Message   string `json:"@message"`
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

// nodeOptions are what differs between the nodes of a spec.
type nodeOptions struct {
	name  string
	zone  string
	seeds []string
	// settings are further settings by path.
	settings map[string]string
}

// startNode starts a node on free ports and waits until it listens.
func (p *platform) startNode(options nodeOptions) *node {
	settings := map[string]string{
		"node.name":        options.name,
		"node.zone":        options.zone,
		"node.region":      string(p.addresses.Servers[0].Region),
		"listen.callers":   "127.0.0.1:0",
		"listen.operators": "127.0.0.1:0",
		"listen.peers":     "127.0.0.1:0",
		"store.url":        p.addresses.Store,
		"machine_list.url": p.addresses.MachineList,
		"log.level":        "debug",
	}
	if len(options.seeds) > 0 {
		settings["peers.seeds"] = strings.Join(options.seeds, ",")
	}
	for path, value := range options.settings {
		settings[path] = value
	}
	arguments := make([]string, 0, 2*len(settings))
	for path, value := range settings {
		arguments = append(arguments, "--set", path+"="+value)
	}
	started := &node{name: options.name, session: start(programs.daemon, arguments...)}
	Eventually(started.readAddresses, startTimeout, pollInterval).Should(BeTrue(), "node %s did not start", options.name)
	return started
}

// readAddresses looks for the listening line in what the node logged so far.
func (n *node) readAddresses() bool {
	for _, line := range strings.Split(string(n.session.Err.Contents()), "\n") {
		var found listening
		if json.Unmarshal([]byte(line), &found) == nil && found.Message == "listening" {
			n.callers, n.operators, n.peers = found.Callers, found.Operators, found.Peers
			return true
		}
	}
	return false
}

// url returns the address of a path of the callers' interface.
func (n *node) url(path string) string { return "http://" + n.callers + path }

// waitReady waits until the node takes requests.
func (n *node) waitReady() {
	GinkgoHelper()
	Eventually(func() error {
		response, err := http.Get(n.url("/readyz"))
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("readyz: %s", response.Status)
		}
		return nil
	}, startTimeout, pollInterval).Should(Succeed(), "node %s is not ready", n.name)
}
