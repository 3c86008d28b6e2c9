package labapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/target"
)

// Paths of the admin interface.
const (
	PathServers     = "/lab/servers"
	PathFaults      = "/lab/faults"
	PathServices    = "/lab/services"
	PathExecutions  = "/lab/executions"
	PathStoreFaults = "/lab/store/faults"
	PathStoreStats  = "/lab/store/stats"
	PathRollback    = "/lab/store/rollback"
	PathMachines    = "/lab/machines"
	PathListFaults  = "/lab/machinelist/faults"
)

// requestTimeout bounds one admin call.
const requestTimeout = 30 * time.Second

// maxReply bounds a reply of the admin interface, in bytes.
const maxReply = 256 << 20

// Client drives the admin interface. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the admin interface at the base URL.
func NewClient(base string) *Client {
	return &Client{base: base, http: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Servers lists the back-end servers.
func (c *Client) Servers(ctx context.Context) ([]ServerInfo, error) {
	return get[[]ServerInfo](ctx, c, PathServers)
}

// SetFaults sets the faults of every server that the selector picks.
func (c *Client) SetFaults(ctx context.Context, selector Selector, faults Faults) error {
	return c.command(ctx, PathFaults, FaultsRequest{Selector: selector, Faults: faults})
}

// Drain starts a drain of a server.
func (c *Client) Drain(ctx context.Context, server target.ServerID, request DrainRequest) error {
	return c.command(ctx, serverPath(server, "drain"), request)
}

// Undrain ends a drain.
func (c *Client) Undrain(ctx context.Context, server target.ServerID) error {
	return c.command(ctx, serverPath(server, "undrain"), empty{})
}

// Stop stops a server at once and cuts its connections, as a crash does.
func (c *Client) Stop(ctx context.Context, server target.ServerID) error {
	return c.command(ctx, serverPath(server, "stop"), empty{})
}

// Start starts a stopped server again at its address.
func (c *Client) Start(ctx context.Context, server target.ServerID) error {
	return c.command(ctx, serverPath(server, "start"), empty{})
}

// Publish publishes a new index version of a service.
func (c *Client) Publish(ctx context.Context, service target.Service, request PublishRequest) (target.Version, error) {
	reply, err := post[PublishReply](ctx, c, servicePath(service, "versions"), request)
	return reply.Version, err
}

// Split splits a shard of a service in two.
func (c *Client) Split(ctx context.Context, service target.Service, request SplitRequest) (LayoutReply, error) {
	return post[LayoutReply](ctx, c, servicePath(service, "split"), request)
}

// Merge merges two adjacent shards of a service.
func (c *Client) Merge(ctx context.Context, service target.Service, request MergeRequest) (LayoutReply, error) {
	return post[LayoutReply](ctx, c, servicePath(service, "merge"), request)
}

// Executions returns the matching entries of the execution logs by time.
func (c *Client) Executions(ctx context.Context, query ExecutionsQuery) ([]Execution, error) {
	values := url.Values{}
	values.Set("key", query.IdempotencyKey)
	values.Set("request_id", query.RequestID)
	values.Set("server", string(query.Server))
	values.Set("service", string(query.Service))
	if !query.Since.IsZero() {
		values.Set("since", query.Since.Format(time.RFC3339Nano))
	}
	return get[[]Execution](ctx, c, PathExecutions+"?"+values.Encode())
}

// SetStoreFaults sets the faults of the configuration store.
func (c *Client) SetStoreFaults(ctx context.Context, faults StoreFaults) error {
	return c.command(ctx, PathStoreFaults, faults)
}

// StoreStats returns the counters of the configuration store.
func (c *Client) StoreStats(ctx context.Context) (StoreStats, error) {
	return get[StoreStats](ctx, c, PathStoreStats)
}

// Rollback brings the configuration store back to an older state.
func (c *Client) Rollback(ctx context.Context, index uint64) error {
	return c.command(ctx, PathRollback, RollbackRequest{Index: index})
}

// SetMachine adds a machine to the list or replaces its entry.
func (c *Client) SetMachine(ctx context.Context, machine Machine) error {
	return c.command(ctx, PathMachines, machine)
}

// Machines returns the true state of the machine list, without lag.
func (c *Client) Machines(ctx context.Context) ([]Machine, error) {
	return get[[]Machine](ctx, c, PathMachines)
}

// SetMachineListFaults sets the faults of the machine list.
func (c *Client) SetMachineListFaults(ctx context.Context, faults MachineListFaults) error {
	return c.command(ctx, PathListFaults, faults)
}

func serverPath(server target.ServerID, verb string) string {
	return PathServers + "/" + url.PathEscape(string(server)) + "/" + verb
}

func servicePath(service target.Service, verb string) string {
	return PathServices + "/" + url.PathEscape(string(service)) + "/" + verb
}

// get reads one typed reply.
func get[Reply any](ctx context.Context, c *Client, path string) (Reply, error) {
	var reply Reply
	err := c.exchange(ctx, http.MethodGet, path, nil, &reply)
	return reply, err
}

// post sends a request and reads its typed reply.
func post[Reply any](ctx context.Context, c *Client, path string, request any) (Reply, error) {
	var reply Reply
	body, err := json.Marshal(request)
	if err != nil {
		return reply, errors.Wrap(err, "encode lab request")
	}
	err = c.exchange(ctx, http.MethodPost, path, body, &reply)
	return reply, err
}

// empty is the body of a request or a reply that has no content.
type empty struct{}

// command sends a request whose reply has no content.
func (c *Client) command(ctx context.Context, path string, request any) error {
	_, err := post[empty](ctx, c, path, request)
	return err
}

func (c *Client) exchange(ctx context.Context, method, path string, body []byte, reply any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make lab request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "send lab request")
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return errors.Wrap(err, "read lab reply")
	}
	if response.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("lab %s %s: %s: %s", method, path, response.Status, content)
	}
	return errors.Wrap(json.Unmarshal(content, reply), "decode lab reply")
}
