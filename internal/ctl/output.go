package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// absent stands for a value that is not there, in tables.
const absent = "-"

// print writes a message as JSON, or by table.
func (env *environment) print(message any, table func(*table)) error {
	if env.options.Output == "json" {
		return env.printJSON(message)
	}
	printed := newTable(env.output)
	table(printed)
	return printed.flush()
}

func (env *environment) printJSON(message any) error {
	encoder := json.NewEncoder(env.output)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(message), "write output")
}

// table writes aligned columns.
type table struct {
	writer *tabwriter.Writer
	err    error
}

func newTable(output io.Writer) *table {
	const minimumWidth, tabWidth, padding = 0, 8, 2
	return &table{writer: tabwriter.NewWriter(output, minimumWidth, tabWidth, padding, ' ', 0)}
}

// row writes one line of cells. The first failure is kept for flush.
func (t *table) row(cells ...string) {
	for index, cell := range cells {
		if cell == "" {
			cells[index] = absent
		}
	}
	t.line(strings.Join(cells, "\t"))
}

// line writes text as it is.
func (t *table) line(text string) {
	if _, err := fmt.Fprintln(t.writer, text); err != nil && t.err == nil {
		t.err = err
	}
}

func (t *table) flush() error {
	if err := t.writer.Flush(); err != nil && t.err == nil {
		t.err = err
	}
	return errors.Wrap(t.err, "write output")
}

// writeYAML writes a template as a file that can be published again.
func writeYAML(output io.Writer, document *template.Template) error {
	encoded, err := yaml.Marshal(document)
	if err != nil {
		return errors.Wrap(err, "encode template")
	}
	_, err = output.Write(encoded)
	return errors.Wrap(err, "write output")
}

// changeReport is the output of a command that changes a template.
type changeReport struct {
	*operator.Change
	ExpectedRevision uint64 `json:"expected_revision"`
}

// printChange tells that a change was accepted.
func (env *environment) printChange(change *operator.Change, expected uint64) error {
	return env.print(changeReport{Change: change, ExpectedRevision: expected}, func(t *table) {
		t.line(fmt.Sprintf("accepted: %s/%s is at revision %d (change %s)",
			change.Tenant, change.Name, change.Revision, change.ChangeID))
	})
}

// printChanges writes the fields that differ.
func printChanges(t *table, changes []template.FieldChange) {
	if len(changes) == 0 {
		t.line("no difference")
		return
	}
	t.row("FIELD", "FROM", "TO")
	for _, change := range changes {
		t.row(change.Path, string(change.Old), string(change.New))
	}
}

func formatUint(value uint64) string { return strconv.FormatUint(value, 10) }

// formatShare writes a share or ratio with four digits.
func formatShare(value float64) string { return strconv.FormatFloat(value, 'f', 4, 64) }

// formatMilliseconds writes milliseconds with two digits.
func formatMilliseconds(value float64) string { return strconv.FormatFloat(value, 'f', 2, 64) }

// formatBool writes yes or no.
func formatBool(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
