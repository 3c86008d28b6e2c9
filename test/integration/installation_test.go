package integration

import (
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/examples"
	"github.com/bramblemast/bramblemast/internal/lab/faultproxy"
	"github.com/bramblemast/bramblemast/internal/lab/load"
	"github.com/bramblemast/bramblemast/internal/lab/oracle"
	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
	"github.com/bramblemast/bramblemast/internal/lab/topology"
	"github.com/bramblemast/bramblemast/pkg/catalog"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// Names of proxy links.
const (
	linkStore       = "store"
	linkMachineList = "machine-list"
)

// installation is a deployment's stand-ins, the fault-injecting proxy and one
// node in each zone, all as processes of their own. Nodes reach the platform,
// the back ends and each other only through the proxy.
type installation struct {
	ctx         context.Context
	deployment  *topology.Deployment
	addresses   labapi.Addresses
	admin       *labapi.Client
	proxy       *faultproxy.Client
	store       string
	machineList string
	nodes       []*node
	oracle      *oracle.Oracle
	// listed holds the machine-list entry of each back end, by its own address;
	// the entry has the address of the link before it.
	listed map[target.ServerID]labapi.Machine
	// exchanges sees what every load sent and got.
	exchanges *exchangeLog
	// operatorHTTP bounds what the spec asks of operators' listeners.
	operatorHTTP *http.Client
	// loads counts the loads, which need names of their own.
	loads int
}

// newInstallation starts everything, publishes the example templates and
// returns when every node has them in force and knows every back end.
func newInstallation(ctx context.Context, preset string) *installation {
	GinkgoHelper()
	i := &installation{ctx: ctx, deployment: topology.Preset(preset), operatorHTTP: &http.Client{Timeout: 5 * time.Second}}
	DeferCleanup(i.operatorHTTP.CloseIdleConnections)
	i.startPlatform(preset)
	i.startProxy()
	i.routeBackends()
	for index := range i.deployment.Zones() {
		i.addNode(fmt.Sprintf("node-%d", index), index)
	}
	for _, one := range i.nodes {
		one.waitReady()
	}
	i.publishExamples(preset)
	i.waitForBackends()
	return i
}

func (i *installation) startPlatform(preset string) {
	GinkgoHelper()
	file := filepath.Join(GinkgoT().TempDir(), "addresses.json")
	start(programs.lab, "standin", "run", "--log-level", "warn", "--preset", preset, "--addresses", file)
	readJSON(file, &i.addresses)
	i.admin = labapi.NewClient(i.addresses.Admin)
	DeferCleanup(i.admin.Close)
}

// startProxy runs the proxy on a control port that it chooses itself, which it
// prints as the first document of its output.
func (i *installation) startProxy() {
	GinkgoHelper()
	file := filepath.Join(GinkgoT().TempDir(), "proxy.yaml")
	writeFile(file, "seed: 7\ncontrol: "+anyPort+"\n")
	session := start(programs.lab, "proxy", "run", "--log-level", "warn", file)
	var printed struct {
		Control string `json:"control"`
	}
	Eventually(func() error { return decode(session.Out.Contents(), &printed) }, startTimeout, pollInterval).Should(Succeed())
	i.proxy = faultproxy.NewClient(printed.Control)
	DeferCleanup(i.proxy.Close)
	i.store = "http://" + i.addLink(linkStore, hostOf(i.addresses.Store), "")
	i.machineList = "http://" + i.addLink(linkMachineList, hostOf(i.addresses.MachineList), "") + pathOf(i.addresses.MachineList)
}

func (i *installation) addLink(name, upstream string, zone target.Zone) string {
	GinkgoHelper()
	address, err := i.proxy.AddLink(i.ctx, faultproxy.LinkConfig{Name: name, Listen: anyPort, Upstream: upstream, Zone: string(zone)})
	Expect(err).NotTo(HaveOccurred())
	return address
}

// routeBackends puts a link before every back end and lists the links in place
// of the servers.
func (i *installation) routeBackends() {
	GinkgoHelper()
	i.listed = make(map[target.ServerID]labapi.Machine)
	for _, server := range i.addresses.Servers {
		machine := labapi.Machine{Address: string(server.Address), Role: labapi.RoleBackend, Zone: server.Zone,
			Region: server.Region, Service: server.Service, Group: server.Group, State: labapi.MachineMissing}
		Expect(i.admin.SetMachine(i.ctx, machine)).To(Succeed())
		machine.Address = i.addLink(server.Name, string(server.Address), server.Zone)
		machine.State = labapi.MachineLive
		Expect(i.admin.SetMachine(i.ctx, machine)).To(Succeed())
		i.listed[server.Address] = machine
	}
}

// addNode starts a node in the zone of that number. Its peers reach it through
// a link, and it sends from an address of its zone.
func (i *installation) addNode(name string, zone int) *node {
	GinkgoHelper()
	zones := i.deployment.Zones()
	peers := freeAddress()
	advertised := i.addLink(name, peers, zones[zone])
	settings := map[string]string{
		"node.name":               name,
		"node.zone":               string(zones[zone]),
		"node.region":             string(i.deployment.RegionOf(zones[zone])),
		"node.source_ip":          i.deployment.NodeAddress(zones[zone], len(i.nodes)).String(),
		"listen.callers":          freeAddress(),
		"listen.operators":        freeAddress(),
		"listen.peers":            peers,
		"listen.peers_advertised": advertised,
		"store.url":               i.store,
		"machine_list.url":        i.machineList,
		"machine_list.interval":   "500ms",
		"stop.announce":           "300ms",
	}
	if len(i.nodes) > 0 {
		settings["peers.seeds"] = i.nodes[0].peers
	}
	added := startNode(name, zones[zone], settings)
	Expect(i.admin.SetMachine(i.ctx, labapi.Machine{Address: advertised, Role: labapi.RoleNode, Service: labapi.NodeService,
		Zone: zones[zone], Region: i.deployment.RegionOf(zones[zone]), State: labapi.MachineLive})).To(Succeed())
	i.nodes = append(i.nodes, added)
	return added
}

// ctl runs the operators' command line against a node and returns its session.
func (i *installation) ctl(at *node, arguments ...string) *gexec.Session {
	GinkgoHelper()
	session := i.startCtl(at, arguments...)
	Eventually(session, startTimeout).Should(gexec.Exit())
	return session
}

// startCtl begins to run the operators' command line against a node.
func (i *installation) startCtl(at *node, arguments ...string) *gexec.Session {
	GinkgoHelper()
	command := exec.Command(programs.ctl, append([]string{"--address", at.operators}, arguments...)...)
	session, err := gexec.Start(command, GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	return session
}

func (i *installation) operatorsOf(one *node) *operator.Client {
	return operator.NewClient(one.operators, i.operatorHTTP)
}

func (i *installation) publishExamples(preset string) {
	GinkgoHelper()
	documents, err := examples.Templates(preset)
	Expect(err).NotTo(HaveOccurred())
	i.oracle = oracle.New(oracle.ExpectationsOf(i.deployment, documents))
	i.exchanges = &exchangeLog{oracle: i.oracle}
	files, err := filepath.Glob(filepath.Join("..", "..", "examples", preset, "*.yaml"))
	Expect(err).NotTo(HaveOccurred())
	for _, file := range files {
		Expect(i.ctl(i.nodes[0], "template", "publish", file).ExitCode()).To(Equal(0))
	}
	for _, document := range documents {
		i.waitInForce(document.Tenant, document.Name, 1, i.nodes...)
	}
}

// revisionAt returns the revision of a template in force at a node; zero if
// none is.
func (i *installation) revisionAt(one *node, tenant, name string) uint64 {
	list, err := i.operatorsOf(one).Templates(i.ctx, tenant)
	if err != nil {
		return 0
	}
	for _, held := range list.Templates {
		if held.Tenant == tenant && held.Name == name {
			return held.Revision
		}
	}
	return 0
}

func (i *installation) waitInForce(tenant, name string, revision uint64, nodes ...*node) {
	GinkgoHelper()
	for _, one := range nodes {
		Eventually(func() uint64 { return i.revisionAt(one, tenant, name) }, startTimeout, pollInterval).
			Should(BeNumerically(">=", revision), "%s/%s at %s", tenant, name, one.name)
	}
}

// waitForBackends waits until every node knows what every back end holds.
func (i *installation) waitForBackends() {
	GinkgoHelper()
	for _, one := range i.nodes {
		Eventually(func() int { return i.activeBackends(one) }, startTimeout, pollInterval).
			Should(Equal(len(i.addresses.Servers)), "back ends known at %s", one.name)
	}
}

func (i *installation) activeBackends(one *node) int {
	list, err := i.operatorsOf(one).Backends(i.ctx, "")
	if err != nil {
		return 0
	}
	known := 0
	for _, server := range list.Backends {
		if server.State == catalog.Active.String() && len(server.Versions) > 0 {
			known++
		}
	}
	return known
}

// rule puts a fault in force until the returned function or the end of the
// spec.
func (i *installation) rule(selector faultproxy.Selector, faults faultproxy.Faults) (end func()) {
	GinkgoHelper()
	id, err := i.proxy.AddRule(i.ctx, faultproxy.Rule{Selector: selector, Faults: faults})
	Expect(err).NotTo(HaveOccurred())
	return func() { Expect(i.proxy.RemoveRule(i.ctx, id)).To(Succeed()) }
}

// cutZone cuts a zone off from every other one, in both directions. The
// platform's store and machine list are outside every zone and stay reachable.
func (i *installation) cutZone(zone target.Zone) (heal func()) {
	GinkgoHelper()
	var ends []func()
	for _, other := range i.deployment.Zones() {
		if other == zone {
			continue
		}
		inward := faultproxy.Selector{Zone: string(zone), Source: i.deployment.ZoneNetwork(other).String()}
		outward := faultproxy.Selector{Zone: string(other), Source: i.deployment.ZoneNetwork(zone).String()}
		ends = append(ends, i.rule(inward, faultproxy.Cut()), i.rule(outward, faultproxy.Cut()))
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// callers returns the callers' addresses of nodes.
func callers(nodes ...*node) []string {
	addresses := make([]string, 0, len(nodes))
	for _, one := range nodes {
		addresses = append(addresses, one.callers)
	}
	return addresses
}

// load sends requests for a while and returns what came of them. Every
// exchange is checked by the oracle.
func (i *installation) load(nodes []*node, rate float64, duration time.Duration, mix ...load.TemplateLoad) *load.Result {
	GinkgoHelper()
	i.loads++
	result, err := load.Run(i.ctx, load.Options{
		Targets:  callers(nodes...),
		Mix:      mix,
		Steps:    []load.Step{{Rate: rate, Duration: durationOf(duration)}},
		Seed:     uint64(GinkgoRandomSeed()) + uint64(i.loads),
		Name:     fmt.Sprintf("load-%d", i.loads),
		Observer: i.exchanges,
	})
	Expect(err).NotTo(HaveOccurred())
	return result
}

// during runs a load beside a function and returns the load's result when both
// have ended.
func (i *installation) during(act func(), nodes []*node, rate float64, duration time.Duration, mix ...load.TemplateLoad) *load.Result {
	GinkgoHelper()
	results := make(chan *load.Result, 1)
	go func() {
		defer GinkgoRecover()
		defer close(results)
		results <- i.load(nodes, rate, duration, mix...)
	}()
	act()
	var result *load.Result
	Eventually(results, startTimeout+duration).Should(Receive(&result))
	return result
}

// expectNoViolation checks the findings of the oracle, executions included.
func (i *installation) expectNoViolation() {
	GinkgoHelper()
	executions, err := i.admin.Executions(i.ctx, labapi.ExecutionsQuery{})
	Expect(err).NotTo(HaveOccurred())
	i.oracle.CheckExecutions(ranOnly(executions))
	findings := i.oracle.Findings()
	AddReportEntry("oracle", fmt.Sprintf("%d answers, %d partials, %d problems, %d executions, %d violations",
		findings.Answers, findings.Partials, findings.Problems, len(executions), findings.Count))
	Expect(findings.Violations).To(BeEmpty())
	Expect(findings.Answers).To(BeNumerically(">", 0))
}

// ranOnly returns the executions that began to run.
func ranOnly(log []labapi.Execution) []oracle.Execution {
	var ran []oracle.Execution
	for _, execution := range log {
		if execution.Ran() {
			ran = append(ran, oracle.Execution{
				RequestID:      execution.RequestID,
				IdempotencyKey: execution.IdempotencyKey,
				Server:         string(execution.Server),
			})
		}
	}
	return ran
}
