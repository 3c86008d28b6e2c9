package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"mime"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// Media types of request bodies. Templates may be YAML, as in files.
var (
	jsonTypes     = []string{"application/json"}
	templateTypes = []string{"application/json", "application/yaml", "application/x-yaml", "text/yaml"}
)

// maxNoteLength bounds an author or a comment, in bytes.
const maxNoteLength = 1024

// keyOf returns the template that the path names.
func keyOf(c echo.Context) template.Key {
	return template.Key{Tenant: c.Param("tenant"), Name: c.Param("name")}
}

// readBody reads a whole body of an accepted media type.
func readBody(c echo.Context, accepted []string, maximum int64) ([]byte, error) {
	given := c.Request().Header.Get(echo.HeaderContentType)
	mediaType, _, err := mime.ParseMediaType(given)
	if err != nil || !slices.Contains(accepted, mediaType) {
		refused := newProblem(http.StatusUnsupportedMediaType, outcome.ReasonInvalid,
			fmt.Sprintf("want one of %s", strings.Join(accepted, ", ")))
		refused.problem.Field = echo.HeaderContentType
		return nil, refused
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maximum))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		refused := newProblem(http.StatusRequestEntityTooLarge, outcome.ReasonInvalid,
			fmt.Sprintf("the body is larger than %d bytes", maximum))
		refused.problem.Field = "body"
		return nil, refused
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		slow := newProblem(http.StatusRequestTimeout, outcome.ReasonInvalid, "the body did not arrive in time")
		slow.problem.Field = "body"
		return nil, slow
	}
	if err != nil {
		return nil, invalid("body", "the body could not be read whole")
	}
	// The time to read is over; were it to pass later, the server would take it
	// for an operator who went away.
	err = http.NewResponseController(c.Response()).SetReadDeadline(time.Time{})
	return body, errors.Wrap(err, "lift the bound of the time to read")
}

// readTemplate reads and checks the template in a body; its names must be those
// of the path.
func readTemplate(c echo.Context) (*template.Template, error) {
	body, err := readBody(c, templateTypes, template.MaxFileSize)
	if err != nil {
		return nil, err
	}
	document, err := template.Parse(body)
	var faults template.FieldErrors
	if errors.As(err, &faults) && len(faults) > 0 {
		return nil, invalidTemplate(faults)
	}
	if err != nil {
		return nil, invalid("body", err.Error())
	}
	key := keyOf(c)
	switch {
	case document.Tenant != key.Tenant:
		return nil, invalid("tenant", fmt.Sprintf("the path says %q, the body %q", key.Tenant, document.Tenant))
	case document.Name != key.Name:
		return nil, invalid("name", fmt.Sprintf("the path says %q, the body %q", key.Name, document.Name))
	case document.Deleted:
		return nil, invalid("deleted", "use DELETE to delete a template")
	}
	return document, nil
}

// readRollback reads the body of a rollback.
func readRollback(c echo.Context) (operator.RollbackRequest, error) {
	var request operator.RollbackRequest
	body, err := readBody(c, jsonTypes, template.MaxFileSize)
	if err != nil {
		return request, err
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		return request, invalid(faultyField(err), err.Error())
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return request, invalid("body", "want exactly one JSON object")
	}
	if request.ToRevision == 0 {
		return request, invalid("to_revision", "want a revision above 0")
	}
	if request.ExpectedRevision == 0 {
		return request, invalid("expected_revision", "want the revision in force")
	}
	return request, checkNotes(request.Author, request.Comment)
}

// faultyField names the field that an error of encoding/json is about.
func faultyField(err error) string {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return wrongType.Field
	}
	if _, quoted, found := strings.Cut(err.Error(), "unknown field "); found {
		return strings.Trim(quoted, `"`)
	}
	return "body"
}

// readIntent reads what every change carries besides its content.
func readIntent(c echo.Context) (Intent, error) {
	changeID, err := readChangeID(c.Request().Header.Get(operator.HeaderChangeID), operator.HeaderChangeID)
	if err != nil {
		return Intent{}, err
	}
	if changeID == "" {
		changeID = operator.NewChangeID()
	}
	return Intent{ChangeID: changeID}, nil
}

// readChangeID checks a change id; an empty one is allowed. The settlement of
// old changes relies on the time in their ids, so one from the future is
// refused.
func readChangeID(given, field string) (string, error) {
	if given == "" {
		return "", nil
	}
	const timeOrdered = 7
	id, err := uuid.Parse(given)
	if err != nil || id.Version() != timeOrdered || id.String() != given {
		return "", invalid(field, "want a UUID of version 7 in lower case")
	}
	made := time.Unix(id.Time().UnixTime())
	if ahead := time.Until(made); ahead > operator.MaxChangeIDAhead {
		return "", invalid(field, fmt.Sprintf("its time is %v ahead of the node's clock; set the clocks", ahead.Round(time.Second)))
	}
	return given, nil
}

// readExpected reads the required parameter for the expected revision.
func readExpected(c echo.Context) (uint64, error) {
	const field = operator.ParameterExpectedRevision
	given := c.QueryParam(field)
	if given == "" {
		return 0, invalid(field, "required: the revision that the change replaces, 0 if there is none")
	}
	revision, err := strconv.ParseUint(given, 10, 64)
	if err != nil {
		return 0, invalid(field, "want a whole number of at least 0")
	}
	return revision, nil
}

// checkNotes bounds the texts that operators leave for each other.
func checkNotes(author, comment string) error {
	if len(author) > maxNoteLength {
		return invalid(operator.ParameterAuthor, fmt.Sprintf("longer than %d bytes", maxNoteLength))
	}
	if len(comment) > maxNoteLength {
		return invalid(operator.ParameterComment, fmt.Sprintf("longer than %d bytes", maxNoteLength))
	}
	return nil
}

// readScope reads the optional scope, which is ScopeAll or narrow.
func readScope(c echo.Context, narrow string) (string, error) {
	switch scope := c.QueryParam(operator.ParameterScope); scope {
	case "", operator.ScopeAll:
		return operator.ScopeAll, nil
	case narrow:
		return scope, nil
	default:
		return "", invalid(operator.ParameterScope, fmt.Sprintf("want %s or %s", operator.ScopeAll, narrow))
	}
}
