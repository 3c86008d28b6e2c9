package template

import (
	"fmt"
	"regexp"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/bramblemast/bramblemast/pkg/policy"
)

// Bounds of the fields. docs/CONFIGURATION.md lists them for operators.
const (
	ShortestDeadline = time.Millisecond
	LongestDeadline  = time.Minute
	GreatestLimit    = 10_000
	// DefaultLimit is used where a template leaves the limit out.
	DefaultLimit  = 100
	MostArms      = 8
	LongestAuthor = 128
	// LongestComment is in bytes, as LongestAuthor is.
	LongestComment = 1024
)

// shareTolerance allows for shares such as 0.1 that have no exact binary form.
const shareTolerance = 1e-9

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)

const nameRule = "want 1 to 63 of a-z, 0-9, '-' and '_', beginning with a letter or digit"

// Validate checks every field. The error is a FieldErrors that lists all
// faults. A tombstone needs only its key.
func (t *Template) Validate() error {
	var faults faultList
	checkName(&faults, "tenant", t.Tenant)
	checkName(&faults, "name", t.Name)
	checkNote(&faults, "author", t.Author, LongestAuthor)
	checkNote(&faults, "comment", t.Comment, LongestComment)
	if !t.Deleted {
		t.checkRequest(&faults)
		t.checkPolicies(&faults, "policies", t.Policies)
		t.checkExperiment(&faults)
	}
	if len(faults.found) == 0 {
		t.checkSize(&faults)
	}
	return faults.orNil()
}

func checkName(faults *faultList, path, name string) {
	if !namePattern.MatchString(name) {
		faults.add(path, nameRule)
	}
}

func checkNote(faults *faultList, path, note string, longest int) {
	if len(note) > longest {
		faults.add(path, "longer than %d bytes", longest)
	}
	if !utf8.ValidString(note) {
		faults.add(path, "not valid UTF-8")
	}
	for _, symbol := range note {
		if unicode.IsControl(symbol) && symbol != '\n' {
			faults.add(path, "holds a control character")
			return
		}
	}
}

func (t *Template) checkRequest(faults *faultList) {
	checkName(faults, "service", string(t.Service))
	switch t.Class {
	case policy.ClassTicker, policy.ClassInteractive, policy.ClassArchive:
	default:
		faults.add("class", "want %q, %q or %q",
			policy.ClassTicker, policy.ClassInteractive, policy.ClassArchive)
	}
	if deadline := t.Deadline.Std(); deadline < ShortestDeadline || deadline > LongestDeadline {
		faults.add("deadline", "want %v to %v", ShortestDeadline, LongestDeadline)
	}
	if !(t.MinimumCoverage >= 0 && t.MinimumCoverage <= 1) {
		faults.add("minimum_coverage", "want 0 to 1")
	}
	if t.Limit < 0 || t.Limit > GreatestLimit {
		faults.add("limit", "want 0 (for the default of %d) to %d", DefaultLimit, GreatestLimit)
	}
}

// checkPolicies checks one specification, of the template or of an arm, with
// the defaults and the template's own policies filled in.
func (t *Template) checkPolicies(faults *faultList, path string, own policy.Spec) {
	checkPolicySpec(faults, path, own)
	checkIgnored(faults, path, own)
	effective := t.effectivePolicies(own)
	if t.NotRepeatable {
		checkNotRepeatable(faults, path, own)
		return
	}
	set, err := policy.Build(effective)
	if err != nil {
		return // checkPolicySpec has listed the faults
	}
	if share := set.Stop.TargetShare(); share < t.MinimumCoverage {
		faults.add(join(path, "stop"),
			"may stop at a share of %v, below minimum_coverage %v: no answer could be given", share, t.MinimumCoverage)
	}
}

// checkIgnored refuses parameters of a kind that names no policy: such a kind
// is taken whole from elsewhere, and the parameters would have no effect.
func checkIgnored(faults *faultList, path string, own policy.Spec) {
	const message = "is required with parameters, which would have no effect"
	if own.Hedge.Policy == "" && own.Hedge != (policy.HedgeSpec{}) {
		faults.add(join(path, "hedge.policy"), message)
	}
	if own.Stop.Policy == "" && own.Stop != (policy.StopSpec{}) {
		faults.add(join(path, "stop.policy"), message)
	}
	if own.Admission.Policy == "" && own.Admission != (policy.AdmissionSpec{}) {
		faults.add(join(path, "admission.policy"), message)
	}
	if own.Retry.Policy == "" && own.Retry != (policy.RetrySpec{}) {
		faults.add(join(path, "retry.policy"), message)
	}
	if own.ExtraLoad.Share == 0 && own.ExtraLoad.Burst != 0 {
		faults.add(join(path, "extra_load.share"), message)
	}
}

// checkNotRepeatable refuses policies that ask for more than one attempt or
// for less than the one part.
func checkNotRepeatable(faults *faultList, path string, own policy.Spec) {
	if own.Hedge.Policy != "" && own.Hedge.Policy != policy.HedgeNone {
		faults.add(join(path, "hedge.policy"), "want %q: the requests are not repeatable", policy.HedgeNone)
	}
	if own.Stop.Policy != "" && own.Stop.Policy != policy.StopRuleAll {
		faults.add(join(path, "stop.policy"), "want %q: the requests are not repeatable", policy.StopRuleAll)
	}
}

func (t *Template) checkExperiment(faults *faultList) {
	if t.Experiment == nil {
		return
	}
	checkName(faults, "experiment.name", t.Experiment.Name)
	arms := t.Experiment.Arms
	if len(arms) == 0 || len(arms) > MostArms {
		faults.add("experiment.arms", "want 1 to %d arms", MostArms)
	}
	seen := map[string]bool{ControlArm: true}
	total := 0.0
	for index, arm := range arms {
		path := fmt.Sprintf("experiment.arms[%d]", index)
		checkName(faults, join(path, "name"), arm.Name)
		if seen[arm.Name] {
			faults.add(join(path, "name"), "%q is taken", arm.Name)
		}
		seen[arm.Name] = true
		if !(arm.Share > 0 && arm.Share <= 1) {
			faults.add(join(path, "share"), "want above 0, at most 1")
		}
		total += arm.Share
		t.checkPolicies(faults, join(path, "policies"), arm.Policies)
	}
	if total > 1+shareTolerance {
		faults.add("experiment.arms", "the shares add up to %v, more than 1", total)
	}
}

func (t *Template) checkSize(faults *faultList) {
	if _, err := Encode(t); err != nil {
		faults.add("", "%s", err)
	}
}
