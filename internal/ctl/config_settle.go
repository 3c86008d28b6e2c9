package ctl

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// configSettle is "config settle TENANT/NAME CHANGE-ID".
type configSettle struct {
	env        *environment
	Positional struct {
		Key      string `positional-arg-name:"TENANT/NAME" required:"yes"`
		ChangeID string `positional-arg-name:"CHANGE-ID" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *configSettle) Execute([]string) error {
	key, err := parseKey(c.Positional.Key)
	if err != nil {
		return err
	}
	change, err := read(c.env.ctx, c.env.session(), func(ctx context.Context, client *operator.Client) (*operator.Change, error) {
		return client.SettleChange(ctx, key, c.Positional.ChangeID)
	})
	if err != nil {
		return c.unsettled(key, err)
	}
	if err := c.env.print(change, func(t *table) { t.line(describeSettled(change)) }); err != nil {
		return err
	}
	return c.settledError(key, change)
}

func describeSettled(change *operator.Change) string {
	switch change.Outcome {
	case outcome.Completed:
		return fmt.Sprintf("accepted: %s/%s revision %d", change.Tenant, change.Name, change.Revision)
	case outcome.NotRun:
		return "not accepted, and it never will be"
	default:
		return "still unknown; ask again later"
	}
}

// settledError chooses the exit code for a change that is not accepted.
func (c *configSettle) settledError(key template.Key, change *operator.Change) error {
	switch change.Outcome {
	case outcome.Completed:
		return nil
	case outcome.NotRun:
		return &incompleteError{message: "the change was not accepted"}
	default:
		return c.stillUnknown(key, errors.New(change.Detail))
	}
}

// unsettled chooses the exit code for a failure to settle: the outcome of the
// change stays unknown, unless the command itself was wrong.
func (c *configSettle) unsettled(key template.Key, err error) error {
	if !elsewhere(err) {
		return err
	}
	return c.stillUnknown(key, err)
}

func (c *configSettle) stillUnknown(key template.Key, cause error) error {
	return &unknownChangeError{
		change: plannedChange{key: key, id: c.Positional.ChangeID},
		cause: &outcome.Error{
			Step: "settle change", Outcome: outcome.Unknown, Reason: outcome.ReasonStoreAway, Cause: cause,
		},
	}
}
