package publish

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/template"
)

// ErrStoreBehind means that the store holds an older document than a node. The
// store was restored from an older state; nodes keep the newer document, and
// repair writes it back. Publishing is refused until then.
var ErrStoreBehind = errors.New("the store is behind the nodes")

// ErrNoSuchRevision means that a revision is not in the kept history.
var ErrNoSuchRevision = errors.New("no such revision in the kept history")

// ErrRejected means that the change was settled as rejected before it reached
// the store. It did not commit and never will; a new attempt needs a new id.
var ErrRejected = errors.New("the change was settled as rejected")

// StoreBehindError is an ErrStoreBehind with both versions.
type StoreBehindError struct {
	Key    template.Key
	Held   template.Version
	Stored template.Version
}

// Error implements error.
func (e *StoreBehindError) Error() string {
	return fmt.Sprintf("%s: %v: revision %v is in force, the store has %v", e.Key, ErrStoreBehind, e.Held, e.Stored)
}

// Is makes errors.Is find ErrStoreBehind.
func (e *StoreBehindError) Is(target error) bool { return target == ErrStoreBehind }

// ConflictError means that another change came first. The refused one
// certainly did not commit.
type ConflictError struct {
	Key template.Key
	// Expected is the revision that the refused change was based on.
	Expected uint64
	// Mine is the refused document.
	Mine *template.Template
	// Theirs is the document in the store; nil if there is none or it could
	// not be read.
	Theirs *template.Template
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Theirs == nil {
		return fmt.Sprintf("%s: conflict: based on revision %d, which is not in the store", e.Key, e.Expected)
	}
	return fmt.Sprintf("%s: conflict: based on revision %d, but revision %d by %q is in the store",
		e.Key, e.Expected, e.Theirs.Revision, e.Theirs.Author)
}

// UnknownError means that the change may or may not have committed, and may
// still do so. Settle finds out later.
type UnknownError struct {
	Key      template.Key
	ChangeID string
	// Revision is the revision that the change has if it was accepted.
	Revision uint64
	// Cause is why the store could not tell.
	Cause error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("%s: it is not known whether change %s committed as revision %d; "+
		"settle it with: bramblemastctl config settle %s %s: %v", e.Key, e.ChangeID, e.Revision, e.Key, e.ChangeID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }
