package httpbackend

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/target"
)

const (
	// unknownLoad stands for a load that was not said.
	unknownLoad = -1
	// maxRetryAfter bounds a Retry-After that a server asks for.
	maxRetryAfter = time.Hour
	hexBase       = 16
	wordBits      = 64
)

// parseRange reads the form of keyspace.Range.String and rejects any other.
func parseRange(text string) (keyspace.Range, error) {
	startText, endText, _ := strings.Cut(text, "-")
	start, startErr := strconv.ParseUint(startText, 10, 32)
	end, endErr := strconv.ParseUint(endText, 10, 32)
	parsed := keyspace.Range{Start: uint32(start), End: uint32(end)}
	if startErr != nil || endErr != nil || !parsed.Valid() {
		return keyspace.Range{}, errors.Errorf("header %s: invalid range %q", backend.HeaderRange, text)
	}
	return parsed, nil
}

// parseHints reads what a server says of itself; what is absent or malformed
// counts as not said.
func parseHints(header http.Header) backend.Hints {
	hints := backend.Hints{
		Draining: header.Get(backend.HeaderDraining) == "true" ||
			header.Get(backend.HeaderNotRun) == string(outcome.ReasonDraining),
		Instance: header.Get(backend.HeaderInstance),
		Load:     unknownLoad,
	}
	if text := header.Get(backend.HeaderLoad); text != "" {
		load, err := strconv.ParseFloat(text, wordBits)
		if err == nil && load >= 0 && !math.IsInf(load, 0) {
			hints.Load = load
		}
	}
	if text := header.Get(backend.HeaderNewestVersion); text != "" {
		if version, err := strconv.ParseUint(text, 10, wordBits); err == nil {
			hints.NewestVersion = target.Version(version)
		}
	}
	return hints
}

// parsePlace reads the version and the range that an answer was drawn from.
func parsePlace(header http.Header, response *backend.Response) error {
	text := header.Get(backend.HeaderVersion)
	version, err := strconv.ParseUint(text, 10, wordBits)
	if err != nil || version == 0 {
		return errors.Errorf("header %s: invalid version %q", backend.HeaderVersion, text)
	}
	covered, err := parseRange(header.Get(backend.HeaderRange))
	if err != nil {
		return err
	}
	response.Version = target.Version(version)
	response.Range = covered
	return nil
}

// Checksum returns the value of backend.HeaderChecksum for a body.
func Checksum(body []byte) string {
	const digits = "0123456789abcdef"
	var text [16]byte
	sum := xxhash.Sum64(body)
	for i := len(text) - 1; i >= 0; i-- {
		text[i] = digits[sum%hexBase]
		sum /= hexBase
	}
	return string(text[:])
}

// verifyChecksum fails if the header has no checksum or another one.
func verifyChecksum(header http.Header, body []byte) error {
	text := header.Get(backend.HeaderChecksum)
	sum, err := strconv.ParseUint(text, hexBase, wordBits)
	if err != nil {
		return errors.Errorf("header %s: invalid checksum %q", backend.HeaderChecksum, text)
	}
	if sum != xxhash.Sum64(body) {
		return errors.New("body checksum differs")
	}
	return nil
}

// parseRetryAfter reads when to ask again; zero if nothing usable was said.
func parseRetryAfter(header http.Header) time.Duration {
	wait, unit := header.Get(backend.HeaderRetryAfterMS), time.Millisecond
	if wait == "" {
		wait, unit = header.Get("Retry-After"), time.Second
	}
	count, err := strconv.ParseInt(wait, 10, 32)
	if err != nil || count < 0 {
		return 0
	}
	return min(time.Duration(count)*unit, maxRetryAfter)
}
