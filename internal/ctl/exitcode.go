package ctl

import (
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// ExitCode is the exit code of the program. docs/CLI.md is the reference.
type ExitCode int

// The exit codes.
const (
	// ExitOK means that the command did what it says.
	ExitOK ExitCode = 0
	// ExitUsage means a wrong command line, file or template; nothing changed.
	ExitUsage ExitCode = 1
	// ExitConflict means that another change came first; nothing changed.
	ExitConflict ExitCode = 2
	// ExitUnknown means that a change may or may not have been accepted.
	ExitUnknown ExitCode = 3
	// ExitUnavailable means that no node, or not the store behind it, could be
	// reached; nothing changed.
	ExitUnavailable ExitCode = 4
	// ExitRefused means that the node refused the command; nothing changed.
	ExitRefused ExitCode = 5
	// ExitIncomplete means that a status is not what it should be yet: a node
	// is behind, did not answer or was not asked, or a change is not accepted.
	ExitIncomplete ExitCode = 6
)

// usageError is a fault of the command line or of a file.
type usageError struct{ cause error }

// Error implements error.
func (e *usageError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.cause }

// incompleteError is a status that is not what it should be yet.
type incompleteError struct{ message string }

// Error implements error.
func (e *incompleteError) Error() string { return e.message }

// usagef returns a usageError.
func usagef(format string, arguments ...any) error {
	return &usageError{cause: errors.Errorf(format, arguments...)}
}

// exitCodeOf returns the exit code for the error of a command.
func exitCodeOf(err error) ExitCode {
	var commandLine *flags.Error
	var usage *usageError
	var faults template.FieldErrors
	var incomplete *incompleteError
	var typed *outcome.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &commandLine), errors.As(err, &usage), errors.As(err, &faults):
		return ExitUsage
	case errors.As(err, &incomplete):
		return ExitIncomplete
	case errors.As(err, &typed):
		return exitCodeOfOutcome(typed)
	default:
		return ExitRefused
	}
}

func exitCodeOfOutcome(err *outcome.Error) ExitCode {
	switch {
	case err.Reason == operator.ReasonConflict:
		return ExitConflict
	case err.Reason == outcome.ReasonInvalid:
		return ExitUsage
	case err.Outcome == outcome.Unknown:
		return ExitUnknown
	case elsewhere(err):
		return ExitUnavailable
	default:
		return ExitRefused
	}
}
