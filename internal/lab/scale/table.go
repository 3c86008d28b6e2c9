package scale

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable prints the report for people.
func (r *Report) WriteTable(writer io.Writer) error {
	fmt.Fprintf(writer, "%d zones, %s transport, %d templates, %.1f changes/s, seed %d; figures are for one node\n\n",
		r.Zones, r.Transport, r.Templates, r.ChangeRate, r.Seed)
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "nodes\tin zone\tquiet B/s\tmembership\tconfig\tmax B/s\tmsg/s\tcore %\tchanging B/s\tmax B/s\tcore %\tmemory KiB\tin force p50 s\tp99 s\tsuspected p50 s\tremoved p50 s\tp99 s\tstore calls/s\tsettled s\tfalse removals\tpauses\t")
	for _, m := range r.Sizes {
		fmt.Fprintf(table, "%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.3f\t%.0f\t%.0f\t%.3f\t%.0f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t%.1f\t%d\t%d\t\n",
			m.Nodes, m.ZoneNodes, m.Quiet.BytesPerSecond, m.Quiet.MembershipBytesPerSecond, m.Quiet.ConfigBytesPerSecond,
			m.Quiet.MaxBytesPerSecond, m.Quiet.MessagesPerSecond, 100*m.Quiet.CoreShare, m.Changing.BytesPerSecond, m.Changing.MaxBytesPerSecond,
			100*m.Changing.CoreShare, m.MemoryBytes/1024, m.Propagation.Median, m.Propagation.P99, m.Suspected.Median,
			m.Removed.Median, m.Removed.P99, m.Quiet.StoreCallsPerSecond, m.SettleSeconds,
			m.Quiet.Removed+m.Changing.Removed, m.Quiet.Pauses+m.Changing.Pauses)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(writer, "\nLines fitted over the nodes of a zone, and their value at %.0f nodes in a zone:\n\n", r.Budget.ZoneNodes)
	slopes := tabwriter.NewWriter(writer, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(slopes, "figure\tintercept\tper 100 nodes\tat design\tbudget\tunit\t")
	for _, s := range r.Slopes {
		budget, atDesign := "-", "-"
		if s.AtDesign != nil {
			atDesign = fmt.Sprintf("%.4g", *s.AtDesign)
		}
		if s.Budget > 0 {
			budget = fmt.Sprintf("%.4g", s.Budget)
		}
		fmt.Fprintf(slopes, "%s\t%.4g\t%.4g\t%s\t%s\t%s\t\n", s.Figure, s.Intercept, 100*s.PerNode, atDesign, budget, s.Unit)
	}
	return slopes.Flush()
}
