package ctl

import (
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// templateDiff is "template diff FILE" and "template diff TENANT/NAME --from N".
type templateDiff struct {
	env        *environment
	From       uint64 `long:"from" value-name:"REVISION" description:"compare this kept revision; the argument is then TENANT/NAME"`
	To         uint64 `long:"to" value-name:"REVISION" description:"with this one; the revision in force if left out"`
	Positional struct {
		Subject string `positional-arg-name:"FILE|TENANT/NAME"`
	} `positional-args:"yes" required:"yes"`
}

// diffReport is the JSON output.
type diffReport struct {
	// From and To are revisions; To is zero for a file.
	From    uint64                 `json:"from"`
	To      uint64                 `json:"to"`
	Changes []template.FieldChange `json:"changes"`
}

// Execute implements flags.Commander.
func (c *templateDiff) Execute([]string) error {
	if c.From == 0 && c.To != 0 {
		return usagef("--to needs --from")
	}
	compare := c.compareFile
	if c.From != 0 {
		compare = c.compareRevisions
	}
	before, after, err := compare()
	if err != nil {
		return err
	}
	return c.printDiff(before, after)
}

// compareFile compares what is in force, if anything, with a file.
func (c *templateDiff) compareFile() (before, after *template.Template, err error) {
	after, err = c.env.readTemplate(c.Positional.Subject)
	if err != nil {
		return nil, nil, err
	}
	before, err = fetchTemplate(c.env, after.Key())
	if outcome.ReasonOf(err) == operator.ReasonNotFound {
		err = nil
	}
	after.Revision = 0
	return before, after, err
}

// compareRevisions compares two kept revisions.
func (c *templateDiff) compareRevisions() (before, after *template.Template, err error) {
	key, err := parseKey(c.Positional.Subject)
	if err != nil {
		return nil, nil, err
	}
	history, err := fetchHistory(c.env, key)
	if err != nil {
		return nil, nil, err
	}
	to := c.To
	if to == 0 {
		to = history.Revisions[0].Revision
	}
	if before, err = findRevision(history, c.From); err != nil {
		return nil, nil, err
	}
	after, err = findRevision(history, to)
	return before, after, err
}

func findRevision(history *operator.TemplateHistory, revision uint64) (*template.Template, error) {
	for _, document := range history.Revisions {
		if document.Revision == revision {
			return document, nil
		}
	}
	return nil, errors.Errorf("revision %d is not kept; see template history", revision)
}

func (c *templateDiff) printDiff(before, after *template.Template) error {
	changes, err := template.Diff(before, after)
	if err != nil {
		return err
	}
	report := diffReport{To: after.Revision, Changes: []template.FieldChange{}}
	if before != nil {
		report.From = before.Revision
	}
	report.Changes = append(report.Changes, changes...)
	return c.env.print(report, func(t *table) { printChanges(t, changes) })
}
