package ctl

import (
	"context"

	"github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// templatePublish is "template publish FILE".
type templatePublish struct {
	env *environment
	changeOptions
	Positional struct {
		File string `positional-arg-name:"FILE" description:"template file, - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *templatePublish) Execute([]string) error {
	document, err := c.env.readTemplate(c.Positional.File)
	if err != nil {
		return err
	}
	if document.Deleted {
		return usagef("%s: deleted: use template delete", c.Positional.File)
	}
	expected := document.Revision
	if c.ExpectedRevision != nil {
		expected = *c.ExpectedRevision
	}
	return publish(c.env, &c.changeOptions, document, expected)
}

// publish sends a template to the nodes and prints what became of it.
func publish(env *environment, options *changeOptions, document *template.Template, expected uint64) error {
	sent := *document
	sent.Revision, sent.ChangeID = 0, ""
	options.annotate(&sent)
	change, err := env.session().change(env.ctx, plannedChange{
		key: sent.Key(),
		id:  options.id(),
		send: func(ctx context.Context, client *operator.Client, changeID string) (*operator.Change, error) {
			return client.PublishTemplate(ctx, operator.PublishRequest{
				Template: &sent, ExpectedRevision: expected, ChangeID: changeID,
			})
		},
	})
	if err != nil {
		return err
	}
	return env.printChange(change, expected)
}
