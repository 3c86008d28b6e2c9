package ctl

import (
	"context"
	"fmt"
	"time"

	"github.com/bramblemast/bramblemast/api/operator"
)

// claimArguments are the positional arguments that name a claim.
type claimArguments struct {
	Tenant string `positional-arg-name:"TENANT" required:"yes"`
	Key    string `positional-arg-name:"KEY" required:"yes" description:"the caller's idempotency key"`
}

// claimList is "claim list".
type claimList struct {
	env    *environment
	Tenant string `long:"tenant" value-name:"TENANT" description:"only the claims of one tenant"`
	Limit  int    `long:"limit" value-name:"NUMBER" default:"100" description:"list at most this many, the oldest ones; up to 1000"`
}

// Execute implements flags.Commander.
func (c *claimList) Execute([]string) error {
	list, err := read(c.env.ctx, c.env.session(), func(ctx context.Context, client *operator.Client) (*operator.ClaimList, error) {
		return client.Claims(ctx, c.Tenant, c.Limit)
	})
	if err != nil {
		return err
	}
	return c.env.print(list, func(t *table) {
		printClaims(t, list.Claims)
		if hidden := list.Total - len(list.Claims); hidden > 0 {
			t.line(fmt.Sprintf("%d younger claims are not listed", hidden))
		}
	})
}

// claimGet is "claim get TENANT KEY".
type claimGet struct {
	env        *environment
	Positional claimArguments `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *claimGet) Execute([]string) error {
	found, err := read(c.env.ctx, c.env.session(), func(ctx context.Context, client *operator.Client) (*operator.Claim, error) {
		return client.Claim(ctx, c.Positional.Tenant, c.Positional.Key)
	})
	if err != nil {
		return err
	}
	return c.env.print(found, func(t *table) { printClaims(t, []operator.Claim{*found}) })
}

func printClaims(t *table, claims []operator.Claim) {
	t.row("TENANT", "KEY", "STATE", "AGE", "NODE", "NODE STATE", "CLAIM")
	for _, claim := range claims {
		t.row(claim.Tenant, claim.Key, claim.State, formatAge(claim.AgeMS), string(claim.Node), claim.NodeState, claim.ClaimID)
	}
}

// formatAge writes milliseconds as a duration in whole seconds.
func formatAge(milliseconds int64) string {
	return (time.Duration(milliseconds) * time.Millisecond).Round(time.Second).String()
}

// claimRemove is "claim remove TENANT KEY --claim-id ID".
type claimRemove struct {
	env        *environment
	ClaimID    string         `long:"claim-id" value-name:"ID" required:"yes" description:"id of the claim, as \"claim get\" shows it"`
	Author     string         `long:"author" value-name:"NAME" env:"BRAMBLEMAST_AUTHOR" description:"who makes the change; the name of the user if left out"`
	Positional claimArguments `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *claimRemove) Execute([]string) error {
	removal, err := c.env.session().removeClaim(c.env.ctx, operator.ClaimRemovalRequest{
		Tenant:  c.Positional.Tenant,
		Key:     c.Positional.Key,
		ClaimID: c.ClaimID,
		Author:  authorOrUser(c.Author),
	})
	if err != nil {
		return err
	}
	return c.env.print(removal, func(t *table) {
		t.line(fmt.Sprintf("removed: claim %s; key %q of tenant %q can be used again", removal.ClaimID, removal.Key, removal.Tenant))
	})
}
