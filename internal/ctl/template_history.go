package ctl

import (
	"context"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// templateHistory is "template history TENANT/NAME".
type templateHistory struct {
	env        *environment
	Positional keyArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *templateHistory) Execute([]string) error {
	key, err := c.Positional.key()
	if err != nil {
		return err
	}
	history, err := fetchHistory(c.env, key)
	if err != nil {
		return err
	}
	return c.env.print(history, func(t *table) {
		t.row("REVISION", "DELETED", "AUTHOR", "COMMENT", "CHANGE")
		for _, document := range history.Revisions {
			t.row(formatUint(document.Revision), formatBool(document.Deleted),
				document.Author, document.Comment, document.ChangeID)
		}
	})
}

// fetchHistory reads the kept revisions, newest first; there is at least one.
func fetchHistory(env *environment, key template.Key) (*operator.TemplateHistory, error) {
	history, err := read(env.ctx, env.session(), func(ctx context.Context, client *operator.Client) (*operator.TemplateHistory, error) {
		return client.History(ctx, key)
	})
	if err != nil {
		return nil, err
	}
	if len(history.Revisions) == 0 {
		return nil, errors.Errorf("template %s has no history", key)
	}
	return history, nil
}
