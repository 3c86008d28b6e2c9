package ctl

import (
	"context"
	"fmt"
	"strings"

	"github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// backendDrain is "backend drain SERVER" and "backend undrain SERVER".
type backendDrain struct {
	env        *environment
	draining   bool
	Author     string `long:"author" value-name:"NAME" env:"BRAMBLEMAST_AUTHOR" description:"who makes the change; the name of the user if left out"`
	Positional struct {
		Server string `positional-arg-name:"SERVER" description:"host:port of the server"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *backendDrain) Execute([]string) error {
	request := operator.DrainRequest{
		Server:   target.ServerID(c.Positional.Server),
		Draining: c.draining,
		Author:   authorOrUser(c.Author),
		Scope:    operator.ScopeAll,
	}
	result, err := read(c.env.ctx, c.env.session(), func(ctx context.Context, client *operator.Client) (*operator.DrainResult, error) {
		return client.SetDraining(ctx, request)
	})
	if err != nil {
		return err
	}
	if err := c.env.print(result, func(t *table) { printDrain(t, result) }); err != nil {
		return err
	}
	if len(result.Unreached) > 0 {
		return &incompleteError{message: "not every zone took it in; repeat the command"}
	}
	return nil
}

func printDrain(t *table, result *operator.DrainResult) {
	t.line(fmt.Sprintf("server %s: draining %s, in zones %s",
		result.Server, formatBool(result.Draining), joinZones(result.Zones)))
	for _, one := range result.Unreached {
		t.line(fmt.Sprintf("not in zone %s: %s", one.Zone, one.Error))
	}
}

func joinZones(zones []target.Zone) string {
	texts := make([]string, 0, len(zones))
	for _, zone := range zones {
		texts = append(texts, string(zone))
	}
	return strings.Join(texts, ",")
}
