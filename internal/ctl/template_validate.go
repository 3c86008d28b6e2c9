package ctl

import (
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/template"
)

// templateValidate is "template validate FILE...".
type templateValidate struct {
	env        *environment
	Positional struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// fileReport is the result for one file.
type fileReport struct {
	File string `json:"file"`
	// Template is "tenant/name"; absent if the file is not valid.
	Template string               `json:"template,omitempty"`
	Valid    bool                 `json:"valid"`
	Errors   template.FieldErrors `json:"errors"`
}

// Execute implements flags.Commander.
func (c *templateValidate) Execute([]string) error {
	var reports []fileReport
	faulty := 0
	for _, file := range c.Positional.Files {
		report, err := c.check(file)
		if err != nil {
			return err
		}
		if !report.Valid {
			faulty++
		}
		reports = append(reports, report)
	}
	if err := c.env.print(reports, func(t *table) { printFileReports(t, reports) }); err != nil {
		return err
	}
	if faulty > 0 {
		return usagef("%d of %d files are not valid", faulty, len(reports))
	}
	return nil
}

// check reads one file; the error says that it could not be read.
func (c *templateValidate) check(file string) (fileReport, error) {
	report := fileReport{File: file, Errors: template.FieldErrors{}}
	data, err := c.env.readFile(file)
	if err != nil {
		return report, err
	}
	document, err := template.Parse(data)
	if err == nil {
		report.Valid = true
		report.Template = document.Key().String()
		return report, nil
	}
	if !errors.As(err, &report.Errors) {
		report.Errors = template.FieldErrors{{Message: err.Error()}}
	}
	return report, nil
}

func printFileReports(t *table, reports []fileReport) {
	t.row("FILE", "RESULT", "FIELD", "FAULT")
	for _, report := range reports {
		if report.Valid {
			t.row(report.File, "valid", "", "")
		}
		for _, fault := range report.Errors {
			t.row(report.File, "invalid", fault.Path, fault.Message)
		}
	}
}
