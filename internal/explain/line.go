// Package explain reads the nodes' log lines and leads from a failed request to
// its cause.
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

// Messages of the nodes' lines that are looked at.
const (
	messageRequest              = "request"
	messageOwned                = "owned parts"
	messageOwnerLost            = "owner lost"
	messageOwnerRegained        = "owner regained"
	messageAtLimit              = "tenant at its limit"
	messageBelowLimit           = "tenant within its limit again"
	messageCoordinatorLost      = "coordinator of limits lost"
	messageConfiguration        = "configuration in force"
	messageConfigurationRefused = "configuration refused"
	messageStarted              = "started"
	messageStopping             = "stopping"
	messageLost                 = "dependency lost"
	messageRegained             = "dependency regained"
	messageOverload             = "overload"
	messageStoreRestored        = "store came back from an older copy"
	messageKeysLapsed           = "keys lapsed"
	messageKeysConfirmed        = "keys confirmed"
)

// maxLineBytes bounds one line.
const maxLineBytes = 1 << 20

// Line is one log line of a node.
type Line struct {
	At      time.Time
	Node    string
	Level   string
	Message string
	// Text is the JSON of the line.
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
	// ShortService is the service without enough room that decided whether the request was admitted,
	// Share the part of the requests of its priority and tenant that was, and ShareAge the age of
	// that share, in milliseconds.
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
	// KeyHash is the short hash of a key that was refused.
	KeyHash string `json:"key_hash"`
	// Fingerprint is the same for all tries of a request; ServersEnded ended while they had it.
	Fingerprint  string   `json:"fingerprint"`
	ServersEnded []string `json:"servers_ended"`
	// QuotaShare is the admitted share by which a request beyond its tenant's limit was refused,
	// QuotaShareAge the time since the node was told it, and QuotaDecidedBy how the node stood to the
	// tenant's coordinators.
	QuotaShare     float64 `json:"quota_share"`
	QuotaShareAge  int64   `json:"quota_share_age_ms"`
	QuotaDecidedBy string  `json:"quota_decided_by"`
	// RequestedPerSecond is the rate of a tenant's requests over all nodes, as its coordinator has it, and
	// LimitPerSecond the rate of its limit.
	RequestedPerSecond float64 `json:"asked_per_s"`
	LimitPerSecond     float64 `json:"limit_per_s"`
	// Coordinator is the coordinator of limits that the node lost.
	Coordinator string `json:"coordinator"`
	Dependency  string `json:"dependency"`
	Server      string `json:"server"`
	Service     string `json:"service"`
	Template    string `json:"template"`
	Arm         string `json:"arm"`
}

// header are the fields that the logger itself writes.
type header struct {
	At      time.Time `json:"@timestamp"`
	Level   string    `json:"@level"`
	Message string    `json:"@message"`
	Node    string    `json:"node"`
}

// Read reads all lines of an input. What stands before the JSON of a line, such
// as the name of its file, is passed over; a line without JSON is counted, not
// taken for a fault.
func Read(input io.Reader) (lines []Line, other int, err error) {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 0, 1<<16), maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			other++
			continue
		}
		lines = append(lines, line)
	}
	return lines, other, errors.Wrap(scanner.Err(), "read log lines")
}

func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var head header
	var line Line
	if json.Unmarshal(text[start:], &head) != nil || json.Unmarshal(text[start:], &line) != nil {
		return Line{}, false
	}
	line.At, line.Level, line.Message, line.Node = head.At, head.Level, head.Message, head.Node
	line.Text = string(text[start:])
	return line, !head.At.IsZero()
}
