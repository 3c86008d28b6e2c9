package template

import (
	"fmt"

	"github.com/bramblemast/bramblemast/pkg/policy"
)

// FieldError is one fault of a document, for example at
// "experiment.arms[1].share".
type FieldError = policy.FieldError

// FieldErrors lists every fault of a document.
type FieldErrors = policy.FieldErrors

// wholeDocument is the path of a fault that belongs to no single field.
const wholeDocument = "document"

// faultList collects faults in the order in which they are found.
type faultList struct{ found FieldErrors }

func (l *faultList) add(path, format string, arguments ...any) {
	if path == "" {
		path = wholeDocument
	}
	l.found = append(l.found, FieldError{Path: path, Message: fmt.Sprintf(format, arguments...)})
}

// orNil returns the list as an error, or nil if it is empty.
func (l *faultList) orNil() error {
	if len(l.found) == 0 {
		return nil
	}
	return l.found
}

// documentFault is the error for a document that can't be read at all.
func documentFault(message string) error {
	return FieldErrors{{Path: wholeDocument, Message: message}}
}

// join appends a field name to a path.
func join(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}
