package ctl

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/bramblemast/bramblemast/api/operator"
)

// configStatus is "config status".
type configStatus struct {
	env *environment
}

// Execute implements flags.Commander.
func (c *configStatus) Execute([]string) error {
	status, err := read(c.env.ctx, c.env.session(), func(ctx context.Context, client *operator.Client) (*operator.ConfigStatus, error) {
		return client.ConfigStatus(ctx)
	})
	if err != nil {
		return err
	}
	if err := c.env.print(status, func(t *table) { printConfigStatus(t, status) }); err != nil {
		return err
	}
	if !status.Settled() {
		return &incompleteError{message: "not every node has the newest revisions in force"}
	}
	return nil
}

func printConfigStatus(t *table, status *operator.ConfigStatus) {
	t.line(fmt.Sprintf("%d of %d nodes answered, asked by %s", status.Answered, status.Asked, status.ServedBy))
	for _, node := range status.Unanswered {
		t.line(fmt.Sprintf("no answer: node %s in zone %s (%s): %s", node.Node, node.Zone, node.State, node.Error))
	}
	for _, node := range status.Dead {
		t.line(fmt.Sprintf("not asked: node %s is taken for dead", node))
	}
	t.line("")
	t.row("TEMPLATE", "REVISION", "DELETED", "IN FORCE", "BEHIND")
	for _, one := range status.Templates {
		t.row(one.Tenant+"/"+one.Name, formatUint(one.Revision), formatBool(one.Deleted),
			fmt.Sprintf("%d/%d", one.InForce, status.Answered), formatBehind(one.Behind))
	}
	t.line("")
	t.row("NODE", "ZONE", "READY", "DIGEST", "WATCHER", "STORE READ", "STORE BEHIND")
	for _, node := range status.Nodes {
		t.row(string(node.Node), string(node.Zone), formatBool(node.Ready), node.Digest, formatBool(node.Store.Watcher),
			formatTime(node.Store.LastSuccess), strconv.Itoa(node.Store.Behind))
	}
	for _, node := range status.Nodes {
		if node.Store.LastError != "" {
			t.line(fmt.Sprintf("store not read by node %s: %s", node.Node, node.Store.LastError))
		}
	}
}

// formatBehind lists nodes with the older revision that they have.
func formatBehind(behind []operator.RevisionAtNode) string {
	texts := make([]string, 0, len(behind))
	for _, one := range behind {
		text := fmt.Sprintf("%s@%d", one.Node, one.Revision)
		if one.Reason != "" {
			text += " (" + one.Reason + ")"
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, ",")
}

func formatTime(moment *time.Time) string {
	if moment == nil {
		return absent
	}
	return moment.UTC().Format(time.RFC3339)
}
