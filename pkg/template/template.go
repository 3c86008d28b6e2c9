// Package template defines the document by which operators set the policy of
// one kind of request of one tenant. A document is immutable once it is
// published; every change is a new document with a higher revision.
package template

import (
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// Template is the policy for one kind of request of one tenant.
type Template struct {
	Tenant string `json:"tenant" yaml:"tenant"`
	Name   string `json:"name" yaml:"name"`
	// Revision is one higher than that of the document it replaces. Operators'
	// files leave it out; publishing sets it.
	Revision uint64 `json:"revision,omitempty" yaml:"revision,omitempty"`
	// ChangeID identifies the write that published this revision.
	ChangeID string `json:"change_id,omitempty" yaml:"change_id,omitempty"`
	// Author and Comment are for operators only.
	Author  string `json:"author,omitempty" yaml:"author,omitempty"`
	Comment string `json:"comment,omitempty" yaml:"comment,omitempty"`
	// Deleted marks a tombstone: the template is gone, and its revision keeps
	// an older one from coming back.
	Deleted bool `json:"deleted,omitempty" yaml:"deleted,omitempty"`

	Service target.Service `json:"service" yaml:"service"`
	Class   policy.Class   `json:"class" yaml:"class"`
	// Deadline bounds a request that names none itself, and is the longest
	// that a request may name.
	Deadline policy.Duration `json:"deadline" yaml:"deadline"`
	// NotRepeatable marks requests that run at most once, at one server.
	NotRepeatable bool `json:"not_repeatable,omitempty" yaml:"not_repeatable,omitempty"`
	// MinimumCoverage is the share of the key space below which no records are
	// given, only an error; 0 to 1.
	MinimumCoverage float64 `json:"minimum_coverage,omitempty" yaml:"minimum_coverage,omitempty"`
	// Limit is the greatest number of records in an answer.
	Limit int `json:"limit,omitempty" yaml:"limit,omitempty"`

	Policies   policy.Spec `json:"policies,omitzero" yaml:"policies,omitempty"`
	Experiment *Experiment `json:"experiment,omitempty" yaml:"experiment,omitempty"`
}

// Experiment splits the live traffic of a template over arms.
type Experiment struct {
	Name string `json:"name" yaml:"name"`
	Arms []Arm  `json:"arms" yaml:"arms"`
}

// Arm is one side of an experiment. The shares of all arms add up to at most
// 1; the rest of the traffic uses the template's own policies, under the arm
// name ControlArm.
type Arm struct {
	Name  string  `json:"name" yaml:"name"`
	Share float64 `json:"share" yaml:"share"`
	// Policies replaces the template's policies kind by kind: a kind whose
	// Policy (for ExtraLoad: Share) is empty here is taken from the template.
	Policies policy.Spec `json:"policies,omitzero" yaml:"policies,omitempty"`
}

// ControlArm is the arm name of traffic outside every arm.
const ControlArm = "control"

// Key identifies a template.
type Key struct {
	Tenant string
	Name   string
}

// Key returns the key of the template.
func (t *Template) Key() Key { return Key{Tenant: t.Tenant, Name: t.Name} }

// String formats the key as "tenant/name".
func (k Key) String() string { return k.Tenant + "/" + k.Name }
