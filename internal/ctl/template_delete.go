package ctl

import (
	"context"

	"github.com/bramblemast/bramblemast/api/operator"
)

// templateDelete is "template delete TENANT/NAME".
type templateDelete struct {
	env *environment
	changeOptions
	Positional keyArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *templateDelete) Execute([]string) error {
	key, err := c.Positional.key()
	if err != nil {
		return err
	}
	expected, err := c.expected(c.env, key)
	if err != nil {
		return err
	}
	request := operator.DeleteRequest{Key: key, ExpectedRevision: expected, Author: c.author(), Comment: c.Comment}
	change, err := c.env.session().change(c.env.ctx, plannedChange{
		key: key,
		id:  c.id(),
		send: func(ctx context.Context, client *operator.Client, changeID string) (*operator.Change, error) {
			request := request
			request.ChangeID = changeID
			return client.DeleteTemplate(ctx, request)
		},
	})
	if err != nil {
		return err
	}
	return c.env.printChange(change, expected)
}
