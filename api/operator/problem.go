package operator

import (
	"fmt"

	"github.com/bramblemast/bramblemast/api"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// Reasons of this interface beside those of package outcome.
const (
	// ReasonConflict means that the template has another revision than the
	// change expected, or that another claim holds the key. The change certainly
	// did not take effect.
	ReasonConflict outcome.Reason = "conflict"
	// ReasonRejected means that the change id was settled as rejected before; a
	// new attempt needs a new id.
	ReasonRejected outcome.Reason = "change_rejected"
	// ReasonNotFound means that the named thing does not exist.
	ReasonNotFound outcome.Reason = "not_found"
	// ReasonStoreLimited means that the store's rate limit refused the change.
	ReasonStoreLimited outcome.Reason = "store_limited"
	// ReasonStoreBehind means that the store went back to an older state than
	// the nodes hold; they refuse changes until it is repaired.
	ReasonStoreBehind outcome.Reason = "store_behind"
	// ReasonClaimDone means that the request of a claim ran, so that the claim
	// is not removed.
	ReasonClaimDone outcome.Reason = "claim_done"
	// ReasonClaimFresh means that the holder of a claim may still send the
	// request, so that the claim is not removed yet.
	ReasonClaimFresh outcome.Reason = "claim_fresh"
)

// Problem is the body of every error: the shape of the callers' interface with
// what operators need beside it.
type Problem struct {
	api.Problem
	// ChangeID names the change that the problem is about.
	ChangeID string `json:"change_id,omitempty"`
	// Errors lists every fault of a template.
	Errors template.FieldErrors `json:"errors,omitempty"`
	// Conflict is set for ReasonConflict.
	Conflict *Conflict `json:"conflict,omitempty"`
}

// Conflict shows both sides of a race between operators. Neither is lost: mine
// is in the operator's hands, theirs is in force.
type Conflict struct {
	ExpectedRevision uint64 `json:"expected_revision"`
	// Mine is what the change wanted; absent for a deletion.
	Mine *template.Template `json:"mine,omitempty"`
	// Theirs is what is in force; absent if nothing is.
	Theirs *template.Template `json:"theirs,omitempty"`
}

// ProblemError is a Problem that a node answered with.
type ProblemError struct {
	Problem Problem
}

// Error implements error.
func (e *ProblemError) Error() string {
	text := fmt.Sprintf("%d %s", e.Problem.Status, e.Problem.Title)
	if e.Problem.Detail != "" {
		text += ": " + e.Problem.Detail
	}
	if e.Problem.Field != "" {
		text += " (field " + e.Problem.Field + ")"
	}
	return text
}
