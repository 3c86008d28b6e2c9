// Package consul implements configstore.Store over the published HTTP
// key-value interface of Consul: compare-and-swap by ?cas=, lists by ?recurse
// and watches by blocking queries (?index= and ?wait=).
//
// Every failure is classified by evidence. A write that fails before a
// connection was made, or that the store says it refused, did not run; any
// other write that fails is unknown.
package consul

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/configstore"
)

// The interface's paths, parameters and headers.
const (
	keyPath       = "/v1/kv/"
	headerIndex   = "X-Consul-Index"
	headerToken   = "X-Consul-Token"
	paramSwap     = "cas"
	paramRecurse  = "recurse"
	paramIndex    = "index"
	paramWait     = "wait"
	paramStrong   = "consistent"
	bodyCommitted = "true"
	bodyConflict  = "false"
)

// Defaults and bounds of Options.
const (
	DefaultCallTimeout = 5 * time.Second
	DefaultMaxBody     = 32 << 20
	// watchSlack is how much longer than its wait a blocking query may take;
	// the interface adds up to a sixteenth of the wait at random.
	watchSlack = 5 * time.Second
	waitJitter = 16
)

// Options sets up a Store. The zero value of a field stands for its default.
type Options struct {
	// Address is the base URL of the store, for example
	// "http://10.0.0.5:8500". Required.
	Address string
	// Token is sent with every call if it is set.
	Token string
	// Client sends the calls; it must have no timeout of its own, which would
	// cut off watches.
	Client *http.Client
	// CallTimeout bounds each call but the waiting of a watch.
	CallTimeout time.Duration
	// MaxBody bounds the body of an answer, in bytes.
	MaxBody int64
}

// Store is a configstore.Store. It is safe for concurrent use.
type Store struct {
	base    *url.URL
	options Options
}

// New checks the options and makes a Store. It sends nothing.
func New(options Options) (*Store, error) {
	base, err := url.Parse(options.Address)
	if err != nil {
		return nil, errors.Wrap(err, "address of the store")
	}
	if (base.Scheme != "http" && base.Scheme != "https") || base.Host == "" {
		return nil, errors.Errorf("address of the store %q: want http://host:port", options.Address)
	}
	if options.Client == nil {
		options.Client = &http.Client{Transport: newTransport()}
	}
	if options.CallTimeout <= 0 {
		options.CallTimeout = DefaultCallTimeout
	}
	if options.MaxBody <= 0 {
		options.MaxBody = DefaultMaxBody
	}
	return &Store{base: base, options: options}, nil
}

// newTransport keeps a connection for each watch and some for other calls.
func newTransport() *http.Transport {
	const idleConnections = 32
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = idleConnections
	transport.Proxy = nil
	return transport
}

// Get implements configstore.Store. The read is linearizable.
func (s *Store) Get(ctx context.Context, key string) (configstore.Entry, error) {
	const step = "read key"
	answer, err := s.read(ctx, step, key, url.Values{paramStrong: {""}}, s.options.CallTimeout)
	if err != nil {
		return configstore.Entry{}, err
	}
	if len(answer.entries) == 0 {
		return configstore.Entry{}, s.fail(step, configstore.ErrNotFound, nil)
	}
	return answer.entries[0], nil
}

// List implements configstore.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]configstore.Entry, uint64, error) {
	answer, err := s.read(ctx, "list keys", prefix, url.Values{paramRecurse: {""}}, s.options.CallTimeout)
	return answer.entries, answer.index, err
}

// Watch implements configstore.Store. A store that goes back to an older
// index is noticed at the latest when wait is over.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]configstore.Entry, uint64, error) {
	parameters := url.Values{
		paramRecurse: {""},
		paramIndex:   {strconv.FormatUint(after, 10)},
		paramWait:    {strconv.FormatInt(max(wait.Milliseconds(), 1), 10) + "ms"},
	}
	answer, err := s.read(ctx, "watch keys", prefix, parameters, wait+wait/waitJitter+watchSlack)
	return answer.entries, answer.index, err
}

// CompareAndSwap implements configstore.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) error {
	return s.write(ctx, "write key", http.MethodPut, key, value, index)
}

// CompareAndDelete implements configstore.Store.
func (s *Store) CompareAndDelete(ctx context.Context, key string, index uint64) error {
	if index == 0 {
		return s.fail("delete key", configstore.ErrConflict, nil)
	}
	return s.write(ctx, "delete key", http.MethodDelete, key, nil, index)
}

func (s *Store) read(ctx context.Context, step, key string, parameters url.Values, timeout time.Duration) (readAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := s.do(ctx, http.MethodGet, s.address(key, parameters), nil)
	if err != nil {
		return readAnswer{}, s.fail(step, configstore.ErrUnavailable, err)
	}
	switch reply.status {
	case http.StatusOK, http.StatusNotFound:
		return s.decode(step, reply)
	case http.StatusTooManyRequests:
		return readAnswer{}, s.fail(step, configstore.ErrLimited, reply.describe())
	default:
		return readAnswer{}, s.fail(step, configstore.ErrUnavailable, reply.describe())
	}
}

func (s *Store) write(ctx context.Context, step, method, key string, value []byte, index uint64) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	parameters := url.Values{paramSwap: {strconv.FormatUint(index, 10)}}
	reply, err := s.do(ctx, method, s.address(key, parameters), value)
	if err != nil {
		return s.fail(step, writeFailure(reply), err)
	}
	if reply.status == http.StatusTooManyRequests {
		return s.fail(step, configstore.ErrLimited, reply.describe())
	}
	if reply.status != http.StatusOK {
		return s.fail(step, configstore.ErrUnknown, reply.describe())
	}
	switch string(bytes.TrimSpace(reply.body)) {
	case bodyCommitted:
		return nil
	case bodyConflict:
		return s.fail(step, configstore.ErrConflict, nil)
	default:
		return s.fail(step, configstore.ErrUnknown, errors.New("the answer is neither true nor false"))
	}
}

// writeFailure classifies a write without an answer.
func writeFailure(reply reply) error {
	if !reply.connected {
		return configstore.ErrUnavailable
	}
	return configstore.ErrUnknown
}

// address returns the URL of a key, each of its path elements escaped.
func (s *Store) address(key string, parameters url.Values) string {
	elements := strings.Split(key, "/")
	for index, element := range elements {
		elements[index] = url.PathEscape(element)
	}
	base := strings.TrimSuffix(s.base.String(), "/")
	return base + keyPath + strings.Join(elements, "/") + "?" + parameters.Encode()
}

func (s *Store) fail(step string, kind, cause error) error {
	return configstore.Failure(step, s.base.Host, kind, cause)
}
