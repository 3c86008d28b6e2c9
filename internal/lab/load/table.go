package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable prints the result for people.
func (r *Result) WriteTable(writer io.Writer) error {
	fmt.Fprintf(writer, "%s: offered %d in %.1f s, not sent %d, seed %d, send lag p99 %.2f ms, machine %.0f%% busy\n",
		r.Name, r.Offered, r.DurationS, r.NotSent, r.Seed, r.SendLag.P99, 100*r.Processor.Machine)
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "template\tarm\trequests\tanswered\tuseful/s\trefused\tfailed\tattempts\tp50 ms\tp99 ms\tp99.9 ms\tcoverage\tcomplete\textra load\trefusal p50 ms")
	for _, arm := range r.Arms {
		writeArm(table, arm)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, series := range r.Series {
		if series.Reason != "" {
			fmt.Fprintf(writer, "step %d %s: %d ended as %s, %s, p50 %.2f ms\n", series.Step, series.Template,
				series.Count, series.Outcome, series.Reason, series.Latency.P50)
		}
	}
	return nil
}

func writeArm(writer io.Writer, arm ArmSummary) {
	template, name := arm.Template, arm.Arm
	if template == "" {
		template = "all"
	}
	if name == "" {
		name = "-"
	}
	fmt.Fprintf(writer, "%s\t%s\t%d\t%d\t%.1f\t%d\t%d\t%.3f\t%.2f\t%.2f\t%.2f\t%.4f\t%d\t%.4f\t%.2f\n",
		template, name, arm.Requests, arm.Answered, arm.UsefulRate, arm.Refused, arm.Failed, arm.Attempts,
		arm.Latency.P50, arm.Latency.P99, arm.Latency.P999, arm.Coverage.Mean, arm.Coverage.Complete,
		arm.ExtraLoad.Ratio, arm.RefusalLatency.P50)
}
