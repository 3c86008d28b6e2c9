package experiment

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/lab/topology"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// Bounds of a document, so that a typing error does not occupy the machine.
const (
	maxRepeats = 100
	maxNodes   = 64
)

// problems collects the errors of a document.
type problems []string

func (p *problems) require(satisfied bool, path, format string, arguments ...any) {
	if !satisfied {
		*p = append(*p, path+": "+fmt.Sprintf(format, arguments...))
	}
}

// Check reports every error of the document at once, each with its path.
func (d *Document) Check() error {
	var found problems
	found.require(d.Name != "", "name", "must be set")
	found.require(d.Mode == ModeIsolated || d.Mode == ModeShared, "mode", "want %s or %s", ModeIsolated, ModeShared)
	found.require(d.Repeats >= 1 && d.Repeats <= maxRepeats, "repeats", "want 1 to %d", maxRepeats)
	found.require(d.Nodes >= 1 && d.Nodes <= maxNodes, "nodes", "want 1 to %d", maxNodes)
	found.require(topology.Preset(d.Deployment) != nil, "deployment", "want one of %s",
		strings.Join(topology.Presets(), ", "))
	d.checkTemplates(&found)
	d.checkServices(&found)
	d.checkLoad(&found)
	d.checkArms(&found)
	d.checkAims(&found)
	if len(found) == 0 {
		return nil
	}
	return errors.New(strings.Join(found, "; "))
}

func (d *Document) checkTemplates(found *problems) {
	found.require(d.varied() != nil, "vary", "no template %q", d.Vary)
	for index := range d.Templates {
		path := fmt.Sprintf("templates[%d]", index)
		if err := d.Templates[index].Validate(); err != nil {
			found.require(false, path, "%s", err)
		}
		service := d.Templates[index].Service
		found.require(d.hasService(service), path+".service", "no service %q in the deployment", service)
	}
}

func (d *Document) hasService(name target.Service) bool {
	preset := topology.Preset(d.Deployment)
	return preset != nil && preset.Service(name) != nil
}

func (d *Document) checkServices(found *problems) {
	for index, change := range d.Services {
		found.require(d.hasService(change.Name), fmt.Sprintf("services[%d].name", index),
			"no service %q in the deployment", change.Name)
	}
}

func (d *Document) checkLoad(found *problems) {
	found.require(len(d.Load.Steps) > 0, "load.steps", "must not be empty")
	for index, step := range d.Load.Steps {
		path := fmt.Sprintf("load.steps[%d]", index)
		found.require((step.Rate > 0) != (step.Utilisation > 0), path, "want either rate or utilisation above zero")
		found.require(step.Duration > 0, path+".duration", "must be positive")
	}
	for index, entry := range d.Load.Mix {
		known := false
		for _, document := range d.Templates {
			known = known || document.Key().String() == entry.Name()
		}
		found.require(known, fmt.Sprintf("load.mix[%d]", index), "no template %q", entry.Name())
	}
}

func (d *Document) checkArms(found *problems) {
	found.require(len(d.Arms) > 0, "arms", "must not be empty")
	found.require(d.arm(d.Baseline) != nil, "baseline", "no arm %q", d.Baseline)
	seen := make(map[string]bool)
	for index, arm := range d.Arms {
		path := fmt.Sprintf("arms[%d]", index)
		found.require(arm.Name != "" && !seen[arm.Name], path+".name", "must be set and unique")
		seen[arm.Name] = true
		d.checkArmTemplate(found, path, arm)
	}
}

// checkArmTemplate checks the template that the arm leads to.
func (d *Document) checkArmTemplate(found *problems, path string, arm Arm) {
	if d.varied() == nil {
		return
	}
	for _, document := range d.templatesFor(&arm) {
		if err := document.Validate(); err != nil {
			found.require(false, path, "%s", err)
		}
	}
}

func (d *Document) checkAims(found *problems) {
	for index, aim := range d.Aims {
		path := fmt.Sprintf("aims[%d]", index)
		found.require(d.arm(aim.Arm) != nil, path+".arm", "no arm %q", aim.Arm)
		found.require(aim.RelativeTo == "" || d.arm(aim.RelativeTo) != nil, path+".relative_to", "no arm %q", aim.RelativeTo)
		found.require(aim.Metric.known(), path+".metric", "unknown metric %q", aim.Metric)
		found.require((aim.AtMost == nil) != (aim.AtLeast == nil), path, "want either at_most or at_least")
	}
}
