package ctl

import (
	"context"

	"github.com/bramblemast/bramblemast/api/operator"
)

// nodeList is "node list".
type nodeList struct {
	env *environment
}

// Execute implements flags.Commander.
func (c *nodeList) Execute([]string) error {
	list, err := read(c.env.ctx, c.env.session(), func(ctx context.Context, client *operator.Client) (*operator.NodeList, error) {
		return client.Nodes(ctx)
	})
	if err != nil {
		return err
	}
	return c.env.print(list, func(t *table) {
		t.row("NODE", "ZONE", "REGION", "STATE", "INCARNATION", "PEER ADDRESS", "OPERATOR ADDRESS", "SERVING")
		for _, node := range list.Nodes {
			t.row(string(node.ID), string(node.Zone), string(node.Region), node.State, formatUint(node.Incarnation),
				node.PeerAddress, node.OperatorAddress, formatBool(node.Self))
		}
	})
}
