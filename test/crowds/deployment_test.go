// Package crowds tests a node as a real process against clients that the limits of a deployment do not
// bind: many at once, which do not finish what they send or hardly read what they receive. It checks
// that the process lives within the memory and descriptors of its machine, that other callers are
// answered meanwhile, and that what is refused has not run. It gives no verdict on times or on the
// share of requests that are served.
package crowds

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/bramblemast/bramblemast/internal/edge"
	"github.com/bramblemast/bramblemast/platform/platformtest"
)

// The machine of the node and the crowd, which is far larger than the machine.
const (
	memoryMB = 128
	// descriptors is the limit of the machine, of which reservedDescriptors are for files.
	descriptors         = 600
	reservedDescriptors = 200
	maxBodyBytes        = 1 << 20
	crowdSize           = 500
)

// crowdSpan is how long the clients of a crowd stay; patience is how long a test waits for what should
// happen at once.
const (
	crowdSpan = 10 * time.Second
	patience  = time.Minute
)

const host = "h.example"

// deployment is a node's process with one service of one server.
type deployment struct {
	t       *testing.T
	g       *WithT
	store   *platformtest.Store
	server  *platformtest.Server
	clients string
	command *exec.Cmd
	ended   chan struct{}
}

func startDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, g: NewWithT(t), store: platformtest.StartStore(), clients: freeAddress(t), ended: make(chan struct{})}
	t.Cleanup(d.store.Close)
	d.server = platformtest.StartServer(d.store, "i-1", "a", "z")
	t.Cleanup(d.server.Close)
	d.store.SetMaxBodyBytes(maxBodyBytes)
	order := platformtest.Single("order", host, "/order/", "non_idempotent", "a")
	lookup := platformtest.Single("lookup", host, "/lookup/", "idempotent", "a")
	order["TimeoutMs"], lookup["TimeoutMs"] = patience.Milliseconds(), patience.Milliseconds()
	d.store.Configure(1, order, lookup)
	program, err := gexec.Build("github.com/bramblemast/bramblemast/cmd/bramblemast-edge")
	d.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(gexec.CleanupBuildArtifacts)
	d.start(t, program, d.writeSettings(t))
	d.g.Eventually(func() (int, error) { return d.lookUp("first") }, patience, "50ms").Should(Equal(http.StatusOK))
	return d
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // The port is for another process.
	return listener.Addr().String()
}

func (d *deployment) writeSettings(t *testing.T) string {
	t.Helper()
	encoded, err := json.Marshal(edge.Settings{
		Node:   edge.NodeSettings{Name: "n1", Zone: "z", Region: "r", Address: "127.0.0.1"},
		Zones:  map[string]string{"z": "r"},
		Listen: edge.ListenSettings{Clients: d.clients, Ready: freeAddress(t), Peers: freeAddress(t)},
		Store:  edge.StoreSettings{Address: d.store.Address()},
		Limits: edge.LimitSettings{MemoryMB: memoryMB, Descriptors: descriptors},
		Bounds: edge.BoundSettings{
			DrainMillis: 3000, ContactMillis: 5000, GraceSeconds: 1, ExtraRatio: 0.2, Extra: 50, ExtraWindowSeconds: 10,
		},
	})
	d.g.Expect(err).NotTo(HaveOccurred())
	path := filepath.Join(t.TempDir(), "edge.json")
	d.g.Expect(os.WriteFile(path, encoded, 0o600)).To(Succeed())
	return path
}

func (d *deployment) start(t *testing.T, program, settings string) {
	t.Helper()
	d.command = exec.Command(program, "--settings", settings)
	log, err := os.Create(filepath.Join(t.TempDir(), "node.log"))
	d.g.Expect(err).NotTo(HaveOccurred())
	d.command.Stdout, d.command.Stderr = log, log
	d.g.Expect(d.command.Start()).To(Succeed())
	go func() {
		defer close(d.ended)
		_ = d.command.Wait() // The test asks only whether the process has ended.
	}()
	t.Cleanup(func() {
		_ = d.command.Process.Kill() // It may have ended.
		<-d.ended
		_ = log.Close() // Nothing reads it any more.
	})
}

// lookUp sends one ordinary request on a connection of its own and returns its status.
func (d *deployment) lookUp(id string) (int, error) {
	client := &platformtest.Client{Address: d.clients, HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	answer, err := client.Do(ctx, http.MethodGet, host, "/lookup/"+id, id, "", patience)
	return answer.Status, err
}

// expectOrdinaryAnswer checks that an ordinary request is answered. It is sent again as its caller would
// after a refusal.
func (d *deployment) expectOrdinaryAnswer(name string) {
	attempt := 0
	d.g.Eventually(func() (int, error) {
		attempt++
		return d.lookUp(fmt.Sprintf("ordinary-%s-%d", name, attempt))
	}, patience, "100ms").Should(Equal(http.StatusOK))
}

// crowd is what the clients of a crowd do; each is called with its number and returns what it was told.
type crowd func(client int) told

// told is the status that a client got for a request, or zero if its connection ended before.
type told struct {
	id     string
	status int
}

// withstand runs a crowd and checks what must hold while it is there and afterwards.
func (d *deployment) withstand(crowd crowd) {
	watched := watch(d)
	results := make([]told, crowdSize)
	var clients sync.WaitGroup
	for client := range crowdSize {
		clients.Go(func() { results[client] = crowd(client) })
	}
	time.Sleep(crowdSpan / 2)
	d.expectOrdinaryAnswer("meanwhile")
	clients.Wait()
	d.expectOrdinaryAnswer("afterwards")
	peak := watched.stop()
	d.t.Logf("peak: %d MiB, %d descriptors", peak.bytes>>20, peak.descriptors)
	d.g.Expect(d.ended).NotTo(BeClosed(), "the process lives")
	d.g.Expect(peak.bytes).To(BeNumerically("<", memoryMB<<20), "memory of the process with what its sockets hold")
	d.g.Expect(peak.descriptors).To(BeNumerically("<=", descriptors-reservedDescriptors))
	d.expectTrueRefusals(results)
}

// expectTrueRefusals checks that no request ran whose answer promises that it has not.
func (d *deployment) expectTrueRefusals(results []told) {
	runs := make(map[string]int)
	for _, each := range d.server.Received() {
		runs[each.ID]++
	}
	for _, each := range results {
		isRefusal := each.status == http.StatusServiceUnavailable || each.status == http.StatusTooManyRequests ||
			each.status == http.StatusRequestTimeout
		if isRefusal {
			d.g.Expect(runs[each.id]).To(BeZero(), each.id)
		}
		if strings.HasPrefix(each.id, "order") {
			d.g.Expect(runs[each.id]).To(BeNumerically("<=", 1), each.id)
		}
	}
}
