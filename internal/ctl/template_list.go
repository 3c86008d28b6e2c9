package ctl

import (
	"context"

	"github.com/bramblemast/bramblemast/api/operator"
)

// templateList is "template list".
type templateList struct {
	env    *environment
	Tenant string `long:"tenant" value-name:"TENANT" description:"only the templates of one tenant"`
}

// Execute implements flags.Commander.
func (c *templateList) Execute([]string) error {
	list, err := read(c.env.ctx, c.env.session(), func(ctx context.Context, client *operator.Client) (*operator.TemplateList, error) {
		return client.Templates(ctx, c.Tenant)
	})
	if err != nil {
		return err
	}
	return c.env.print(list, func(t *table) {
		t.row("TEMPLATE", "REVISION", "SERVICE", "CLASS", "DEADLINE", "EXPERIMENT", "AUTHOR")
		for _, document := range list.Templates {
			experiment := ""
			if document.Experiment != nil {
				experiment = document.Experiment.Name
			}
			t.row(document.Key().String(), formatUint(document.Revision), string(document.Service),
				string(document.Class), document.Deadline.Std().String(), experiment, document.Author)
		}
	})
}
