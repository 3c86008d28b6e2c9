package ctl

import (
	"github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// experimentCompare is "experiment compare TENANT/NAME".
type experimentCompare struct {
	env        *environment
	Positional keyArgument `positional-args:"yes" required:"yes"`
}

// armComparison is an arm's figures beside those of the control arm.
type armComparison struct {
	operator.ArmFigures
	Share     float64         `json:"share"`
	ToControl ratiosToControl `json:"to_control"`
}

// ratiosToControl are an arm's figures divided by the control arm's; absent
// where the control arm's is zero or either has no answers.
type ratiosToControl struct {
	P50          *float64 `json:"p50,omitempty"`
	P99          *float64 `json:"p99,omitempty"`
	CoverageMean *float64 `json:"coverage_mean,omitempty"`
	ExtraLoad    *float64 `json:"extra_load_ratio,omitempty"`
}

// comparisonReport is the JSON output. Its arms hide those of the report.
type comparisonReport struct {
	*operator.ExperimentReport
	Arms []armComparison `json:"arms"`
}

// Execute implements flags.Commander.
func (c *experimentCompare) Execute([]string) error {
	report, err := fetchExperiment(c.env, c.Positional)
	if err != nil {
		return err
	}
	comparison := compareArms(report)
	return c.env.print(comparison, func(t *table) { printComparison(t, comparison) })
}

// compareArms sets every arm beside the control arm.
func compareArms(report *operator.ExperimentReport) comparisonReport {
	comparison := comparisonReport{ExperimentReport: report}
	control := figuresOf(report, template.ControlArm)
	for _, name := range armNames(report) {
		figures := figuresOf(report, name)
		comparison.Arms = append(comparison.Arms, armComparison{
			ArmFigures: figures,
			Share:      shareOf(report, name),
			ToControl:  ratios(figures, control),
		})
	}
	return comparison
}

func ratios(arm, control operator.ArmFigures) ratiosToControl {
	if arm.Answered == 0 || control.Answered == 0 {
		return ratiosToControl{}
	}
	return ratiosToControl{
		P50:          ratio(arm.P50MS, control.P50MS),
		P99:          ratio(arm.P99MS, control.P99MS),
		CoverageMean: ratio(arm.CoverageMean, control.CoverageMean),
		ExtraLoad:    ratio(arm.ExtraLoadRatio, control.ExtraLoadRatio),
	}
}

func ratio(value, base float64) *float64 {
	if base == 0 {
		return nil
	}
	quotient := value / base
	return &quotient
}

func printComparison(t *table, comparison comparisonReport) {
	printExperimentHeader(t, comparison.ExperimentReport)
	t.row("ARM", "SHARE", "REQUESTS", "REFUSED", "FAILED", "P50 MS", "P99 MS",
		"COVERAGE MEAN", "COVERAGE MIN", "EXTRA LOAD", "P50 RATIO", "P99 RATIO", "COVERAGE RATIO", "EXTRA RATIO")
	for _, arm := range comparison.Arms {
		t.row(arm.Arm, formatShare(arm.Share), formatUint(arm.Requests), formatUint(arm.Refused), formatUint(arm.Failed),
			arm.ifAnswered(formatMilliseconds, arm.P50MS), arm.ifAnswered(formatMilliseconds, arm.P99MS),
			arm.ifAnswered(formatShare, arm.CoverageMean), arm.ifAnswered(formatShare, arm.CoverageMinimum),
			formatShare(arm.ExtraLoadRatio),
			formatRatio(arm.ToControl.P50), formatRatio(arm.ToControl.P99),
			formatRatio(arm.ToControl.CoverageMean), formatRatio(arm.ToControl.ExtraLoad))
	}
}

// ifAnswered formats a figure that only answered requests have.
func (a armComparison) ifAnswered(format func(float64) string, figure float64) string {
	if a.Answered == 0 {
		return absent
	}
	return format(figure)
}

func formatRatio(value *float64) string {
	if value == nil {
		return absent
	}
	return formatShare(*value)
}
