package edge

import (
	"bytes"
	"io"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/internal/front"
	"github.com/bramblemast/bramblemast/pkg/directory"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/route"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// TestSettingsNameEveryFault: one error names every invalid field.
func TestSettingsNameEveryFault(t *testing.T) {
	g := NewWithT(t)
	_, err := ParseSettings([]byte(`{"node": {"zone": ""}, "listen": {"clients": "here", "metrics_port": 70000},
		"peers": ["x"], "bounds": {"drain_ms": -1, "extra": -1, "extra_ratio": -1, "contact_ms": -1}}`))
	for _, part := range []string{
		"node.name is missing", "node.zone is missing", `listen.clients: "here" is not ip:port`, "listen.ready", "store.address",
		"peers.0", "bounds.drain_ms is negative", "bounds.extra is negative", "bounds.extra_ratio", "bounds.contact_ms",
		"bounds.grace_s must be above 0", "listen.metrics_port",
	} {
		g.Expect(err).To(MatchError(ContainSubstring(part)))
	}
	_, err = ParseSettings([]byte(`{"nodes": {}}`))
	g.Expect(err).To(MatchError(ContainSubstring(`unknown field "nodes"`)))
	_, err = LoadSettings("/nowhere")
	g.Expect(err).To(MatchError(ContainSubstring("read settings")))
}

// blockedWriter blocks each write until release is closed, like a pipe whose reader has stopped.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(line []byte) (int, error) {
	<-b.release
	return len(line), nil
}

// TestLogDropsLinesInsteadOfBlocking: if nobody reads the log, lines beyond the backlog are dropped
// and counted, and no writer blocks.
func TestLogDropsLinesInsteadOfBlocking(t *testing.T) {
	g := NewWithT(t)
	output := blockedWriter{release: make(chan struct{})}
	writer := newAsyncWriter(output)
	for range 3 * logBacklog {
		_, err := writer.Write([]byte("line\n"))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(writer.dropped.Load()).To(BeNumerically(">=", 2*logBacklog-1))
	close(output.release)
}

// TestFailuresAreLoggedAndSuccessesSampled: failed requests are logged up to the rate limit, of
// complete successes one in sampleEvery.
func TestFailuresAreLoggedAndSuccessesSampled(t *testing.T) {
	g := NewWithT(t)
	var output bytes.Buffer
	lines := make(chan []byte, 4*linesPerSecond)
	logger := NewLogger("test", writerFunc(func(line []byte) { lines <- bytes.Clone(line) }))
	tested := newRequestRecorder(logger, newMetricSet(), func() time.Duration { return time.Second })
	for range sampleEvery {
		tested.Record(front.Record{ID: "served", Status: 200})
	}
	for range linesPerSecond {
		tested.Record(front.Record{ID: "failed", Status: 503, Refused: true})
	}
	for output.Len() == 0 || strings.Count(output.String(), "failed") < linesPerSecond-1 {
		output.Write(<-lines)
	}
	g.Expect(strings.Count(output.String(), "served")).To(Equal(1))
}

// TestOverloadIsLoggedOncePerInterval, however many requests fail because of it.
func TestOverloadIsLoggedOncePerInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var lines atomic.Int64
		output := writerFunc(func([]byte) { lines.Add(1) })
		tested := newRequestRecorder(hclog.New(&hclog.LoggerOptions{Output: output, JSONFormat: true}), newMetricSet(), func() time.Duration { return time.Second })
		for range 20 {
			tested.Overload("shard-0", 3)
			time.Sleep(overloadLogInterval / 10)
		}
		g.Expect(lines.Load()).To(BeNumerically("~", 2, 1))
	})
}

type writerFunc func(line []byte)

func (f writerFunc) Write(line []byte) (int, error) {
	f(line)
	return len(line), nil
}

var _ io.Writer = writerFunc(nil)

// TestTheExtraLoadOfAllNodesStaysWithinItsBound: under steady traffic the extra requests of all nodes
// together stay within the bound, whatever the number of nodes.
func TestTheExtraLoadOfAllNodesStaysWithinItsBound(t *testing.T) {
	g := NewWithT(t)
	bounds := BoundSettings{ExtraRatio: 0.2, Extra: 58, ExtraWindowSeconds: 10}
	for _, count := range []int{1, 3, 9, 100} {
		nodes := make([]*budgets, count)
		for index := range nodes {
			nodes[index] = newBudgets(bounds)
			nodes[index].setNodes(count)
		}
		now := time.Unix(0, 0)
		primary, extra := 0, 0
		for range 100 {
			now = now.Add(99 * time.Millisecond)
			for _, node := range nodes {
				node.Earn("s", now)
				primary++
				for node.TrySpend("s", 0, now) {
					extra++
				}
			}
		}
		g.Expect(float64(extra)).To(BeNumerically("<=", 0.2*float64(primary)+58), "%d nodes", count)
		g.Expect(float64(extra)).To(BeNumerically(">", 0.15*float64(primary)))
	}
}

// TestTemplateLookupOrder: a route uses its own template, else the template of its kind, else the
// built-in policies. A request keeps its arm, and a tombstone removes a template.
func TestTemplateLookupOrder(t *testing.T) {
	g := NewWithT(t)
	tested, err := newPolicies()
	g.Expect(err).NotTo(HaveOccurred())
	gathered := &route.Route{Name: "tally", Shards: []string{"a"}}
	single := &route.Route{Name: "archive"}
	g.Expect(tested.For(gathered, "r").Template).To(BeEmpty())
	publish := func(name string, revision uint64, change func(*template.Template)) {
		document := &template.Template{
			Tenant: routeTenant, Name: name, Revision: revision, ChangeID: "c", Service: "s", Class: policy.ClassTicker,
			Deadline: policy.Duration(time.Second),
		}
		change(document)
		published, err := template.Seal(document)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(tested.apply(&published)).To(Succeed())
	}
	publish(gatheredName, 1, func(*template.Template) {})
	publish("tally", 2, func(document *template.Template) {
		document.Policies.Retry = policy.RetrySpec{Policy: policy.RetryDeadlineAware, MaxAttempts: 1}
		document.Experiment = &template.Experiment{Name: "e", Arms: []template.Arm{{
			Name: "eager", Share: 0.5, Policies: policy.Spec{Hedge: policy.HedgeSpec{Policy: policy.HedgeTypical, Factor: 1}},
		}}}
	})
	arms := make(map[string]int)
	for index := range 1000 {
		id := strings.Repeat("x", index)
		chosen := tested.For(gathered, id)
		g.Expect(chosen.Template).To(Equal("routes/tally"))
		g.Expect(chosen.MaxAttempts).To(Equal(1))
		g.Expect(tested.For(gathered, id).Arm).To(Equal(chosen.Arm))
		arms[chosen.Arm]++
	}
	g.Expect(arms["eager"]).To(BeNumerically("~", 500, 80))
	g.Expect(tested.For(single, "r").Template).To(BeEmpty())
	g.Expect(tested.For(single, "r").MaxAttempts).To(Equal(builtInAttempts))
	publish(singleName, 1, func(document *template.Template) {
		document.Policies.Retry = policy.RetrySpec{Policy: policy.RetryDeadlineAware, MaxAttempts: 1}
	})
	g.Expect(tested.For(single, "r").Template).To(Equal("routes/single"))
	g.Expect(tested.For(single, "r").MaxAttempts).To(Equal(1))
	publish("tally", 3, func(document *template.Template) { document.Deleted = true })
	g.Expect(tested.For(gathered, "r").Template).To(Equal("routes/gathered"))
}

// TestDeployTemplateMatchesSettings: every field of the deploy template is a field of the settings,
// on deployments that set all bounds and on those that set only the mandatory ones.
func TestDeployTemplateMatchesSettings(t *testing.T) {
	g := NewWithT(t)
	content, err := os.ReadFile("../../deploy/edge.json")
	g.Expect(err).NotTo(HaveOccurred())
	all, err := ParseSettings([]byte(fillTemplate(string(content), true)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(all.Bounds.EvacuateMillis).To(Equal(1))
	g.Expect(all.warmUpBounds()).To(Equal(fleet.WarmUpBounds{Factor: 1, Extra: 1}))
	g.Expect(all.Bounds.RefuseUnconfirmedKeys).To(BeTrue())
	g.Expect(all.Bounds.RevokeMillis).To(Equal(5000))
	fewest, err := ParseSettings([]byte(fillTemplate(string(content), false)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(fewest.Bounds.EvacuateMillis).To(BeZero())
	g.Expect(fewest.Bounds.RefuseUnconfirmedKeys).To(BeFalse())
}

// section matches a part of the template that is rendered only if the deployment sets a value.
var section = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)

// fillTemplate renders a template as the platform does, with or without the optional sections.
func fillTemplate(filled string, withSections bool) string {
	filled = section.ReplaceAllStringFunc(filled, func(found string) string {
		if !withSections {
			return ""
		}
		return section.FindStringSubmatch(found)[2]
	})
	for gap, value := range map[string]string{
		"{{NodeName|json}}": `"n"`, "{{Zone|json}}": `"z"`, "{{Region|json}}": `"r"`, "{{Ip|json}}": `"127.0.0.1"`,
		"{{Zones|json}}": `{"z":"r"}`, "{{Seeds|json}}": `["127.0.0.1:3"]`, "{{Listen.Front|json}}": `"127.0.0.1:1"`,
		"{{Listen.Ready|json}}": `"127.0.0.1:2"`, "{{Listen.Control|json}}": `"127.0.0.1:3"`,
		"{{platform.Address|json}}": `"127.0.0.1:4"`, "{{Bootstrap|json}}": "true", `"revoke_ms": {{.}}`: `"revoke_ms": 5000`,
	} {
		filled = strings.ReplaceAll(filled, gap, value)
	}
	for strings.Contains(filled, "{{") {
		start, end := strings.Index(filled, "{{"), strings.Index(filled, "}}")
		filled = filled[:start] + "1" + filled[end+2:]
	}
	return filled
}

// TestALeavingServerIsAskedInItsTimeOnly: a leaving server must receive no request after its drain
// time, although the node may learn of it a staleness bound late and a request may be delayed by half
// a second.
func TestALeavingServerIsAskedInItsTimeOnly(t *testing.T) {
	g := NewWithT(t)
	for _, drain := range []int{3000, 2500, 5000, 6000, 10000} {
		settings := &Settings{Bounds: BoundSettings{DrainMillis: drain, ApplyMillis: 10000}}
		latest := settings.leaveGrace() + settings.stalenessBound() + 500*time.Millisecond
		g.Expect(latest).To(BeNumerically("<", time.Duration(drain)*time.Millisecond))
	}
}

// TestAnEvacuationIsInForceInItsTime: the load must have left the zone within the bound, although the
// node may learn of the evacuation a staleness bound late and only then moves the load away.
func TestAnEvacuationIsInForceInItsTime(t *testing.T) {
	g := NewWithT(t)
	for _, millis := range []int{1500, 3000, 5000, 10000} {
		settings := &Settings{Bounds: BoundSettings{DrainMillis: 10000, ApplyMillis: 10000, EvacuateMillis: millis}}
		latest := settings.evacuationSpan() + settings.stalenessBound() + 500*time.Millisecond
		g.Expect(latest).To(BeNumerically("<", time.Duration(millis)*time.Millisecond))
	}
}

// TestRequestsComeBackLaterWhileTheStoreStaysAway: Retry-After grows while the node starts and while
// the store is unavailable. A client that may retry only once would otherwise be refused again.
func TestRequestsComeBackLaterWhileTheStoreStaysAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		lost := false
		starting := &state{startedAt: time.Now(), storeLost: func() bool { return lost }}
		g.Expect(starting.Starting()).To(Equal(front.Starting{MaxWait: startingMaxWait, RetryAfter: minStartingWait}))
		time.Sleep(600 * time.Millisecond)
		g.Expect(starting.Starting().RetryAfter).To(Equal(600 * time.Millisecond))
		time.Sleep(time.Minute)
		g.Expect(starting.Starting().RetryAfter).To(Equal(maxStartingWait))
		lost = true
		g.Expect(starting.Starting()).To(Equal(front.Starting{RetryAfter: storeLostWait}), "refused without waiting, with a longer Retry-After")
	})
}

// TestWhatIsFoundAtTheStartIsOneLine: the entries found at the start are logged in one line, later
// ones in a line each.
func TestWhatIsFoundAtTheStartIsOneLine(t *testing.T) {
	g := NewWithT(t)
	var lines bytes.Buffer
	tested := &state{
		logger: hclog.New(&hclog.LoggerOptions{Output: &lines, JSONFormat: true}),
		fleet:  fleet.New(fleet.Settings{Random: newRandom()}), budgets: newBudgets(BoundSettings{}),
		nodes: make(map[string]directory.Node),
	}
	add := func(name string) {
		tested.Changed(directory.Entry{Key: "servers/" + name, Server: &fleet.Server{ID: name, Service: "s", Address: name}})
		tested.Changed(directory.Entry{Key: "nodes/" + name, Node: &directory.Node{Name: name}})
	}
	for index := range 50 {
		add(strconv.Itoa(index))
	}
	g.Expect(lines.String()).To(BeEmpty())
	tested.Loaded(7)
	g.Expect(lines.String()).To(And(
		ContainSubstring("state restored"), ContainSubstring(`"servers":50`), ContainSubstring(`"nodes":50`), ContainSubstring(`"revision":7`)))
	lines.Reset()
	add("later")
	g.Expect(lines.String()).To(And(ContainSubstring("server added"), ContainSubstring("node found")))
}

// TestALapsedEntryIsTrustedForTwoSecondsAfterTheStoreReturned: a server whose entry expired during an
// outage of the store stays in use for two seconds after the outage plus the staleness bound, and
// not for the whole time in which the platform holds nodes to no bounds.
func TestALapsedEntryIsTrustedForTwoSecondsAfterTheStoreReturned(t *testing.T) {
	g := NewWithT(t)
	for contact, expected := range map[float64]time.Duration{
		5000: 2 * time.Second, 8000: 2 * time.Second, 1500: 800 * time.Millisecond, 0: 0,
	} {
		settings := Settings{Bounds: BoundSettings{ContactMillis: int(contact)}}
		g.Expect(settings.absenceUncertainSpan()).To(And(
			BeNumerically(">=", expected), BeNumerically("<=", expected+directory.MinStalenessBound),
		))
	}
}

// TestWriteBackSpanCoversLapsedEntries, also if a deployment sets no contact bound.
func TestWriteBackSpanCoversLapsedEntries(t *testing.T) {
	g := NewWithT(t)
	for contact, want := range map[int]time.Duration{0: lapsedEntryReturn, 500: lapsedEntryReturn, 5000: 2800 * time.Millisecond} {
		settings := &Settings{Bounds: BoundSettings{ContactMillis: contact, ApplyMillis: 3000, DrainMillis: 3000}}
		g.Expect(settings.writeBackSpan()).To(Equal(want), "a contact bound of %d ms", contact)
	}
}

// TestStalenessBoundFollowsDeploymentBounds: nodes read the store as seldom as the deployment's
// bounds on configurations and leaving servers allow, less a reserve. Without such bounds the
// minimum staleness bound applies.
func TestStalenessBoundFollowsDeploymentBounds(t *testing.T) {
	g := NewWithT(t)
	for _, each := range []struct {
		apply, drain int
		expected     time.Duration
	}{
		{3000, 3000, directory.MinStalenessBound}, {5000, 5000, 2800 * time.Millisecond}, {5000, 3000, directory.MinStalenessBound},
		{60000, 60000, maxStalenessBound}, {0, 0, directory.MinStalenessBound},
	} {
		settings := Settings{Bounds: BoundSettings{ApplyMillis: each.apply, DrainMillis: each.drain}}
		g.Expect(settings.stalenessBound()).To(Equal(each.expected))
	}
	settings := Settings{Bounds: BoundSettings{ApplyMillis: 60000, DrainMillis: 60000, ContactMillis: 5000}}
	g.Expect(settings.stalenessBound()).To(Equal(2800*time.Millisecond), "notes on requests that crash servers must arrive within the contact bound")
}

// TestEvacuationsReachTheFleet: evacuations are applied and logged, also one that was found at the
// start.
func TestEvacuationsReachTheFleet(t *testing.T) {
	g := NewWithT(t)
	// A separate goroutine writes the log.
	lines := make(chan string, 8)
	servers := fleet.New(fleet.Settings{Random: newRandom()})
	servers.Apply(fleet.Server{ID: "i", Service: "s", Address: "a", Zone: "z"}, time.Now())
	tested := &state{
		fleet: servers, metrics: newMetricSet(), logger: NewLogger("test", writerFunc(func(line []byte) { lines <- string(line) })),
		evacuationSpan: func() time.Duration { return time.Hour },
	}
	mayServe := func() bool { return servers.CountServable([]string{"s"}, route.Regions{}, time.Now()) == 1 }
	tested.Changed(directory.Entry{Key: "k", Revision: 1, EvacuatedZone: "z"})
	g.Expect(mayServe()).To(BeFalse(), "an evacuation found at the start takes effect at once")
	tested.Changed(directory.Entry{Key: "k", Revision: 2, EvacuatedZone: "z", Gone: true})
	g.Expect(mayServe()).To(BeTrue())
	tested.Loaded(2)
	tested.Changed(directory.Entry{Key: "k", Revision: 3, EvacuatedZone: "z"})
	g.Expect(mayServe()).To(BeTrue(), "load leaves the zone gradually")
	tested.evacuationSpan = func() time.Duration { return 0 }
	tested.Changed(directory.Entry{Key: "k", Revision: 4, EvacuatedZone: "z", Gone: true})
	tested.Changed(directory.Entry{Key: "k", Revision: 5, EvacuatedZone: "z"})
	g.Expect(mayServe()).To(BeFalse())
	for _, want := range []string{
		"zone evacuated", "zone open again", "state restored", "zone evacuated", "zone open again", "zone evacuated",
	} {
		g.Expect(<-lines).To(ContainSubstring(want))
	}
}
