package operator

import (
	"context"
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/template"
)

func (s *Server) putTemplate(c echo.Context) error {
	intent, err := readIntent(c)
	if err != nil {
		return err
	}
	if intent.ExpectedRevision, err = readExpected(c); err != nil {
		return err
	}
	document, err := readTemplate(c)
	if err != nil {
		return err
	}
	intent.Author, intent.Comment = document.Author, document.Comment
	return s.change(c, "publish", intent, func(ctx context.Context) (uint64, error) {
		return s.Publisher.Publish(ctx, document, intent)
	})
}

func (s *Server) deleteTemplate(c echo.Context) error {
	intent, err := readIntent(c)
	if err != nil {
		return err
	}
	if intent.ExpectedRevision, err = readExpected(c); err != nil {
		return err
	}
	intent.Author = c.QueryParam(operator.ParameterAuthor)
	intent.Comment = c.QueryParam(operator.ParameterComment)
	if err := checkNotes(intent.Author, intent.Comment); err != nil {
		return err
	}
	return s.change(c, "delete", intent, func(ctx context.Context) (uint64, error) {
		return s.Publisher.Delete(ctx, keyOf(c), intent)
	})
}

func (s *Server) rollbackTemplate(c echo.Context) error {
	intent, err := readIntent(c)
	if err != nil {
		return err
	}
	request, err := readRollback(c)
	if err != nil {
		return err
	}
	intent.ExpectedRevision = request.ExpectedRevision
	intent.Author, intent.Comment = request.Author, request.Comment
	return s.change(c, "rollback", intent, func(ctx context.Context) (uint64, error) {
		return s.Publisher.Rollback(ctx, keyOf(c), request.ToRevision, intent)
	})
}

// change runs one change and answers what became of it. The change goes on if
// the operator's connection breaks: whether it is accepted is then settled by
// its change id.
func (s *Server) change(c echo.Context, action string, intent Intent, run func(context.Context) (uint64, error)) error {
	key := keyOf(c)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), s.Limits.ChangeTimeout)
	defer cancel()
	revision, err := run(ctx)
	if own := s.earlierAttempt(ctx, key, intent, err); own != nil {
		revision, err = own.Revision, nil
	}
	if err != nil {
		return changeProblem(key, intent.ChangeID, err)
	}
	s.Logger.Info("template changed", "action", action, "template", key.String(),
		"revision", revision, "change_id", intent.ChangeID, "author", intent.Author)
	return c.JSON(http.StatusOK, operator.Change{
		Tenant:   key.Tenant,
		Name:     key.Name,
		ChangeID: intent.ChangeID,
		Outcome:  outcome.Completed,
		Revision: revision,
	})
}

// earlierAttempt looks, after a conflict, for an earlier attempt of the same
// change in the history. If there is one, the change was accepted.
func (s *Server) earlierAttempt(ctx context.Context, key template.Key, intent Intent, err error) *template.Template {
	var race *ConflictError
	if !errors.As(err, &race) || race.Theirs == nil {
		return nil
	}
	revisions, err := s.Publisher.History(ctx, key)
	if err != nil {
		return nil
	}
	for _, document := range revisions {
		if document.ChangeID == intent.ChangeID {
			return document
		}
	}
	return nil
}

// changeProblem adds the change id, and for an unknown outcome how to settle
// it.
func changeProblem(key template.Key, changeID string, err error) *problemError {
	failed := *problemOf(err)
	failed.problem.ChangeID = changeID
	if failed.problem.Outcome == outcome.Unknown {
		failed.problem.Detail += fmt.Sprintf("; the change may have been accepted: GET %s/%s/%s/%s?%s=%s at any node settles it",
			operator.TemplatesPath, key.Tenant, key.Name, operator.SettleAction, operator.ParameterChangeID, changeID)
	}
	return &failed
}

func (s *Server) settleChange(c echo.Context) error {
	changeID, err := readChangeID(c.QueryParam(operator.ParameterChangeID), operator.ParameterChangeID)
	if err != nil {
		return err
	}
	if changeID == "" {
		return invalid(operator.ParameterChangeID, "required: the id of the change to settle")
	}
	ctx, cancel := bounded(c, s.Limits.ChangeTimeout)
	defer cancel()
	change, err := s.Publisher.Settle(ctx, keyOf(c), changeID)
	if err != nil {
		return unsettled(changeID, err)
	}
	return c.JSON(http.StatusOK, change)
}

// unsettled says that the outcome of a change stays unknown, whatever is known
// of the attempt to settle it.
func unsettled(changeID string, err error) *problemError {
	failed := *problemOf(err)
	failed.problem.ChangeID = changeID
	failed.problem.Outcome = outcome.Unknown
	return &failed
}
