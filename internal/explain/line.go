// Package explain reads the nodes' log lines and finds the cause of a failed request.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/fanout"
)

// Messages of the log lines that are evaluated.
const (
	messageRequest              = "request"
	messageOwnedParts           = "owned parts"
	messageOwnerLost            = "owner lost"
	messageOwnerRegained        = "owner regained"
	messageAtLimit              = "tenant at its limit"
	messageBelowLimit           = "tenant within its limit again"
	messageCoordinatorLost      = "coordinator of limits lost"
	messageConfiguration        = "configuration in force"
	messageConfigurationRefused = "configuration refused"
	messageStarted              = "started"
	messageStopping             = "stopping"
	messageDependencyLost       = "dependency lost"
	messageDependencyRegained   = "dependency regained"
	messageOverload             = "overload"
	messageStoreRestored        = "store came back from an older copy"
	messageKeysLapsed           = "keys lapsed"
	messageKeysConfirmed        = "keys confirmed"
)

// maxLineBytes bounds the length of one line; Read fails on a longer one.
const maxLineBytes = 1 << 20

// Line is one log line of a node.
type Line struct {
	At      time.Time
	Node    string
	Level   string
	Message string
	// Text is the JSON text of the line.
	Text string

	Request    string  `json:"request"`
	Route      string  `json:"route"`
	Path       string  `json:"path"`
	Version    uint64  `json:"version"`
	Status     int     `json:"status"`
	Reason     string  `json:"reason"`
	Outcome    string  `json:"outcome"`
	TookMillis float64 `json:"took_ms"`
	StoreAge   int64   `json:"store_age_ms"`
	Parts      int     `json:"parts"`
	Required   int     `json:"required"`
	Total      int     `json:"total"`
	Hedges     int     `json:"hedges"`
	Denied     int     `json:"budget_denied"`
	Shed       int     `json:"shed"`
	RetryAfter int64   `json:"retry_after_ms"`
	Waiting    int     `json:"waiting"`
	// ShortService is the service with too little capacity that decided the admission of the request,
	// Share the admitted share of the requests of its priority and tenant, and ShareAge the age of
	// that share in milliseconds.
	ShortService string                 `json:"short_service"`
	Share        float64                `json:"share"`
	ShareAge     int64                  `json:"share_age_ms"`
	Priority     int                    `json:"priority"`
	Tenant       string                 `json:"tenant"`
	Missing      []string               `json:"missing"`
	Attempts     []fanout.AttemptRecord `json:"attempts"`
	RequestedBy  string                 `json:"asked_by"`
	Owner        string                 `json:"owner"`
	Owners       []fanout.OwnerRecord   `json:"owners"`
	Error        string                 `json:"error"`
	// KeyHash is the short hash of a refused key.
	KeyHash string `json:"key_hash"`
	// Fingerprint is the same for all attempts of a client's request. ServersEnded are the servers
	// that crashed while they had the request.
	Fingerprint  string   `json:"fingerprint"`
	ServersEnded []string `json:"servers_ended"`
	// QuotaShare is the admitted share by which a request over its tenant's limit was refused,
	// QuotaShareAge the time in milliseconds since the node received it, and QuotaDecidedBy the node's
	// relation to the tenant's coordinators: the one that it used, or "alone" if it reached none.
	QuotaShare     float64 `json:"quota_share"`
	QuotaShareAge  int64   `json:"quota_share_age_ms"`
	QuotaDecidedBy string  `json:"quota_decided_by"`
	// RequestedPerSecond is the rate of a tenant's requests over all nodes, as measured by its
	// coordinator, and LimitPerSecond the rate of its limit.
	RequestedPerSecond float64 `json:"asked_per_s"`
	LimitPerSecond     float64 `json:"limit_per_s"`
	// Coordinator is the coordinator of limits that the node lost contact with.
	Coordinator string `json:"coordinator"`
	Dependency  string `json:"dependency"`
	Server      string `json:"server"`
	Service     string `json:"service"`
	Template    string `json:"template"`
	Arm         string `json:"arm"`
}

// logHeader holds the fields that the logger itself writes.
type logHeader struct {
	At      time.Time `json:"@timestamp"`
	Level   string    `json:"@level"`
	Message string    `json:"@message"`
	Node    string    `json:"node"`
}

// Read reads all lines of an input. Text before the JSON of a line, such as a file name, is ignored.
// Lines that are not log lines of a node are counted in other and are no error.
func Read(input io.Reader) (lines []Line, other int, err error) {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 0, 1<<16), maxLineBytes)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Bytes())
		if !ok {
			other++
			continue
		}
		lines = append(lines, line)
	}
	return lines, other, errors.Wrap(scanner.Err(), "read log lines")
}

func parseLine(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var head logHeader
	var line Line
	if json.Unmarshal(text[start:], &head) != nil || json.Unmarshal(text[start:], &line) != nil {
		return Line{}, false
	}
	line.At, line.Level, line.Message, line.Node = head.At, head.Level, head.Message, head.Node
	line.Text = string(text[start:])
	return line, !head.At.IsZero()
}
