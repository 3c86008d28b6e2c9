package ctl

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// limitList is "limit list".
type limitList struct {
	env *environment
	metricsOptions
}

// limitListReport is its JSON output.
type limitListReport struct {
	limitStatus
	Tenants []tenantSum `json:"tenants"`
	// LeftOut is the least number of tenants with smaller limits that are left out.
	LeftOut int `json:"left_out"`
}

// Execute implements flags.Commander.
func (c *limitList) Execute([]string) error {
	answers, err := c.env.askLimits(c.Metrics, "")
	if err != nil {
		return err
	}
	report := limitListReport{limitStatus: answers.status(), Tenants: []tenantSum{}}
	found, leftOut := answers.details()
	report.LeftOut = leftOut
	for _, detail := range found {
		detail.settle(&report.limitStatus)
		report.Tenants = append(report.Tenants, detail.tenantSum)
	}
	if err := c.env.print(report, func(t *table) { printLimitList(t, &report) }); err != nil {
		return err
	}
	return report.failure()
}

// printLimitList writes the report as text.
func printLimitList(t *table, report *limitListReport) {
	printLimitStatus(t, &report.limitStatus)
	if report.LeftOut > 0 {
		t.line(fmt.Sprintf("left out: at least %d tenants with smaller limits; limit show tells of each", report.LeftOut))
	}
	t.line("")
	t.row("TENANT", "LIMIT/S", "BURST", "ASKED/S", "ADMITTED/S", "SHARE", "COORDINATOR", "ADMITTED", "REFUSED", "WHY")
	for _, one := range report.Tenants {
		t.row(one.Tenant, formatLimit(&one), formatRate(one.Burst), formatRateIfKnown(one.AskedPerSecond), formatRate(one.AdmittedPerSecond),
			formatRatio(one.Share), one.Coordinator, strconv.FormatInt(one.Admitted, 10), formatUint(one.Refused), formatReasons(one.RefusedBy))
	}
}

// printLimitStatus writes over which nodes the figures were added up.
func printLimitStatus(t *table, status *limitStatus) {
	t.line(fmt.Sprintf("%d of %d nodes answered", status.Answered, status.Known))
	for _, one := range status.Unanswered {
		t.line(fmt.Sprintf("no answer: %s: %s", one.Address, one.Error))
	}
	if missing := status.Known - status.Answered - len(status.Unanswered); missing > 0 {
		t.line(fmt.Sprintf("not asked: %d further nodes; name them by --metrics", missing))
	}
	if len(status.Versions) > 1 {
		t.line(fmt.Sprintf("configuration: versions %s are in force", formatNumbers(status.Versions)))
	}
	if len(status.OutOfTouch) > 0 {
		t.line("out of touch: " + strings.Join(status.OutOfTouch, ", "))
	}
}

// formatNumbers lists numbers.
func formatNumbers(numbers []uint64) string {
	texts := make([]string, 0, len(numbers))
	for _, number := range numbers {
		texts = append(texts, formatUint(number))
	}
	return strings.Join(texts, ", ")
}

// formatLimit writes the rate of a limit, marked if nodes know different ones.
func formatLimit(sum *tenantSum) string {
	if sum.LimitsDiffer {
		return formatRate(sum.PerSecond) + " (differs)"
	}
	return formatRate(sum.PerSecond)
}

// formatRate writes a rate or a number of requests with one digit after the point.
func formatRate(value float64) string { return strconv.FormatFloat(value, 'f', 1, 64) }

// formatRateIfKnown writes a rate, or a mark for one that is not known.
func formatRateIfKnown(value *float64) string {
	if value == nil {
		return absent
	}
	return formatRate(*value)
}

// formatReasons lists reasons with their counts.
func formatReasons(counts map[string]uint64) string {
	texts := make([]string, 0, len(counts))
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		texts = append(texts, fmt.Sprintf("%s %d", reason, counts[reason]))
	}
	return strings.Join(texts, ", ")
}
