package ctl

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// limitShow is "limit show TENANT".
type limitShow struct {
	env *environment
	metricsOptions
	Positional struct {
		Tenant string `positional-arg-name:"TENANT" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

// limitShowReport is its JSON output.
type limitShowReport struct {
	limitStatus
	*tenantDetail
}

// Execute implements flags.Commander.
func (c *limitShow) Execute([]string) error {
	if c.Positional.Tenant == "" {
		return usagef("TENANT is empty")
	}
	answers, err := c.env.askLimits(c.Metrics, c.Positional.Tenant)
	if err != nil {
		return err
	}
	report := limitShowReport{limitStatus: answers.status()}
	found, _ := answers.details()
	if len(found) != 1 {
		return unknownTenant(c.Positional.Tenant, &report.limitStatus)
	}
	report.tenantDetail = found[0]
	report.settle(&report.limitStatus)
	if err := c.env.print(report, func(t *table) { printLimitShow(t, &report) }); err != nil {
		return err
	}
	return report.failure()
}

// unknownTenant returns the error for a tenant that none of the nodes that answered knows.
func unknownTenant(tenant string, status *limitStatus) error {
	if status.isComplete() {
		return errors.Errorf("no node knows a tenant %q", tenant)
	}
	return &incompleteError{message: fmt.Sprintf("no node that answered knows a tenant %q, and not every node answered", tenant)}
}

// printLimitShow writes the report as text.
func printLimitShow(t *table, report *limitShowReport) {
	printLimitStatus(t, &report.limitStatus)
	for _, text := range notAskedReporters(report.tenantDetail) {
		t.line(text)
	}
	t.line("")
	t.line(fmt.Sprintf("tenant %s: limit %s/s, burst %s", report.Tenant, formatLimit(&report.tenantSum), formatRate(report.Burst)))
	t.line(fmt.Sprintf("asked %s/s, admitted %s/s", formatRateIfKnown(report.AskedPerSecond), formatRate(report.AdmittedPerSecond)))
	if report.AtLimitSince != nil {
		t.line("at its limit since " + formatTime(report.AtLimitSince))
	}
	t.line(fmt.Sprintf("since the start of each node: admitted %d, refused %d", report.Admitted, report.Refused))
	printCoordinators(t, report.tenantDetail)
	printZones(t, report.tenantDetail)
	printNodes(t, report.tenantDetail)
}

// notAskedReporters returns a line for each coordinator to which nodes reported that did not answer
// here.
func notAskedReporters(detail *tenantDetail) []string {
	answered := make(map[string]bool, len(detail.Nodes))
	for _, node := range detail.Nodes {
		answered[node.Node] = true
	}
	var lines []string
	for _, coordinator := range detail.Coordinators {
		missing := slices.DeleteFunc(slices.Clone(coordinator.Reporters), func(name string) bool { return answered[name] })
		if len(missing) > 0 {
			lines = append(lines, fmt.Sprintf("reported to %s, and are not among the nodes below: %s", coordinator.Node, strings.Join(missing, ", ")))
		}
	}
	return lines
}

// printCoordinators writes a table of the coordinators that answered; nothing if there are none.
func printCoordinators(t *table, detail *tenantDetail) {
	if len(detail.Coordinators) == 0 {
		return
	}
	t.line("")
	t.row("COORDINATOR", "ZONE", "ROLE", "ASKED/S", "SHARE", "LEVEL", "KEPT BACK/S", "REPORTING")
	for _, one := range detail.Coordinators {
		role := "stand-in"
		if one.First {
			role = "first"
		}
		t.row(one.Node, one.Zone, role, formatRate(one.AskedPerSecond), formatShare(one.Share), formatRate(one.Level),
			formatRate(one.KeptBackPerSecond), strconv.Itoa(one.Reporting))
	}
}

// printZones writes the sums of each zone.
func printZones(t *table, detail *tenantDetail) {
	t.line("")
	t.row("ZONE", "NODES", "ENTITLED/S", "ADMITTED/S", "ADMITTED", "REFUSED")
	for _, zone := range detail.Zones {
		t.row(zone.Zone, strconv.Itoa(zone.Nodes), formatRate(zone.EntitledPerSecond), formatRate(zone.AdmittedPerSecond),
			strconv.FormatInt(zone.Admitted, 10), formatUint(zone.Refused))
	}
}

// printNodes writes what each node said.
func printNodes(t *table, detail *tenantDetail) {
	t.line("")
	t.row("NODE", "ZONE", "DECIDED BY", "SHARE", "SHARE AGE", "ENTITLED/S", "ADMITTED/S", "ADMITTED", "SINCE", "WHY REFUSED")
	for _, node := range detail.Nodes {
		t.row(node.Node, node.Zone, node.decidedBy(), node.shareText(), node.shareAge(), formatRate(node.EntitledPerSecond),
			formatRate(node.AdmittedPerSecond), strconv.FormatInt(node.Admitted, 10), node.CountedSince.UTC().Format(time.RFC3339),
			formatReasons(node.Refused))
	}
}

// decidedBy returns how a node stands to the tenant's coordinators, and the one to which it reports, in
// the words of its log.
func (n *nodeOfTenant) decidedBy() string {
	switch {
	case n.Idle:
		return "idle"
	case n.Coordinator == "":
		return n.DecidedBy
	}
	return n.DecidedBy + " " + n.Coordinator
}

// shareText writes the share that a node was told last, marked if it is too old to admit requests by.
func (n *nodeOfTenant) shareText() string {
	switch {
	case n.ShareAgeMS == nil:
		return absent
	case n.ShareOld:
		return formatShare(n.Share) + " (too old)"
	}
	return formatShare(n.Share)
}

// shareAge writes the time since a node was told its share.
func (n *nodeOfTenant) shareAge() string {
	if n.ShareAgeMS == nil {
		return absent
	}
	return (time.Duration(*n.ShareAgeMS) * time.Millisecond).String()
}
