package ctl

import (
	"context"
	"strconv"
	"strings"

	"github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// backendList is "backend list".
type backendList struct {
	env     *environment
	Service string `long:"service" value-name:"SERVICE" description:"only the servers of one service"`
}

// Execute implements flags.Commander.
func (c *backendList) Execute([]string) error {
	list, err := read(c.env.ctx, c.env.session(), func(ctx context.Context, client *operator.Client) (*operator.BackendList, error) {
		return client.Backends(ctx, target.Service(c.Service))
	})
	if err != nil {
		return err
	}
	return c.env.print(list, func(t *table) {
		t.row("SERVER", "SERVICE", "GROUP", "ZONE", "STATE", "CAUSE", "DRAINED BY", "WEIGHT", "SLOTS", "CONNECTIONS", "LOAD", "VERSIONS")
		for _, backend := range list.Backends {
			t.row(string(backend.Server), string(backend.Service), backend.Group, string(backend.Zone), backend.State,
				backend.Cause, drainedBy(backend), formatShare(backend.Weight), strconv.Itoa(backend.Slots),
				strconv.Itoa(backend.Connections), formatRatio(backend.ReportedLoad), formatVersions(backend.Versions))
		}
	})
}

// drainedBy says who drained a server; empty if no operator did.
func drainedBy(backend operator.Backend) string {
	if backend.OperatorDrained && backend.OperatorAuthor == "" {
		return "unnamed"
	}
	if backend.OperatorDrained {
		return backend.OperatorAuthor
	}
	return ""
}

func formatVersions(versions []target.Version) string {
	texts := make([]string, 0, len(versions))
	for _, version := range versions {
		texts = append(texts, formatUint(uint64(version)))
	}
	return strings.Join(texts, ",")
}
