package operator

import (
	"time"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// Change is what is known of one change of a template.
type Change struct {
	Tenant   string `json:"tenant"`
	Name     string `json:"name"`
	ChangeID string `json:"change_id"`
	// Outcome is "completed" if the change was accepted, "not_run" if it
	// certainly was not and never will be, and otherwise "unknown".
	Outcome outcome.Outcome `json:"outcome"`
	// Revision is the revision that the change made; zero if not accepted.
	Revision uint64 `json:"revision,omitempty"`
	// Detail explains an outcome that is not "completed".
	Detail string `json:"detail,omitempty"`
}

// RollbackRequest is the body of a rollback: it publishes the content of an
// earlier revision as a new one.
type RollbackRequest struct {
	ToRevision uint64 `json:"to_revision"`
	// ExpectedRevision is the revision in force that the operator saw.
	ExpectedRevision uint64 `json:"expected_revision"`
	Author           string `json:"author,omitempty"`
	Comment          string `json:"comment,omitempty"`
}

// TemplateList is templates as they are in force at the serving node, sorted
// by tenant and name.
type TemplateList struct {
	Templates []*template.Template `json:"templates"`
}

// TemplateHistory is the kept revisions of a template, newest first.
type TemplateHistory struct {
	Revisions []*template.Template `json:"revisions"`
}

// Node is one node of the query tier as the serving node sees it.
type Node struct {
	ID              target.NodeID `json:"id"`
	Zone            target.Zone   `json:"zone"`
	Region          target.Region `json:"region,omitempty"`
	State           string        `json:"state"`
	Incarnation     uint64        `json:"incarnation"`
	PeerAddress     string        `json:"peer_address"`
	OperatorAddress string        `json:"operator_address,omitempty"`
	// Self marks the serving node.
	Self bool `json:"self,omitempty"`
}

// NodeList is the nodes that the serving node knows, sorted by zone and id.
type NodeList struct {
	Nodes []Node `json:"nodes"`
}

// Backend is one back-end server as the serving node sees it.
type Backend struct {
	Server  target.ServerID `json:"server"`
	Service target.Service  `json:"service"`
	Group   string          `json:"group,omitempty"`
	Zone    target.Zone     `json:"zone"`
	State   string          `json:"state"`
	// Cause says why the state is not active.
	Cause string `json:"cause,omitempty"`
	// OperatorDrained and OperatorAuthor are the operators' mark.
	OperatorDrained bool   `json:"operator_drained"`
	OperatorAuthor  string `json:"operator_author,omitempty"`
	// Listed is false if the machine list does not name the server.
	Listed bool `json:"listed"`
	// Weight is the share of normal traffic that the server gets, 0 to 1.
	Weight      float64 `json:"weight"`
	Slots       int     `json:"slots"`
	Connections int     `json:"connections"`
	// ReportedLoad is the share of slots in use; absent if not reported.
	ReportedLoad *float64 `json:"reported_load,omitempty"`
	// Versions are the index versions that the server holds.
	Versions []target.Version `json:"versions"`
}

// BackendList is back-end servers, sorted by service and server.
type BackendList struct {
	Backends []Backend `json:"backends"`
}

// DrainRequest sets or ends an operator's drain of a server. It is idempotent.
type DrainRequest struct {
	Server   target.ServerID
	Draining bool
	Author   string
	// Scope is ScopeAll, or ScopeZone for the zone of the node that is asked.
	Scope string
}

// DrainResult tells that the serving node has taken in an operator's drain or
// its end, and sent it to the nodes of its zone and to other zones.
type DrainResult struct {
	Server   target.ServerID `json:"server"`
	Draining bool            `json:"draining"`
	// Zones are the zones that took it in, sorted.
	Zones []target.Zone `json:"zones"`
	// Unreached lists the zones that did not: repeat the command for them.
	Unreached []UnreachedZone `json:"unreached"`
}

// UnreachedZone is a zone of which no node took in a drain.
type UnreachedZone struct {
	Zone  target.Zone `json:"zone"`
	Error string      `json:"error"`
}

// TemplateRevision is the revision of one template at one node.
type TemplateRevision struct {
	Tenant   string `json:"tenant"`
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	ChangeID string `json:"change_id"`
	Deleted  bool   `json:"deleted,omitempty"`
	// Invalid says why the node can't run this revision and keeps an earlier
	// one in force; empty if it can.
	Invalid string `json:"invalid,omitempty"`
}

// StoreContact is a node's view of the configuration store.
type StoreContact struct {
	// Watcher is true if the node reads the store itself; the others hear of
	// changes from their peers.
	Watcher bool `json:"watcher"`
	// LastSuccess is when the node last read the store; absent if never.
	LastSuccess *time.Time `json:"last_success,omitempty"`
	// LastError is the last failure to read the store; empty after a success.
	LastError string `json:"last_error,omitempty"`
	// Behind counts the templates of which the store holds an older revision
	// than the node, which refuses it.
	Behind int `json:"behind"`
}

// NodeRevisions is what one node has in force.
type NodeRevisions struct {
	Node target.NodeID `json:"node"`
	Zone target.Zone   `json:"zone"`
	// Ready is true once the node has fetched what peers and the store hold.
	Ready bool `json:"ready"`
	// Digest is equal for two nodes that have the same revisions in force.
	Digest string       `json:"digest"`
	Store  StoreContact `json:"store"`
	// Templates are sorted by tenant and name; left out on request.
	Templates []TemplateRevision `json:"templates,omitempty"`
}

// UnansweredNode is a node that was asked and did not answer in time.
type UnansweredNode struct {
	Node  target.NodeID `json:"node"`
	Zone  target.Zone   `json:"zone"`
	State string        `json:"state"`
	Error string        `json:"error"`
}

// RevisionAtNode is the newest revision of a template that a node has; zero if
// it has none.
type RevisionAtNode struct {
	Node     target.NodeID `json:"node"`
	Revision uint64        `json:"revision"`
	// Reason says why the node is listed, if not for its revision.
	Reason string `json:"reason,omitempty"`
}

// TemplateStatus tells where the newest known revision of a template is in
// force.
type TemplateStatus struct {
	Tenant string `json:"tenant"`
	Name   string `json:"name"`
	// Revision is the newest revision at any node that answered.
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
	// InForce counts the nodes that have Revision in force.
	InForce int `json:"in_force"`
	// Behind lists the nodes that answered and don't have Revision in force.
	Behind []RevisionAtNode `json:"behind"`
}

// ConfigStatus is the state of the configuration over the nodes.
type ConfigStatus struct {
	ServedBy  target.NodeID    `json:"served_by"`
	Asked     int              `json:"asked"`
	Answered  int              `json:"answered"`
	Templates []TemplateStatus `json:"templates"`
	// Nodes are the nodes that answered, without their templates.
	Nodes      []NodeRevisions  `json:"nodes"`
	Unanswered []UnansweredNode `json:"unanswered"`
	// Dead lists nodes that the serving node takes for dead and did not ask.
	Dead []target.NodeID `json:"dead"`
}

// Settled reports whether every node answered and has the newest
// revision of every template in force.
func (s *ConfigStatus) Settled() bool {
	if len(s.Unanswered) > 0 {
		return false
	}
	for _, status := range s.Templates {
		if len(status.Behind) > 0 {
			return false
		}
	}
	return true
}

// ArmFigures are the figures of one arm of a template.
type ArmFigures struct {
	Arm string `json:"arm"`
	// Requests counts all requests: Answered, Refused and Failed.
	Requests uint64 `json:"requests"`
	Answered uint64 `json:"answered"`
	Refused  uint64 `json:"refused"`
	Failed   uint64 `json:"failed"`
	// P50MS and P99MS are the latency of answered requests in milliseconds.
	P50MS float64 `json:"p50_ms"`
	P99MS float64 `json:"p99_ms"`
	// CoverageMean and CoverageMinimum are shares of the asked key space, over
	// answered requests; zero if there was none.
	CoverageMean    float64 `json:"coverage_mean"`
	CoverageMinimum float64 `json:"coverage_minimum"`
	// PrimarySubRequests and ExtraSubRequests count what back ends were sent.
	PrimarySubRequests uint64 `json:"primary_sub_requests"`
	ExtraSubRequests   uint64 `json:"extra_sub_requests"`
	// ExtraLoadRatio is extra sub-requests for each primary one.
	ExtraLoadRatio float64 `json:"extra_load_ratio"`
	// LatencyHistogram is given with ScopeNode only: an HdrHistogram in its
	// compressed V2 format, base64, in units of 10 microseconds.
	LatencyHistogram string `json:"latency_histogram,omitempty"`
}

// ExperimentReport is the figures of a template's arms.
type ExperimentReport struct {
	Tenant string `json:"tenant"`
	Name   string `json:"name"`
	// ServedBy is the node that answered.
	ServedBy target.NodeID `json:"served_by"`
	// Revision is the revision that the figures belong to; zero if there are
	// none yet.
	Revision uint64 `json:"revision"`
	// Experiment is the experiment in force at the serving node; absent if
	// there is none.
	Experiment *template.Experiment `json:"experiment,omitempty"`
	// Arms are sorted by name.
	Arms       []ArmFigures     `json:"arms"`
	Asked      int              `json:"asked"`
	Answered   int              `json:"answered"`
	Unanswered []UnansweredNode `json:"unanswered"`
	// OtherRevision lists nodes whose figures belong to an older revision and
	// are left out.
	OtherRevision []RevisionAtNode `json:"other_revision"`
}
