package consul

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/configstore"
)

// errBodyTooLarge means that an answer exceeds Options.MaxBody.
var errBodyTooLarge = errors.New("the answer is larger than allowed")

// reply is the whole answer to one call, or as much as came.
type reply struct {
	// connected is whether a connection was had, so that bytes may have been
	// sent.
	connected bool
	status    int
	index     string
	body      []byte
}

// describe returns the status and the beginning of the body as an error.
func (r reply) describe() error {
	const longest = 200
	text := strings.TrimSpace(string(r.body[:min(len(r.body), longest)]))
	return errors.Errorf("status %d: %s", r.status, strings.ToValidUTF8(text, "?"))
}

// do sends one call and reads the whole answer. With an error, the reply still
// tells whether a connection was had.
func (s *Store) do(ctx context.Context, method, address string, value []byte) (reply, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, address, bytes.NewReader(value))
	if err != nil {
		return reply{}, err
	}
	if s.options.Token != "" {
		request.Header.Set(headerToken, s.options.Token)
	}
	response, err := s.options.Client.Do(request)
	if err != nil {
		return reply{connected: connected.Load()}, err
	}
	defer func() { _ = response.Body.Close() }() // the body was read or is given up
	body, err := readBounded(response.Body, s.options.MaxBody)
	if err != nil {
		return reply{connected: true}, err
	}
	return reply{
		connected: true,
		status:    response.StatusCode,
		index:     response.Header.Get(headerIndex),
		body:      body,
	}, nil
}

func readBounded(body io.Reader, greatest int64) ([]byte, error) {
	read, err := io.ReadAll(io.LimitReader(body, greatest+1))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if int64(len(read)) > greatest {
		return nil, errBodyTooLarge
	}
	return read, nil
}

// readAnswer is a decoded answer to a read.
type readAnswer struct {
	entries []configstore.Entry
	index   uint64
}

// wireEntry is one key as the interface writes it; the value is base64.
type wireEntry struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
}

// decode reads the answer to a read. An absent key has no body.
func (s *Store) decode(step string, reply reply) (readAnswer, error) {
	index, err := strconv.ParseUint(reply.index, 10, 64)
	if err != nil {
		return readAnswer{}, s.fail(step, configstore.ErrUnavailable, errors.Wrap(err, headerIndex))
	}
	if reply.status == http.StatusNotFound {
		return readAnswer{index: index}, nil
	}
	entries, err := decodeEntries(reply.body)
	if err != nil {
		return readAnswer{}, s.fail(step, configstore.ErrUnavailable, err)
	}
	return readAnswer{entries: entries, index: index}, nil
}

func decodeEntries(body []byte) ([]configstore.Entry, error) {
	var wire []wireEntry
	if err := json.Unmarshal(body, &wire); err != nil {
		return nil, errors.Wrap(err, "decode entries")
	}
	entries := make([]configstore.Entry, 0, len(wire))
	for _, entry := range wire {
		if entry.Key == "" || entry.ModifyIndex == 0 {
			return nil, errors.New("an entry lacks its key or index")
		}
		entries = append(entries, configstore.Entry{Key: entry.Key, Value: entry.Value, Index: entry.ModifyIndex})
	}
	return entries, nil
}
