package ctl

import (
	"context"
	"fmt"
	"math"

	"github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// experimentStatus is "experiment status TENANT/NAME".
type experimentStatus struct {
	env        *environment
	Positional keyArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *experimentStatus) Execute([]string) error {
	report, err := fetchExperiment(c.env, c.Positional)
	if err != nil {
		return err
	}
	return c.env.print(report, func(t *table) { printExperimentStatus(t, report) })
}

// fetchExperiment reads the figures over all nodes.
func fetchExperiment(env *environment, argument keyArgument) (*operator.ExperimentReport, error) {
	key, err := argument.key()
	if err != nil {
		return nil, err
	}
	return read(env.ctx, env.session(), func(ctx context.Context, client *operator.Client) (*operator.ExperimentReport, error) {
		return client.Experiment(ctx, key, operator.ScopeAll)
	})
}

func printExperimentStatus(t *table, report *operator.ExperimentReport) {
	printExperimentHeader(t, report)
	t.row("ARM", "SHARE", "REQUESTS", "REFUSED", "FAILED")
	for _, name := range armNames(report) {
		figures := figuresOf(report, name)
		t.row(name, formatShare(shareOf(report, name)), formatUint(figures.Requests),
			formatUint(figures.Refused), formatUint(figures.Failed))
	}
}

// printExperimentHeader says what the figures are of and what is missing.
func printExperimentHeader(t *table, report *operator.ExperimentReport) {
	name := "none"
	if report.Experiment != nil {
		name = report.Experiment.Name
	}
	t.line(fmt.Sprintf("template %s/%s, experiment %s, figures of revision %d, %d of %d nodes answered",
		report.Tenant, report.Name, name, report.Revision, report.Answered, report.Asked))
	for _, node := range report.Unanswered {
		t.line(fmt.Sprintf("no answer: node %s in zone %s: %s", node.Node, node.Zone, node.Error))
	}
	for _, node := range report.OtherRevision {
		t.line(fmt.Sprintf("left out: node %s has figures of revision %d", node.Node, node.Revision))
	}
}

// armNames lists the control arm first, then the arms of the experiment, then
// any other arm with figures.
func armNames(report *operator.ExperimentReport) []string {
	names := []string{template.ControlArm}
	if report.Experiment != nil {
		for _, arm := range report.Experiment.Arms {
			names = append(names, arm.Name)
		}
	}
	known := make(map[string]bool)
	for _, name := range names {
		known[name] = true
	}
	for _, figures := range report.Arms {
		if !known[figures.Arm] {
			names = append(names, figures.Arm)
		}
	}
	return names
}

// figuresOf returns the figures of an arm; empty if it had no traffic.
func figuresOf(report *operator.ExperimentReport, arm string) operator.ArmFigures {
	for _, figures := range report.Arms {
		if figures.Arm == arm {
			return figures
		}
	}
	return operator.ArmFigures{Arm: arm}
}

// shareOf returns the share of traffic that an arm is to get.
func shareOf(report *operator.ExperimentReport, name string) float64 {
	rest := 1.0
	if report.Experiment == nil {
		return rest
	}
	for _, arm := range report.Experiment.Arms {
		if arm.Name == name {
			return arm.Share
		}
		rest -= arm.Share
	}
	if name == template.ControlArm {
		return roundShare(rest)
	}
	return 0
}

// roundShare removes what is left of shares such as 0.1 that have no exact
// binary form.
func roundShare(share float64) float64 {
	const precision = 1e9
	return max(math.Round(share*precision)/precision, 0)
}
