package store

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// answer is the state that a read sees.
type answer struct {
	pairs []pair
	index uint64
	// changed is closed at the next change of the store.
	changed <-chan struct{}
}

// serveRead handles GET with ?recurse, ?keys, ?raw, and ?index with ?wait for a
// blocking query.
func (s *Store) serveRead(writer http.ResponseWriter, request *http.Request) {
	s.counters.reads.Add(1)
	key := keyOf(request)
	parameters := request.URL.Query()
	single := !parameters.Has("recurse") && !parameters.Has("keys")
	if single && key == "" {
		http.Error(writer, "missing key name", http.StatusBadRequest)
		return
	}
	after, wait, err := parseBlocking(parameters)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	found := s.read(key, single)
	if after > 0 {
		s.counters.blocking.Add(1)
		found = s.readAfter(request, key, single, after, wait)
	}
	if request.Context().Err() != nil || !s.passOutage(writer, request) {
		return
	}
	writeAnswer(writer, parameters, key, found)
}

func (s *Store) read(key string, single bool) answer {
	if !single {
		pairs, index, changed := s.state.list(key)
		return answer{pairs: pairs, index: index, changed: changed}
	}
	found, index, changed := s.state.get(key)
	if found == nil {
		return answer{index: index, changed: changed}
	}
	return answer{pairs: []pair{*found}, index: index, changed: changed}
}

// readAfter waits until the index is above after, the store is rolled back
// meanwhile, or the wait is over.
func (s *Store) readAfter(request *http.Request, key string, single bool, after uint64, wait time.Duration) answer {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	restores := s.state.restoreCount()
	for {
		found := s.read(key, single)
		if found.index > after || s.state.restoreCount() != restores {
			return found
		}
		expiry := s.untilNextExpiry()
		select {
		case <-found.changed:
			stopTimer(expiry)
		case <-expiryChannel(expiry):
		case <-timeout.C:
			stopTimer(expiry)
			return found
		case <-request.Context().Done():
			stopTimer(expiry)
			return found
		}
	}
}

// untilNextExpiry returns a timer for the next expiry of a session, which may
// change keys; nil if no session expires.
func (s *Store) untilNextExpiry() *time.Timer {
	next, any := s.state.nextExpiry()
	if !any {
		return nil
	}
	return time.NewTimer(time.Until(next) + time.Millisecond)
}

func expiryChannel(timer *time.Timer) <-chan time.Time {
	if timer == nil {
		return nil
	}
	return timer.C
}

func stopTimer(timer *time.Timer) {
	if timer != nil {
		timer.Stop()
	}
}

func parseBlocking(parameters url.Values) (uint64, time.Duration, error) {
	if !parameters.Has("index") {
		return 0, 0, nil
	}
	index, err := strconv.ParseUint(parameters.Get("index"), 10, 64)
	if err != nil {
		return 0, 0, errors.Wrap(err, "index")
	}
	wait := defaultWait
	if text := parameters.Get("wait"); text != "" {
		if wait, err = time.ParseDuration(text); err != nil {
			return 0, 0, errors.Wrap(err, "wait")
		}
	}
	return index, min(wait, maxWait), nil
}

func writeAnswer(writer http.ResponseWriter, parameters url.Values, prefix string, found answer) {
	writer.Header().Set(headerIndex, strconv.FormatUint(found.index, 10))
	switch {
	case len(found.pairs) == 0:
		writer.WriteHeader(http.StatusNotFound)
	case parameters.Has("keys"):
		writeJSON(writer, keyNames(found.pairs, prefix, parameters.Get("separator")))
	case parameters.Has("raw"):
		// It fails if the other side has gone: there is nobody left to tell.
		_, _ = writer.Write(found.pairs[0].Value)
	default:
		writeJSON(writer, found.pairs)
	}
}

// keyNames lists the keys, each cut after the first separator beyond the prefix
// if a separator is given.
func keyNames(pairs []pair, prefix, separator string) []string {
	names := make([]string, 0, len(pairs))
	for _, item := range pairs {
		name := cutAfterSeparator(item.Key, prefix, separator)
		if len(names) == 0 || names[len(names)-1] != name {
			names = append(names, name)
		}
	}
	return names
}

func cutAfterSeparator(key, prefix, separator string) string {
	if separator == "" {
		return key
	}
	head, _, found := strings.Cut(strings.TrimPrefix(key, prefix), separator)
	if !found {
		return key
	}
	return prefix + head + separator
}
