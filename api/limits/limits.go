// Package limits holds the typed messages by which a node of a routed deployment tells operators
// of the limits of tenants, and a call that asks for them. They are served beside the node's
// metrics. Tenants are named; their keys are not part of any message. Get is safe for concurrent use.
package limits

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"
)

const (
	// Path is where GET returns a Node.
	Path = "/limits"
	// ParameterTenant selects one tenant; without it a node tells of those with the greatest limits.
	ParameterTenant = "tenant"
	// maxAnswerSize bounds an answer, in bytes: several times what two lists of 256 tenants take.
	maxAnswerSize = 4 << 20
)

// Node is what one node knows of the limits of tenants.
type Node struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	// At is when the answer was made, CountedSince when the counts begin, by the node's clock.
	At           time.Time `json:"at"`
	CountedSince time.Time `json:"counted_since"`
	// ConfigurationVersion is that of the configuration in force; 0 for none.
	ConfigurationVersion uint64 `json:"configuration_version"`
	// Nodes is the number of nodes that this one knows, itself included; Silent are those that it takes
	// for out of touch, 256 of them at most, and SilentCount their number.
	Nodes       int      `json:"nodes"`
	Silent      []string `json:"silent,omitempty"`
	SilentCount int      `json:"silent_count"`
	// Coordinated are tenants whose requests over all nodes this node sums up, Served those whose
	// requests came to it; each the greatest limits first, and 256 at most. CoordinatedLeftOut and
	// ServedLeftOut are the numbers of those beyond.
	Coordinated        []Coordinated `json:"coordinated"`
	CoordinatedLeftOut int           `json:"coordinated_left_out,omitempty"`
	Served             []Served      `json:"served"`
	ServedLeftOut      int           `json:"served_left_out,omitempty"`
}

// Limit is the limit of a tenant over all nodes.
type Limit struct {
	// PerSecond is in requests a second; zero for no limit. Burst is in requests.
	PerSecond float64 `json:"limit_per_s"`
	Burst     float64 `json:"burst"`
}

// Coordinated is what a coordinator knows of one tenant.
type Coordinated struct {
	Tenant string `json:"tenant"`
	Limit
	// First says that the node is the tenant's first coordinator; otherwise it stands in for it.
	First bool `json:"first"`
	// AskedPerSecond is over all nodes that report here, over about two seconds.
	AskedPerSecond float64 `json:"asked_per_s"`
	// Share is the part of the requests that nodes may admit, Level the tokens that are left.
	Share float64 `json:"share"`
	Level float64 `json:"level"`
	// KeptBackPerSecond is the part of the limit that is left to nodes out of touch.
	KeptBackPerSecond float64 `json:"kept_back_per_s"`
	// Reporting is the number of nodes that reported lately; Reporters names them in the answer for
	// one tenant, 256 of them at most.
	Reporting int      `json:"reporting"`
	Reporters []string `json:"reporters,omitempty"`
	// AtLimitSince is left out for a tenant within its limit.
	AtLimitSince *time.Time `json:"at_limit_since,omitempty"`
}

// Served is what a node knows of a tenant whose requests come to it.
type Served struct {
	Tenant string `json:"tenant"`
	Limit
	// Idle says that the tenant was not asked for lately, so that only the limit and the counts are
	// known.
	Idle bool `json:"idle,omitempty"`
	// DecidedBy is "first", "stand-in" or "alone"; Coordinator is the node to which this one
	// reports, left out if none answers.
	DecidedBy   string `json:"decided_by,omitempty"`
	Coordinator string `json:"coordinator,omitempty"`
	// Share is what was told last, and ShareAgeMS the time since; left out if nothing was told.
	// ShareOld says that the node does not go by it any more.
	Share      float64 `json:"share"`
	ShareAgeMS *int64  `json:"share_age_ms,omitempty"`
	ShareOld   bool    `json:"share_old,omitempty"`
	// EntitledPerSecond is the rate that the node may admit while it is out of touch.
	EntitledPerSecond float64 `json:"entitled_per_s"`
	// AdmittedPerSecond is the mean over the window of the deployment's bound on limits.
	AdmittedPerSecond float64 `json:"admitted_per_s"`
	// Admitted and Refused count requests since CountedSince, Refused by reason (quota.Refusal).
	Admitted int64             `json:"admitted"`
	Refused  map[string]uint64 `json:"refused,omitempty"`
}

// ErrNotHeld means that the node answered and holds no tenants to limits.
var ErrNotHeld = errors.New("the node holds no limits")

// Get asks the node whose metrics are served at address (host:port) for one tenant, or for those
// with the greatest limits if the name is empty. The error is ErrNotHeld for a node that holds no
// limits; any other one tells why there is no answer or none that can be read.
func Get(ctx context.Context, client *http.Client, address, tenant string) (*Node, error) {
	location := url.URL{Scheme: "http", Host: address, Path: Path}
	if tenant != "" {
		location.RawQuery = url.Values{ParameterTenant: {tenant}}.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, location.String(), http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "ask for limits")
	}
	// An error of Close changes nothing: the answer has been read, or another error is returned.
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return nil, ErrNotHeld
	default:
		return nil, errors.Errorf("ask for limits: answer %s", response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerSize+1))
	if err != nil {
		return nil, errors.Wrap(err, "read limits")
	}
	if len(body) > maxAnswerSize {
		return nil, errors.Errorf("read limits: more than %d bytes", maxAnswerSize)
	}
	node := &Node{}
	if err := json.Unmarshal(body, node); err != nil {
		return nil, errors.Wrap(err, "decode limits")
	}
	return node, nil
}
