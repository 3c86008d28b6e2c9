package template

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/policy"
)

const wholeFile = `
tenant: valgsok
name: full-tally
service: resultatside
class: interactive
deadline: 800ms
minimum_coverage: 0.9
policies:
  hedge: {policy: quantile, quantile: 0.95}
experiment:
  name: trial
  arms:
    - {name: first, share: 0.25, policies: {hedge: {policy: none}}}
    - {name: second, share: 0.25}
`

func parsed(text string) *Template {
	GinkgoHelper()
	document, err := Parse([]byte(text))
	Expect(err).NotTo(HaveOccurred())
	return document
}

// faultsOf returns the paths of the faults of a file.
func faultsOf(text string) []string {
	GinkgoHelper()
	_, err := Parse([]byte(text))
	var faults FieldErrors
	Expect(err).To(BeAssignableToTypeOf(faults))
	var paths []string
	for _, fault := range err.(FieldErrors) {
		Expect(fault.Message).NotTo(BeEmpty())
		paths = append(paths, fault.Path)
	}
	return paths
}

var _ = Describe("Parse", func() {
	It("reads YAML, and JSON with the same fields", func() {
		fromYAML := parsed(wholeFile)
		Expect(fromYAML.Deadline.Std().Milliseconds()).To(BeEquivalentTo(800))
		encoded, err := Encode(fromYAML)
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed(string(encoded))).To(Equal(fromYAML))
	})

	It("lists every fault at once, with its path", func() {
		Expect(faultsOf(`
tenant: Valg Søk
name: x
service: resultatside
class: urgent
deadline: 5
colour: red
limit: many
policies: {hedge: {polcy: none}, retry: [1]}
experiment: {name: trial, arms: [{name: a, share: 0.5, sahre: 1}, 7]}
`)).To(ConsistOf("deadline", "colour", "limit", "policies.hedge.polcy", "policies.retry",
			"experiment.arms[0].sahre", "experiment.arms[1]"))
		Expect(faultsOf(`
tenant: Valg Søk
name: x
service: ""
class: urgent
deadline: 2h
minimum_coverage: 1.5
limit: -1
policies: {hedge: {policy: psychic}, stop: {policy: coverage, coverage: 7}}
experiment:
  name: trial
  arms: [{name: control, share: 0.7}, {name: a, share: 0.7, policies: {retry: {policy: x}}}, {name: a, share: 0}]
`)).To(ConsistOf("tenant", "service", "class", "deadline", "minimum_coverage", "limit",
			"policies.hedge.policy", "policies.stop.coverage", "experiment.arms[0].name", "experiment.arms",
			"experiment.arms[1].policies.retry.policy", "experiment.arms[2].name", "experiment.arms[2].share"))
	})

	It("refuses a stop rule that can only end below the minimum coverage", func() {
		text := strings.Replace(wholeFile, "policies:\n", "policies:\n  stop: {policy: coverage, coverage: 0.5}\n", 1)
		Expect(faultsOf(text)).To(ContainElement("policies.stop"))
	})

	It("refuses parameters that would have no effect", func() {
		text := strings.Replace(wholeFile, "policies:\n", "policies:\n  stop: {records: 5}\n  admission: {max_queued: 9}\n"+
			"  retry: {max_attempts: 2}\n  extra_load: {burst: 5}\n", 1)
		text = strings.Replace(text, "{hedge: {policy: none}}", "{hedge: {delay: 5ms}}", 1)
		Expect(faultsOf(text)).To(ConsistOf("policies.stop.policy", "policies.admission.policy", "policies.retry.policy",
			"policies.extra_load.share", "experiment.arms[0].policies.hedge.policy"))
	})

	It("refuses hedges and early stops for requests that are not repeatable", func() {
		text := strings.Replace(wholeFile, "deadline:", "not_repeatable: true\ndeadline:", 1)
		text = strings.Replace(text, "quantile: 0.95}", "quantile: 0.95}\n  stop: {policy: first}", 1)
		Expect(faultsOf(text)).To(ConsistOf("policies.hedge.policy", "policies.stop.policy"))
	})

	It("refuses files that cost more than their size", func() {
		for _, text := range []string{
			strings.Repeat("#", MaxFileSize+1),
			strings.Repeat("[", 1000),
			"tenant: &a x\nname: *a",
			"tenant: a\n---\ntenant: b",
			"", "just text", "{", "a: a: a",
		} {
			Expect(faultsOf(text)).NotTo(BeEmpty())
		}
	})
})

// exampleFiles returns the templates of both deployments.
func exampleFiles() []string {
	var files []string
	for _, deployment := range []string{"valgsok", "colour-archive"} {
		found, err := filepath.Glob("../../examples/" + deployment + "/*.yaml")
		if err != nil {
			panic(err) // the pattern is a constant
		}
		files = append(files, found...)
	}
	return files
}

var _ = Describe("The examples", func() {
	It("are whole, and cover both deployments", func() {
		names := []string{}
		for _, file := range exampleFiles() {
			text, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			document, err := Parse(text)
			Expect(err).NotTo(HaveOccurred(), file)
			compiled, err := Compile(document)
			Expect(err).NotTo(HaveOccurred(), file)
			Expect(mustPolicies(compiled, ControlArm).Stop).NotTo(BeNil())
			Expect(filepath.Base(file)).To(Equal(document.Name + ".yaml"))
			names = append(names, document.Key().String())
		}
		Expect(names).To(ConsistOf("valgsok/full-tally", "valgsok/ticker", "valgsok/candidate",
			"valgsok/archive", "valgsok/redaksjonsfeed", "colour-archive/colour-lookup",
			"colour-archive/batch-history", "colour-archive/pigment-stock",
			"colour-archive/audit-ledger", "colour-archive/tint-orders"))
	})
})

var _ = Describe("Compile", func() {
	It("fills in defaults and builds each arm without changing the template", func() {
		document := parsed(wholeFile)
		before, err := Encode(document)
		Expect(err).NotTo(HaveOccurred())
		compiled, err := Compile(document)
		Expect(err).NotTo(HaveOccurred())
		Expect(compiled.Template.Limit).To(Equal(DefaultLimit))
		Expect(compiled.Template.Policies.Replica.Policy).NotTo(BeEmpty())
		_, hedged := mustPolicies(compiled, "second").Hedge.Delay(hedgeObservation)
		Expect(hedged).To(BeTrue())
		_, hedged = mustPolicies(compiled, "first").Hedge.Delay(hedgeObservation)
		Expect(hedged).To(BeFalse())
		Expect(Encode(document)).To(Equal(before))
	})

	It("gives a not-repeatable template no hedges, whatever the defaults are", func() {
		document := parsed(`{tenant: a, name: b, service: c, class: archive, deadline: 1s, not_repeatable: true}`)
		compiled, err := Compile(document)
		Expect(err).NotTo(HaveOccurred())
		_, hedged := mustPolicies(compiled, ControlArm).Hedge.Delay(hedgeObservation)
		Expect(hedged).To(BeFalse())
	})

	It("refuses a tombstone", func() {
		_, err := Compile(&Template{Tenant: "a", Name: "b", Deleted: true})
		Expect(err).To(HaveOccurred())
	})
})

var hedgeObservation = policy.HedgeObservation{
	Quantile:  func(float64) time.Duration { return 5 * time.Millisecond },
	Remaining: time.Second,
}

func mustPolicies(compiled *Compiled, arm string) policy.Set {
	GinkgoHelper()
	set, isKnown := compiled.Policies(arm)
	Expect(isKnown).To(BeTrue())
	return set
}

var _ = Describe("ArmFor", func() {
	It("gives each arm its share, the same arm to the same request", func() {
		document := parsed(wholeFile)
		const requests = 20_000
		counts := map[string]float64{}
		for number := range requests {
			requestID := fmt.Sprint("request-", number)
			arm := document.ArmFor(requestID)
			Expect(document.ArmFor(requestID)).To(Equal(arm))
			counts[arm.Name] += 1.0 / requests
		}
		Expect(counts).To(HaveLen(3))
		Expect(math.Abs(counts["first"] - 0.25)).To(BeNumerically("<", 0.02))
		Expect(math.Abs(counts["second"] - 0.25)).To(BeNumerically("<", 0.02))
		Expect(math.Abs(counts[ControlArm] - 0.5)).To(BeNumerically("<", 0.02))
	})
})

var _ = Describe("Diff", func() {
	It("lists the changed, added and removed fields", func() {
		before, after := parsed(wholeFile), parsed(wholeFile)
		after.Revision, after.ChangeID = 7, "change"
		Expect(Diff(before, after)).To(BeEmpty())
		after.Limit = 10
		after.MinimumCoverage = 0
		after.Experiment.Arms[1].Share = 0.5
		changes, err := Diff(before, after)
		Expect(err).NotTo(HaveOccurred())
		lines := []string{}
		for _, change := range changes {
			lines = append(lines, change.String())
		}
		Expect(lines).To(Equal([]string{
			"experiment.arms[1].share: 0.25 -> 0.5",
			"limit: (absent) -> 10",
			"minimum_coverage: 0.9 -> (absent)",
		}))
		Expect(Diff(nil, before)).NotTo(BeEmpty())
	})
})

var _ = Describe("Decode", func() {
	It("ignores the fields of a newer release and bounds the size", func() {
		decoded, err := Decode([]byte(`{"tenant":"a","name":"b","revision":3,"colour":"red"}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded.Revision).To(BeEquivalentTo(3))
		_, err = Decode(make([]byte, MaxEncodedSize+1))
		Expect(err).To(MatchError(ErrTooLarge))
		_, err = Decode([]byte("["))
		Expect(err).To(HaveOccurred())
	})
})
