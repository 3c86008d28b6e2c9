package main

import (
	"fmt"

	"github.com/jessevdk/go-flags"

	"github.com/bramblemast/bramblemast/internal/lab/experiment"
	"github.com/bramblemast/bramblemast/internal/lab/report"
)

func init() { registrations = append(registrations, registerReport) }

const reportDescription = `Plots and one HTML page from the JSON of an experiment.

Examples:
  bramblemast-lab report /tmp/overload.json --output /tmp/overload`

// registerReport adds "report".
func registerReport(parser *flags.Parser) error {
	_, err := parser.AddCommand("report", "Plots and a page of an experiment", reportDescription, &reportCommand{})
	return err
}

// reportCommand is "report".
type reportCommand struct {
	Output    string `long:"output" value-name:"DIR" required:"yes" description:"Directory for the plots and the page."`
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"JSON output of an experiment."`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *reportCommand) Execute([]string) error {
	output, err := experiment.ReadOutput(c.Arguments.File)
	if err != nil {
		return err
	}
	page, err := report.Write(output, c.Output)
	if err != nil {
		return err
	}
	fmt.Println(page)
	return nil
}
