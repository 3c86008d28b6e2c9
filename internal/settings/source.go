package settings

import (
	"fmt"
	"math"
	"net"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
)

// The least port of an address: a listener may leave the choice to the system,
// a remote address may not.
const (
	portFree     = 0
	portRequired = 1
)

// FieldError is one wrong setting.
type FieldError struct {
	// Path is the path of the field, for example "listen.callers".
	Path    string
	Message string
}

// Error implements error.
func (e FieldError) Error() string { return e.Path + ": " + e.Message }

// Errors lists every wrong setting, sorted by path.
type Errors []FieldError

// Error implements error with one line for each wrong setting.
func (e Errors) Error() string {
	lines := make([]string, 0, len(e))
	for _, item := range e {
		lines = append(lines, item.Error())
	}
	return fmt.Sprintf("%d wrong settings:\n  %s", len(e), strings.Join(lines, "\n  "))
}

// source hands out the values of a settings tree by path and collects every
// error on the way. It is not safe for concurrent use.
type source struct {
	values map[string]any
	asked  map[string]bool
	errors Errors
}

func newSource(tree map[string]any) *source {
	source := &source{values: make(map[string]any), asked: make(map[string]bool)}
	source.flatten("", tree)
	return source
}

func (s *source) flatten(prefix string, tree map[string]any) {
	for key, value := range tree {
		path := prefix + key
		if nested, ok := value.(map[string]any); ok {
			s.flatten(path+".", nested)
			continue
		}
		s.values[path] = value
	}
}

func (s *source) override(override Override) {
	s.values[override.Path] = override.Value
}

func (s *source) fail(path, format string, arguments ...any) {
	s.errors = append(s.errors, FieldError{Path: path, Message: fmt.Sprintf(format, arguments...)})
}

func (s *source) take(path string) (any, bool) {
	s.asked[path] = true
	value, found := s.values[path]
	return value, found && value != nil
}

func (s *source) text(path, fallback string) string {
	value, found := s.take(path)
	if !found {
		return fallback
	}
	text, ok := value.(string)
	if !ok {
		s.fail(path, "want text, got %v", value)
	}
	return text
}

// name is a required text of letters, digits, "-", "_" and "."; an empty
// fallback makes the setting required.
func (s *source) name(path, fallback string) string {
	name := s.text(path, fallback)
	if name == "" {
		s.fail(path, "is required")
	}
	if len(name) > 64 || strings.Trim(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") != "" {
		s.fail(path, "want at most 64 letters, digits, '-', '_' or '.', got %q", name)
	}
	return name
}

func (s *source) oneOf(path, fallback string, allowed ...string) string {
	text := s.text(path, fallback)
	if !slices.Contains(allowed, text) {
		s.fail(path, "want one of %s, got %q", strings.Join(allowed, ", "), text)
	}
	return text
}

func (s *source) address(path, fallback string) string {
	text := s.text(path, fallback)
	s.checkAddress(path, text, portFree)
	return text
}

// optionalAddress is an address that may be left out.
func (s *source) optionalAddress(path string) string {
	text := s.text(path, "")
	if text != "" {
		s.checkAddress(path, text, portRequired)
	}
	return text
}

// ip is an IP number that may be left out.
func (s *source) ip(path string) net.IP {
	text := s.text(path, "")
	if text == "" {
		return nil
	}
	parsed := net.ParseIP(text)
	if parsed == nil {
		s.fail(path, "want an IP number, got %q", text)
	}
	return parsed
}

// checkAddress wants an IP number and a port: names are not resolved.
func (s *source) checkAddress(path, text string, leastPort uint64) {
	host, port, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil {
		s.fail(path, "want IP:port, got %q", text)
		return
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number < leastPort {
		s.fail(path, "want a port from %d to %d, got %q", leastPort, math.MaxUint16, port)
	}
}

func (s *source) texts(path string) []string {
	value, found := s.take(path)
	if !found {
		return nil
	}
	if text, ok := value.(string); ok {
		return strings.Split(text, ",")
	}
	items, ok := value.([]any)
	if !ok {
		s.fail(path, "want a list of texts, got %v", value)
		return nil
	}
	texts := make([]string, 0, len(items))
	for index, item := range items {
		text, ok := item.(string)
		if !ok {
			s.fail(fmt.Sprintf("%s[%d]", path, index), "want text, got %v", item)
			continue
		}
		texts = append(texts, text)
	}
	return texts
}

func (s *source) addresses(path string) []string {
	texts := s.texts(path)
	for index, text := range texts {
		s.checkAddress(fmt.Sprintf("%s[%d]", path, index), text, portRequired)
	}
	return texts
}

func (s *source) url(path string) string {
	text := s.text(path, "")
	if text == "" {
		return ""
	}
	parsed, err := url.Parse(text)
	if err != nil || parsed.Scheme != "http" || net.ParseIP(parsed.Hostname()) == nil {
		s.fail(path, "want http://IP:port, got %q", text)
	}
	return strings.TrimSuffix(text, "/")
}

func (s *source) duration(path string, fallback, least, most time.Duration) time.Duration {
	text := s.text(path, fallback.String())
	parsed, err := time.ParseDuration(text)
	if err != nil {
		s.fail(path, "want a duration such as 500ms, got %q", text)
		return 0
	}
	if parsed < least || parsed > most {
		s.fail(path, "want %s to %s, got %s", least, most, parsed)
	}
	return parsed
}

func (s *source) integer(path string, fallback, least, most int64) int64 {
	value, found := s.take(path)
	if !found {
		return fallback
	}
	number, err := strconv.ParseInt(fmt.Sprint(value), 10, 64)
	if err != nil {
		s.fail(path, "want a whole number, got %v", value)
		return 0
	}
	if number < least || number > most {
		s.fail(path, "want %d to %d, got %d", least, most, number)
	}
	return number
}

func (s *source) reportUnknown() {
	for path := range s.values {
		if !s.asked[path] {
			s.fail(path, "is not a setting")
		}
	}
}

func (s *source) sortedErrors() Errors {
	sort.SliceStable(s.errors, func(i, j int) bool { return s.errors[i].Path < s.errors[j].Path })
	return s.errors
}
