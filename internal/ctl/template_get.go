package ctl

import (
	"context"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// templateGet is "template get TENANT/NAME".
type templateGet struct {
	env        *environment
	Positional keyArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *templateGet) Execute([]string) error {
	key, err := c.Positional.key()
	if err != nil {
		return err
	}
	document, err := fetchTemplate(c.env, key)
	if err != nil {
		return err
	}
	if c.env.options.Output == "json" {
		return c.env.printJSON(document)
	}
	return writeYAML(c.env.output, document)
}

// fetchTemplate reads the revision in force, which may be a tombstone.
func fetchTemplate(env *environment, key template.Key) (*template.Template, error) {
	return read(env.ctx, env.session(), func(ctx context.Context, client *operator.Client) (*template.Template, error) {
		return client.Template(ctx, key)
	})
}

// fetchLive reads the revision in force and refuses a tombstone.
func fetchLive(env *environment, key template.Key) (*template.Template, error) {
	document, err := fetchTemplate(env, key)
	if err != nil {
		return nil, err
	}
	if document.Deleted {
		return nil, errors.Errorf("template %s was deleted at revision %d", key, document.Revision)
	}
	return document, nil
}
