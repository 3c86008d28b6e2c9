package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/bramblemast/bramblemast/pkg/target"
)

const (
	// startTimeout bounds the start and the end of a process; it is generous,
	// because a busy machine is no fault of the program.
	startTimeout = 60 * time.Second
	pollInterval = 20 * time.Millisecond
	anyPort      = "127.0.0.1:0"
)

// start runs a program; its output appears when the spec fails. The program is
// killed at the end of the spec.
func start(program string, arguments ...string) *gexec.Session {
	GinkgoHelper()
	session, err := gexec.Start(exec.Command(program, arguments...), GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		_ = session.Command.Process.Signal(syscall.SIGCONT)
		session.Kill().Wait(startTimeout)
	})
	return session
}

// readJSON waits until a file holds a whole JSON document.
func readJSON(file string, into any) {
	GinkgoHelper()
	Eventually(func() error {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		return json.Unmarshal(text, into)
	}, startTimeout, pollInterval).Should(Succeed())
}

// node is one bramblemastd process.
type node struct {
	session   *gexec.Session
	name      string
	zone      target.Zone
	arguments []string
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

// startNode starts a node with the given settings by path and waits until it
// listens.
func startNode(name string, zone target.Zone, settings map[string]string) *node {
	GinkgoHelper()
	started := &node{name: name, zone: zone}
	for path, value := range settings {
		started.arguments = append(started.arguments, "--set", path+"="+value)
	}
	started.run()
	return started
}

// run starts the process, also again after it ended.
func (n *node) run() {
	GinkgoHelper()
	n.session = start(programs.daemon, n.arguments...)
	Eventually(n.readAddresses, startTimeout, pollInterval).Should(BeTrue(), "node %s did not start", n.name)
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

// ready asks the node whether it takes requests.
func (n *node) ready() error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + n.callers + "/readyz")
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("readyz: %s", response.Status)
	}
	return nil
}

func (n *node) waitReady() {
	GinkgoHelper()
	Eventually(n.ready, startTimeout, pollInterval).Should(Succeed(), "node %s is not ready", n.name)
}

// signal sends a signal to the process.
func (n *node) signal(signal syscall.Signal) {
	GinkgoHelper()
	Expect(n.session.Command.Process.Signal(signal)).To(Succeed())
}

// kill ends the process as a crash does.
func (n *node) kill() {
	GinkgoHelper()
	n.session.Kill().Wait(startTimeout)
}

// stop does a planned stop and waits for its end.
func (n *node) stop() {
	GinkgoHelper()
	n.session.Terminate()
	Eventually(n.session, startTimeout).Should(gexec.Exit(0), "planned stop of %s", n.name)
}
