package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/bramblemast/bramblemast/internal/lab/load"
)

// WriteTable prints the figures of all arms, the aims and what limits the
// run's worth, for people.
func (o *Output) WriteTable(writer io.Writer) error {
	fmt.Fprintf(writer, "%s (%s, %d repeats, seed %d, %d nodes, capacity %.0f/s)\n",
		o.Name, o.Mode, o.Repeats, o.Seed, o.Nodes, o.Capacity)
	for index, step := range o.Steps {
		fmt.Fprintf(writer, "step %d: %.0f/s for %s\n", index, step.Rate, step.Duration.Std())
	}
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	o.writeHeader(table)
	for _, metric := range metrics {
		o.writeRow(table, metric)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	o.writeAims(writer)
	o.writeNotes(writer)
	return nil
}

func (o *Output) writeHeader(writer io.Writer) {
	fmt.Fprint(writer, "metric")
	for _, arm := range o.Arms {
		fmt.Fprintf(writer, "\t%s", arm.Name)
		if arm.Name != o.Baseline {
			fmt.Fprintf(writer, "\t/%s", o.Baseline)
		}
	}
	fmt.Fprintln(writer)
}

func (o *Output) writeRow(writer io.Writer, metric Metric) {
	measured := false
	for index := range o.Arms {
		measured = measured || o.Arms[index].Figure(metric) != nil
	}
	if !measured {
		return
	}
	fmt.Fprint(writer, metric)
	for index := range o.Arms {
		figure := o.Arms[index].Figure(metric)
		value, comparison := "-", "-"
		if figure != nil {
			value = figure.Value.String()
		}
		if figure != nil && figure.Ratio != nil {
			comparison = figure.Ratio.String()
		}
		fmt.Fprintf(writer, "\t%s", value)
		if o.Arms[index].Name != o.Baseline {
			fmt.Fprintf(writer, "\t%s", comparison)
		}
	}
	fmt.Fprintln(writer)
}

func (o *Output) writeAims(writer io.Writer) {
	for _, aim := range o.Aims {
		verdict := "MISSED"
		if aim.Met {
			verdict = "met"
		}
		subject := fmt.Sprintf("%s of %s", aim.Metric, aim.Arm)
		if aim.RelativeTo != "" {
			subject += " / " + aim.RelativeTo
		}
		fmt.Fprintf(writer, "aim: %s %s: %s, %s\n", subject, aim.bound(), aim.Value, verdict)
	}
}

func (a AimOutput) bound() string {
	if a.AtMost != nil {
		return fmt.Sprintf("<= %g", *a.AtMost)
	}
	return fmt.Sprintf(">= %g", *a.AtLeast)
}

// Thresholds above which a note warns that the figures may show the machine.
const (
	busyMachine  = 0.85
	lateSendP99  = 5.0
	notesAllowed = 10
)

// writeNotes prints what limits the worth of the figures: a busy machine, late
// sends, requests that were not sent, and violations.
func (o *Output) writeNotes(writer io.Writer) {
	for _, run := range o.Runs {
		label := fmt.Sprintf("repeat %d %s", run.Repeat, run.Arm)
		writeLoadNotes(writer, label, run.Load)
		for index, violation := range run.Oracle.Violations {
			if index >= notesAllowed {
				break
			}
			fmt.Fprintf(writer, "VIOLATION in %s: %s\n", label, violation)
		}
	}
	var answers, problems int64
	for _, run := range o.Runs {
		answers += run.Oracle.Answers
		problems += run.Oracle.Problems
	}
	fmt.Fprintf(writer, "oracle: %d answers and %d problems checked, %d violations\n", answers, problems, o.Violations())
}

func writeLoadNotes(writer io.Writer, label string, result *load.Result) {
	if result.Processor.Machine > busyMachine {
		fmt.Fprintf(writer, "note: %s: the machine was %.0f%% busy\n", label, 100*result.Processor.Machine)
	}
	if result.SendLag.P99 > lateSendP99 {
		fmt.Fprintf(writer, "note: %s: requests were sent late, p99 %.1f ms\n", label, result.SendLag.P99)
	}
	if result.NotSent > 0 {
		fmt.Fprintf(writer, "note: %s: %d of %d requests were not sent, too many outstanding\n",
			label, result.NotSent, result.Offered)
	}
}
