package faultproxy

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Bounds of one control call.
const (
	controlTimeout  = 10 * time.Second
	maxControlReply = 64 << 20
)

// Client drives the control interface of a proxy in another process. It is safe
// for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the control interface at the base URL.
func NewClient(base string) *Client {
	return &Client{base: base, http: &http.Client{Timeout: controlTimeout, Transport: &http.Transport{}}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// AddLink starts a link and returns the address of its listener.
func (c *Client) AddLink(ctx context.Context, config LinkConfig) (string, error) {
	var reply linkAdded
	err := c.exchange(ctx, http.MethodPost, PathLinks, config, &reply)
	return reply.Address, err
}

// Links lists the links.
func (c *Client) Links(ctx context.Context) ([]LinkInfo, error) {
	var links []LinkInfo
	err := c.exchange(ctx, http.MethodGet, PathLinks, nil, &links)
	return links, err
}

// AddRule puts a rule in force and returns its id.
func (c *Client) AddRule(ctx context.Context, rule Rule) (int, error) {
	var reply ruleAdded
	err := c.exchange(ctx, http.MethodPost, PathRules, rule, &reply)
	return reply.ID, err
}

// Rules lists the rules in force.
func (c *Client) Rules(ctx context.Context) ([]RuleInfo, error) {
	var rules []RuleInfo
	err := c.exchange(ctx, http.MethodGet, PathRules, nil, &rules)
	return rules, err
}

// RemoveRule ends a rule.
func (c *Client) RemoveRule(ctx context.Context, id int) error {
	return c.exchange(ctx, http.MethodDelete, PathRules+"/"+strconv.Itoa(id), nil, nil)
}

// ClearRules ends every rule.
func (c *Client) ClearRules(ctx context.Context) error {
	return c.exchange(ctx, http.MethodDelete, PathRules, nil, nil)
}

// exchange sends one call; request and reply may be nil.
func (c *Client) exchange(ctx context.Context, method, path string, request, reply any) error {
	var body io.Reader
	if request != nil {
		content, err := json.Marshal(request)
		if err != nil {
			return errors.Wrap(err, "encode control request")
		}
		body = bytes.NewReader(content)
	}
	call, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return errors.Wrap(err, "make control request")
	}
	call.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(call)
	if err != nil {
		return errors.Wrap(err, "send control request")
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxControlReply))
	if err != nil {
		return errors.Wrap(err, "read control reply")
	}
	if response.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("proxy %s %s: %s: %s", method, path, response.Status, content)
	}
	if reply == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(content, reply), "decode control reply")
}
