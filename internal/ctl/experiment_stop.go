package ctl

import (
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// experimentStop is "experiment stop TENANT/NAME".
type experimentStop struct {
	env *environment
	changeOptions
	Adopt      string      `long:"adopt" value-name:"ARM" description:"make the policies of this arm those of the template"`
	Positional keyArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *experimentStop) Execute([]string) error {
	key, err := c.Positional.key()
	if err != nil {
		return err
	}
	current, err := fetchLive(c.env, key)
	if err != nil {
		return err
	}
	if current.Experiment == nil {
		return errors.Errorf("no experiment is running on %s", key)
	}
	document, err := withoutExperiment(current, c.Adopt)
	if err != nil {
		return err
	}
	return publish(c.env, &c.changeOptions, document, c.expectedOr(current.Revision))
}

// withoutExperiment returns a copy of a template without its experiment and,
// if an arm is to be adopted, with its policies.
func withoutExperiment(current *template.Template, adopt string) (*template.Template, error) {
	stopped := *current
	stopped.Experiment = nil
	stopped.Comment = "stop experiment " + current.Experiment.Name
	if adopt == "" || adopt == template.ControlArm {
		return &stopped, nil
	}
	for _, arm := range current.Experiment.Arms {
		if arm.Name == adopt {
			stopped.Comment += ", adopt arm " + adopt
			stopped.Policies = policy.Merge(current.Policies, arm.Policies)
			return &stopped, nil
		}
	}
	return nil, usagef("--adopt: experiment %q has no arm %q", current.Experiment.Name, adopt)
}
