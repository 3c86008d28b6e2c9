package experiment

import (
	"bytes"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/internal/lab/load"
	"github.com/bramblemast/bramblemast/internal/lab/topology"
	"github.com/bramblemast/bramblemast/pkg/policy"
)

const testDocument = `
name: test
mode: isolated
seed: 3
repeats: 2
deployment: valgsok
services:
  - name: resultatside
    service_time: {median: 4ms, straggler_share: 0.01, straggler_factor: 20}
load:
  arrivals: constant
  steps: [{rate: 400, duration: 100ms}]
templates:
  - {tenant: valgsok, name: tally, service: resultatside, class: interactive, deadline: 1s, limit: 10}
arms:
  - name: baseline
    policies: {hedge: {policy: none}}
  - name: tuned
    policies: {hedge: {policy: quantile, quantile: 0.9}}
aims:
  - {arm: tuned, metric: complete_share, at_least: 1}
  - {arm: tuned, metric: violations, at_most: 0}
  - {arm: tuned, metric: complete_share, relative_to: baseline, at_least: 2}
`

func parse(text string) (*Document, error) {
	path := filepath.Join(GinkgoT().TempDir(), "experiment.yaml")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	document, _, err := LoadDocument(path)
	return document, err
}

func mustParse(text string) *Document {
	document, err := parse(text)
	Expect(err).NotTo(HaveOccurred())
	return document
}

var _ = Describe("a document", func() {
	It("starts only the services that are asked, as changed", func() {
		deployment := mustParse(testDocument).deployment(9)
		Expect(deployment.Seed).To(Equal(uint64(9)))
		Expect(deployment.Services).To(HaveLen(1))
		Expect(deployment.Services[0].ServiceTime.StragglerFactor).To(Equal(20.0))
		Expect(deployment.Services[0].Slots).To(Equal(5))
	})

	It("lists every error at once", func() {
		_, err := parse(`{name: "", deployment: nowhere, load: {}, arms: [{name: a}, {name: a}], aims: [{arm: b, metric: c}]}`)
		for _, path := range []string{"name:", "deployment:", "vary:", "load.steps:", "arms[1].name:",
			"aims[0].arm:", "aims[0].metric:", "aims[0]: want"} {
			Expect(err).To(MatchError(ContainSubstring(path)))
		}
	})

	It("rejects an unknown field and an unknown policy", func() {
		_, err := parse("unknown: 1\n" + testDocument)
		Expect(err).To(HaveOccurred())
		document := mustParse(testDocument)
		document.Arms[1].Policies.Hedge.Policy = "psychic"
		Expect(document.Check()).To(MatchError(ContainSubstring("arms[1]")))
	})

	It("works out the capacity from slots, parts and the mean service time", func() {
		model := topology.ServiceTime{Median: policy.Duration(10 * time.Millisecond), StragglerShare: 0.01, StragglerFactor: 20}
		Expect(meanServiceTime(model)).To(BeNumerically("~", 0.0119, 1e-9))
		// 4 groups of 4 servers with 5 slots: 80 slots, 4 parts of 11.9 ms.
		service := &topology.Service{Groups: 4, ServersPerGroup: 4, Slots: 5, ServiceTime: model}
		Expect(capacity(service, 4)).To(BeNumerically("~", 80/(4*0.0119), 1e-6))
		single := &topology.Service{Servers: 25, Slots: 3, ServiceTime: model}
		Expect(capacity(single, 25)).To(BeNumerically("~", 3/0.0119, 1e-6))
	})

	It("makes the arms an experiment of the template in the shared mode", func() {
		document := mustParse(testDocument)
		document.Mode = ModeShared
		document.fillDefaults()
		Expect(document.Check()).To(Succeed())
		published := document.templatesFor(nil)[0]
		Expect(published.Experiment.Arms).To(HaveLen(2))
		Expect(published.Experiment.Arms[1].Share).To(Equal(0.5))
	})
})

var _ = Describe("an interval", func() {
	It("follows Student's t distribution", func() {
		interval := newInterval([]float64{10, 12, 14})
		Expect(interval.Mean).To(BeNumerically("~", 12, 1e-9))
		// Deviation 2, t with 2 degrees of freedom 4.303: 4.303 * 2 / sqrt(3).
		Expect(interval.High - interval.Mean).To(BeNumerically("~", 4.9687, 1e-3))
	})

	It("has no width for one repeat", func() {
		Expect(newInterval([]float64{5})).To(Equal(Interval{Mean: 5, Low: 5, High: 5, Repeats: 1}))
	})
})

var _ = Describe("an observation", func() {
	It("leaves out what only answers tell if there was none", func() {
		figures := observation{summary: load.ArmSummary{Requests: 10, Refused: 4, Failed: 6}}.figures()
		Expect(figures).NotTo(HaveKey(MetricP99))
		Expect(figures).NotTo(HaveKey(MetricCompleteShare))
		Expect(figures).To(HaveKeyWithValue(MetricRefusedShare, 0.4))
	})
})

var _ = Describe("a run", func() {
	run := func(ctx SpecContext, launcher *fakeLauncher, document *Document) *Output {
		runner := &Runner{Launcher: launcher, Logger: hclog.NewNullLogger()}
		output, err := runner.Run(ctx, document, testDocument)
		Expect(err).NotTo(HaveOccurred())
		return output
	}

	It("gives each arm of each repeat an environment with its own policies", func(ctx SpecContext) {
		launcher := &fakeLauncher{}
		output := run(ctx, launcher, mustParse(testDocument))
		var policies []string
		for _, setting := range launcher.settings {
			policies = append(policies, setting.Templates[0].Policies.Hedge.Policy)
		}
		Expect(policies).To(Equal([]string{"none", "quantile", "quantile", "none"}))
		Expect(output.Violations()).To(BeZero())
		Expect(output.Arm("tuned").Figure(MetricCompleteShare).Value.Mean).To(Equal(1.0))
		Expect(output.Arm("tuned").Figure(MetricCompleteShare).Ratio.Mean).To(Equal(1.0))
		var met []bool
		for _, aim := range output.Aims {
			met = append(met, aim.Met)
		}
		Expect(met).To(Equal([]bool{true, true, false}))
		var table bytes.Buffer
		Expect(output.WriteTable(&table)).To(Succeed())
		Expect(table.String()).To(ContainSubstring("MISSED"))
		Expect(table.String()).To(ContainSubstring("156 answers and 0 problems checked, 0 violations"))
	})

	It("splits the traffic of one environment in the shared mode", func(ctx SpecContext) {
		document := mustParse(testDocument)
		document.Mode = ModeShared
		document.Repeats = 1
		document.fillDefaults()
		output := run(ctx, &fakeLauncher{}, document)
		Expect(output.Runs).To(HaveLen(1))
		answered := int64(0)
		for _, arm := range document.Arms {
			summary, found := output.Runs[0].Load.Arm(arm.Name)
			Expect(found).To(BeTrue())
			answered += summary.Answered
		}
		Expect(answered).To(Equal(int64(39)))
	})

	It("reports every wrong answer", func(ctx SpecContext) {
		document := mustParse(testDocument)
		document.Repeats = 1
		output := run(ctx, &fakeLauncher{lie: true}, document)
		Expect(output.Violations()).To(Equal(int64(78)))
		Expect(output.Aims[1].Met).To(BeFalse())
	})
})
