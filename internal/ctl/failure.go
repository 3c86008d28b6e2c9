package ctl

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// failureReport is the JSON form of an error.
type failureReport struct {
	Error    string   `json:"error"`
	ExitCode ExitCode `json:"exit_code"`
	// Problem is what the node answered.
	Problem *operator.Problem `json:"problem,omitempty"`
	// Changes lists the fields that differ between theirs and mine, for a
	// conflict.
	Changes []template.FieldChange `json:"changes,omitempty"`
	// ChangeID and SettleCommand are set if a change has an unknown outcome;
	// SettleCommand alone if the removal of a claim has.
	ChangeID      string `json:"change_id,omitempty"`
	SettleCommand string `json:"settle_command,omitempty"`
}

// printError writes an error to the error stream, in the chosen format.
func (env *environment) printError(err error) {
	report := env.reportOf(err)
	if env.options.Output == "json" {
		writer := *env
		writer.output = env.errors
		// There is nowhere left to report a failure to.
		_ = writer.printJSON(report)
		return
	}
	fmt.Fprintf(env.errors, "%s: %s\n", programName, report.Error)
	if report.SettleCommand != "" {
		fmt.Fprintf(env.errors, "Settle it later by:\n  %s\n", report.SettleCommand)
	}
	if report.Problem != nil && report.Problem.RetryAfterMS > 0 {
		fmt.Fprintf(env.errors, "Try again in %v.\n", time.Duration(report.Problem.RetryAfterMS)*time.Millisecond)
	}
	if report.Problem != nil && report.Problem.Conflict != nil {
		env.printConflict(report)
	}
}

// reportOf collects what an error carries.
func (env *environment) reportOf(err error) failureReport {
	report := failureReport{Error: err.Error(), ExitCode: exitCodeOf(err)}
	var refused *operator.ProblemError
	var typed *outcome.Error
	if errors.As(err, &refused) && errors.As(err, &typed) {
		report.Error = fmt.Sprintf("%s at %s: %s", typed.Step, typed.Peer, describeProblem(&refused.Problem))
		report.Problem = &refused.Problem
		report.Changes = conflictChanges(refused.Problem.Conflict)
	}
	var unknown *unknownChangeError
	if errors.As(err, &unknown) {
		report.Error = "the change may or may not have been accepted: " + report.Error
		report.ChangeID = unknown.change.id
		report.SettleCommand = env.settleCommand(unknown.change)
	}
	var unsettled *unknownRemovalError
	if errors.As(err, &unsettled) {
		report.Error = "the claim may or may not have been removed: " + report.Error
		report.SettleCommand = env.claimCommand(unsettled.request)
	}
	return report
}

// claimCommand is the command that shows whether a claim is still there.
func (env *environment) claimCommand(request operator.ClaimRemovalRequest) string {
	return fmt.Sprintf("%s claim get %s %s", env.programAtNodes(), quoteArgument(request.Tenant), quoteArgument(request.Key))
}

// quoteArgument makes text one argument of a shell.
func quoteArgument(text string) string {
	return "'" + strings.ReplaceAll(text, "'", `'\''`) + "'"
}

// describeProblem is what a node answered, in one line: the detail of a problem
// names the reason and the outcome itself where they are of use.
func describeProblem(problem *operator.Problem) string {
	if problem.Field != "" && problem.Field != problem.Detail {
		return problem.Field + ": " + strings.TrimPrefix(problem.Detail, problem.Field+": ")
	}
	return problem.Detail
}

// conflictChanges compares both sides of a conflict; nil if that can't be done.
func conflictChanges(conflict *operator.Conflict) []template.FieldChange {
	if conflict == nil || conflict.Mine == nil {
		return nil
	}
	changes, err := template.Diff(conflict.Theirs, conflict.Mine)
	if err != nil {
		return nil
	}
	return changes
}

// settleCommand is the command that settles a change later.
func (env *environment) settleCommand(change plannedChange) string {
	return fmt.Sprintf("%s config settle %s %s", env.programAtNodes(), change.key, change.id)
}

// programAtNodes is the beginning of a command at the same nodes.
func (env *environment) programAtNodes() string {
	command := programName
	for _, address := range env.options.Address {
		command += " --address " + address
	}
	return command
}

// printConflict shows both sides and how to go on with either.
func (env *environment) printConflict(report failureReport) {
	conflict := report.Problem.Conflict
	if theirs := conflict.Theirs; theirs != nil {
		fmt.Fprintf(env.errors, "In force: revision %d, author %q, comment %q, change %s\n",
			theirs.Revision, theirs.Author, theirs.Comment, theirs.ChangeID)
	}
	if conflict.Mine != nil {
		fmt.Fprintln(env.errors, "From theirs (in force) to mine (not published):")
		printed := newTable(env.errors)
		printChanges(printed, report.Changes)
		// There is nowhere left to report a failure to.
		_ = printed.flush()
	}
	env.printConflictAdvice(conflict)
}

// printConflictAdvice says how to keep theirs and how to replace it by mine.
func (env *environment) printConflictAdvice(conflict *operator.Conflict) {
	if conflict.Theirs == nil {
		fmt.Fprintln(env.errors, "Nothing is in force; repeat the command with --expected-revision 0 to publish mine as new.")
		return
	}
	fmt.Fprintf(env.errors, "To build on theirs: %s template get %s\n", programName, conflict.Theirs.Key())
	fmt.Fprintf(env.errors, "To replace theirs by mine: repeat the command with --expected-revision %d\n", conflict.Theirs.Revision)
}
