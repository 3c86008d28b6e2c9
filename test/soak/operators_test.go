package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

const (
	// operatorSeed is the seed of the requests.
	operatorSeed = 1
	// operatorPatience bounds the wait for what operators are to see; it is generous, because a busy machine is no
	// fault of the program.
	operatorPatience = 60 * time.Second
	operatorPoll     = 500 * time.Millisecond
)

// Exit codes of bramblemastctl by docs/CLI.md.
const (
	exitDone       = 0
	exitIncomplete = 6
)

// shownLimit is what the test reads of the output of "limit show".
type shownLimit struct {
	Answered     int                                  `json:"answered"`
	Known        int                                  `json:"known"`
	Limit        float64                              `json:"limit_per_s"`
	Asked        float64                              `json:"asked_per_s"`
	Share        float64                              `json:"share"`
	Coordinator  string                               `json:"coordinator"`
	Admitted     int64                                `json:"admitted"`
	RefusedBy    map[string]uint64                    `json:"refused_by"`
	Coordinators []struct{ Node string }              `json:"coordinators"`
	Zones        []struct{ Zone string }              `json:"zones"`
	Nodes        []struct{ Node, Coordinator string } `json:"nodes"`
}

// operators asks the nodes by the real command line.
type operators struct {
	program string
	nodes   []*node
}

// run returns the exit code and the output of a command that asks all nodes.
func (o *operators) run(g Gomega, arguments ...string) (int, string) {
	for _, each := range o.nodes {
		arguments = append(arguments, "--metrics", each.metrics)
	}
	var output, errors bytes.Buffer
	command := exec.Command(o.program, append(arguments, "--timeout", "5s")...)
	command.Stdout, command.Stderr = &output, &errors
	if err := command.Run(); err != nil {
		g.Expect(command.ProcessState).NotTo(BeNil(), err)
	}
	g.Expect(output.String()+errors.String()).NotTo(ContainSubstring("key-of-"), "keys are told to nobody")
	return command.ProcessState.ExitCode(), output.String()
}

// show returns what "limit show" tells of a tenant.
func (o *operators) show(g Gomega, tenant string) (int, shownLimit) {
	code, output := o.run(g, "limit", "show", tenant, "-o", "json")
	var shown shownLimit
	g.Expect(json.Unmarshal([]byte(output), &shown)).To(Succeed(), "exit code %d: %s", code, output)
	return code, shown
}

// TestOperatorsSeeALimitOverAllNodes: real nodes and the real command line. A tenant beyond its limit
// is seen at one coordinator with what all nodes decided and why; a node that has ended is named.
func TestOperatorsSeeALimitOverAllNodes(t *testing.T) {
	g := NewWithT(t)
	edgeProgram, err := gexec.Build("github.com/bramblemast/bramblemast/cmd/bramblemast-edge")
	g.Expect(err).NotTo(HaveOccurred())
	program, err := gexec.Build("github.com/bramblemast/bramblemast/cmd/bramblemastctl")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(gexec.CleanupBuildArtifacts)
	shaped := smallShape
	shaped.hasMetrics = true
	deployed := newDeployment(t, shaped, operatorSeed)
	deployed.startNodes(edgeProgram, t.TempDir())
	ctx, cancel := context.WithCancel(context.Background())
	asking := deployed.askLimited(ctx, operatorSeed)
	defer asking.Wait()
	defer cancel()
	asked := &operators{program: program, nodes: deployed.running}

	var shown shownLimit
	g.Eventually(func(g Gomega) {
		var code int
		code, shown = asked.show(g, greedyTenant)
		g.Expect(code).To(Equal(exitDone))
		g.Expect(shown.Answered).To(Equal(shaped.nodes))
		g.Expect(shown.Known).To(Equal(shaped.nodes))
		g.Expect(shown.Limit).To(Equal(float64(limitRate)))
		g.Expect(shown.Asked).To(BeNumerically(">", limitRate))
		g.Expect(shown.Share).To(And(BeNumerically(">", 0), BeNumerically("<", 1)))
		g.Expect(shown.Coordinators).To(HaveLen(1))
		g.Expect(shown.Coordinators[0].Node).To(Equal(shown.Coordinator))
		g.Expect(shown.Admitted).To(BeNumerically(">", 0))
		g.Expect(shown.RefusedBy["beyond_share"]).To(BeNumerically(">", 0))
		g.Expect(shown.Nodes).To(HaveLen(shaped.nodes))
		g.Expect(shown.Zones).To(HaveLen(1))
		for _, each := range shown.Nodes {
			g.Expect(each.Coordinator).To(Equal(shown.Coordinator))
		}
	}, operatorPatience, operatorPoll).Should(Succeed())
	g.Eventually(func(g Gomega) {
		code, output := asked.run(g, "limit", "list")
		g.Expect(code).To(Equal(exitDone))
		g.Expect(output).To(ContainSubstring("3 of 3 nodes answered"))
		g.Expect(output).To(MatchRegexp(greedyTenant + ` +10\.0 +10\.0 `))
		g.Expect(output).To(MatchRegexp(modestTenant + ` +10\.0 +10\.0 `))
	}, operatorPatience, operatorPoll).Should(Succeed())

	ended := deployed.running[0]
	if ended.name == shown.Coordinator {
		ended = deployed.running[1]
	}
	g.Expect(ended.end(syscall.SIGKILL, time.Minute)).To(BeTrue())
	g.Eventually(func(g Gomega) {
		code, output := asked.run(g, "limit", "show", greedyTenant)
		g.Expect(code).To(Equal(exitIncomplete))
		g.Expect(output).To(ContainSubstring("no answer: " + ended.metrics))
		g.Expect(strings.Count(output, "no answer")).To(Equal(1))
		t.Log(output)
	}, operatorPatience, operatorPoll).Should(Succeed())
}
