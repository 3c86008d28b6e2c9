// Package experiment runs policies side by side at the same offered load and
// compares them. A Document says what to run; a Runner runs it against
// environments of stand-ins and nodes that a Launcher makes, has the oracle
// check every answer, and gives an Output with means and intervals over the
// repeats.
//
// In the isolated mode each arm of each repeat has nodes and back ends of its
// own, one after the other; in the shared mode the arms are an experiment of
// the template, so that they share the same back ends at the same time.
package experiment

import (
	"os"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/lab/load"
	"github.com/bramblemast/bramblemast/internal/lab/topology"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// Mode says how arms are run beside each other.
type Mode string

// The modes.
const (
	// ModeIsolated gives each arm back ends of its own.
	ModeIsolated Mode = "isolated"
	// ModeShared splits the live traffic of the template over the arms.
	ModeShared Mode = "shared"
)

// Document is an experiment as written in a YAML file.
type Document struct {
	Name        string `yaml:"name"`
	Description string `yaml:"description"`
	Mode        Mode   `yaml:"mode"`
	// Seed sets the arrivals, the contents and the faults; each repeat has its
	// own seed, made from it, which all arms of the repeat share.
	Seed    uint64 `yaml:"seed"`
	Repeats int    `yaml:"repeats"`
	// Deployment is the name of a preset; only the services that the templates
	// ask are started.
	Deployment string          `yaml:"deployment"`
	Services   []ServiceChange `yaml:"services"`
	// Nodes is the number of nodes, spread over the zones in turn.
	Nodes   int     `yaml:"nodes"`
	Load    Load    `yaml:"load"`
	Changes Changes `yaml:"changes"`
	// Templates are published as they are, except that the one named by Vary
	// (the first if empty) gets the policies of the arms.
	Templates []template.Template `yaml:"templates"`
	Vary      string              `yaml:"vary"`
	Arms      []Arm               `yaml:"arms"`
	// Baseline is the arm that the others are compared with; the first if
	// empty.
	Baseline string `yaml:"baseline"`
	Aims     []Aim  `yaml:"aims"`
}

// ServiceChange replaces settings of one service of the preset; what is absent
// stays.
type ServiceChange struct {
	Name        target.Service        `yaml:"name"`
	ServiceTime *topology.ServiceTime `yaml:"service_time"`
	Slots       *int                  `yaml:"slots"`
	Queue       *int                  `yaml:"queue"`
	Records     *int                  `yaml:"records"`
}

// Load is the offered load, the same for every arm.
type Load struct {
	Arrivals load.Arrivals   `yaml:"arrivals"`
	Warmup   policy.Duration `yaml:"warmup"`
	Steps    []Step          `yaml:"steps"`
	// Mix defaults to the varied template alone. An entry of a repeatable
	// template without queries and keys draws from those of load.GroupQueries.
	Mix            []load.TemplateLoad `yaml:"mix"`
	MaxOutstanding int                 `yaml:"max_outstanding"`
	// HonourRetryAfter makes refused callers retry, at most MaxAttempts
	// times in all.
	HonourRetryAfter bool `yaml:"honour_retry_after"`
	MaxAttempts      int  `yaml:"max_attempts"`
}

// Step is a time at one rate, given as such or as a share of the capacity of
// the varied template's service.
type Step struct {
	Rate        float64         `yaml:"rate"`
	Utilisation float64         `yaml:"utilisation"`
	Duration    policy.Duration `yaml:"duration"`
}

// Arm is one side of the comparison.
type Arm struct {
	Name string `yaml:"name"`
	// Policies replaces the varied template's policies kind by kind.
	Policies policy.Spec `yaml:"policies"`
	// Share is the share of the traffic in the shared mode; the same for all
	// arms if none is given.
	Share float64 `yaml:"share"`
	// HonourRetryAfter replaces that of Load in the isolated mode.
	HonourRetryAfter *bool `yaml:"honour_retry_after"`
}

// Aim is a bound that an arm is wanted to keep.
type Aim struct {
	Arm    string `yaml:"arm"`
	Metric Metric `yaml:"metric"`
	// RelativeTo, if set, bounds the ratio to another arm's figure.
	RelativeTo string   `yaml:"relative_to"`
	AtMost     *float64 `yaml:"at_most"`
	AtLeast    *float64 `yaml:"at_least"`
}

// LoadDocument reads a document from a YAML file and checks it. It also returns the
// text, which belongs into the output.
func LoadDocument(path string) (*Document, string, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, "", errors.Wrap(err, "read experiment")
	}
	var document Document
	if err := yaml.UnmarshalWithOptions(content, &document, yaml.Strict()); err != nil {
		return nil, "", errors.Wrapf(err, "parse experiment %s", path)
	}
	document.fillDefaults()
	if err := document.Check(); err != nil {
		return nil, "", errors.Wrapf(err, "check experiment %s", path)
	}
	return &document, string(content), nil
}

func (d *Document) fillDefaults() {
	if d.Mode == "" {
		d.Mode = ModeIsolated
	}
	if d.Repeats == 0 {
		d.Repeats = 1
	}
	if d.Nodes == 0 {
		d.Nodes = 1
	}
	if d.Vary == "" && len(d.Templates) > 0 {
		d.Vary = d.Templates[0].Key().String()
	}
	if d.Baseline == "" && len(d.Arms) > 0 {
		d.Baseline = d.Arms[0].Name
	}
	if varied := d.varied(); varied != nil && len(d.Load.Mix) == 0 {
		d.Load.Mix = []load.TemplateLoad{{Tenant: varied.Tenant, Template: varied.Name}}
	}
	d.fillQueries()
	if d.Mode == ModeShared {
		d.fillShares()
	}
}

// fillQueries gives each caller of a repeatable template one of several
// questions, so that a mix-up of answers shows.
func (d *Document) fillQueries() {
	for index := range d.Load.Mix {
		entry := &d.Load.Mix[index]
		if !entry.NotRepeatable && len(entry.Queries) == 0 && len(entry.Keys) == 0 {
			entry.Queries = load.GroupQueries()
		}
	}
}

// fillShares divides the traffic evenly unless a share is given.
func (d *Document) fillShares() {
	for _, arm := range d.Arms {
		if arm.Share != 0 {
			return
		}
	}
	for index := range d.Arms {
		d.Arms[index].Share = 1 / float64(len(d.Arms))
	}
}

// varied returns the template that the arms vary, or nil.
func (d *Document) varied() *template.Template {
	for index := range d.Templates {
		if d.Templates[index].Key().String() == d.Vary {
			return &d.Templates[index]
		}
	}
	return nil
}

func (d *Document) arm(name string) *Arm {
	for index := range d.Arms {
		if d.Arms[index].Name == name {
			return &d.Arms[index]
		}
	}
	return nil
}
