package ctl

import (
	"context"

	"github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// templateRollback is "template rollback TENANT/NAME --to REVISION".
type templateRollback struct {
	env *environment
	changeOptions
	To         uint64      `long:"to" value-name:"REVISION" required:"yes" description:"kept revision whose content is published again"`
	Positional keyArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *templateRollback) Execute([]string) error {
	key, err := c.Positional.key()
	if err != nil {
		return err
	}
	if c.To == 0 {
		return usagef("--to: want a revision above 0")
	}
	expected, err := c.expected(c.env, key)
	if err != nil {
		return err
	}
	request := operator.RollbackRequest{
		ToRevision: c.To, ExpectedRevision: expected, Author: c.author(), Comment: c.Comment,
	}
	change, err := c.env.session().change(c.env.ctx, plannedChange{
		key: key,
		id:  c.id(),
		send: func(ctx context.Context, client *operator.Client, changeID string) (*operator.Change, error) {
			return client.RollbackTemplate(ctx, key, changeID, request)
		},
	})
	if err != nil {
		return err
	}
	return c.env.printChange(change, expected)
}

// expected returns the revision that a change replaces: the given one, or else
// the one in force now.
func (o *changeOptions) expected(env *environment, key template.Key) (uint64, error) {
	if o.ExpectedRevision != nil {
		return *o.ExpectedRevision, nil
	}
	document, err := fetchTemplate(env, key)
	if err != nil {
		return 0, err
	}
	return document.Revision, nil
}
