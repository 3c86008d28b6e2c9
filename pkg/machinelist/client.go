package machinelist

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// Defaults of ClientOptions.
const (
	DefaultTimeout  = 5 * time.Second
	DefaultMaxBytes = 32 << 20
)

// ClientOptions sets up a Client.
type ClientOptions struct {
	// URL is where the list is published.
	URL string
	// Timeout bounds one fetch; zero means DefaultTimeout.
	Timeout time.Duration
	// MaxBytes bounds the document; zero means DefaultMaxBytes, enough for
	// 90,000 servers in groups of one.
	MaxBytes int64
	// HTTP is the client to use; nil means one of its own.
	HTTP *http.Client
}

// Client fetches the machine list. It is safe for concurrent use.
//
// A source that gives an ETag is asked whether the list changed since, so that
// an unchanged one costs a few hundred bytes.
type Client struct {
	options ClientOptions

	// mutex guards last.
	mutex sync.Mutex
	last  fetched
}

// fetched is the last document that came with an ETag.
type fetched struct {
	etag string
	list List
	err  error
}

// NewClient returns a client.
func NewClient(options ClientOptions) *Client {
	if options.Timeout <= 0 {
		options.Timeout = DefaultTimeout
	}
	if options.MaxBytes <= 0 {
		options.MaxBytes = DefaultMaxBytes
	}
	if options.HTTP == nil {
		options.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	}
	return &Client{options: options}
}

// Fetch reads the list once. The error is an EntryErrors if only some entries
// are bad; the good ones are returned with it. Any other error is an
// *outcome.Error with step and peer, and the list is nil. The list must not be
// changed.
func (c *Client) Fetch(ctx context.Context) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	c.mutex.Lock()
	last := c.last
	c.mutex.Unlock()
	document, etag, err := c.read(ctx, last.etag)
	if err != nil {
		return nil, c.failed("fetch machine list", outcome.ReasonUnreachable, err)
	}
	if document == nil {
		return last.list, last.err
	}
	list, err := Parse(document)
	var bad EntryErrors
	if err != nil && !errors.As(err, &bad) {
		return nil, c.failed("parse machine list", outcome.ReasonCorruptResponse, err)
	}
	c.mutex.Lock()
	c.last = fetched{etag: etag, list: list, err: err}
	c.mutex.Unlock()
	return list, err
}

func (c *Client) failed(step string, reason outcome.Reason, cause error) error {
	return &outcome.Error{Step: step, Peer: c.options.URL, Reason: reason, Cause: cause}
}

// read returns the document with its ETag, or nil if it is still the one that
// known names.
func (c *Client) read(ctx context.Context, known string) ([]byte, string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.options.URL, nil)
	if err != nil {
		return nil, "", err
	}
	request.Header.Set("Accept", "application/json")
	if known != "" {
		request.Header.Set("If-None-Match", known)
	}
	answer, err := c.options.HTTP.Do(request)
	if err != nil {
		return nil, "", err
	}
	// It has been read, or is given up: its end tells nothing.
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode == http.StatusNotModified && known != "" {
		return nil, known, nil
	}
	if answer.StatusCode != http.StatusOK {
		return nil, "", errors.Errorf("status %d", answer.StatusCode)
	}
	document, err := io.ReadAll(io.LimitReader(answer.Body, c.options.MaxBytes+1))
	if err != nil {
		return nil, "", err
	}
	if int64(len(document)) > c.options.MaxBytes {
		return nil, "", errors.Errorf("document is larger than %d bytes", c.options.MaxBytes)
	}
	return document, answer.Header.Get("ETag"), nil
}
