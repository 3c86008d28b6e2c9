package callerapi

import (
	"bytes"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/api"
	"github.com/bramblemast/bramblemast/internal/serve"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// maxRequestIDBytes bounds the caller's own request id.
const maxRequestIDBytes = 128

// maxDeadline bounds a caller's deadline before it is compared with the
// template's, so that it can't overflow a duration.
const maxDeadline = 24 * time.Hour

// decode reads a request completely before anything is done with it.
func (s *Server) decode(context echo.Context, arrived time.Time) (*serve.Request, error) {
	header := context.Request().Header
	mediaType, _, err := mime.ParseMediaType(header.Get(echo.HeaderContentType))
	if err != nil || mediaType != echo.MIMEApplicationJSON {
		return nil, &requestError{status: http.StatusUnsupportedMediaType, field: "Content-Type", message: "want application/json"}
	}
	id, err := requestID(header)
	if err != nil {
		return nil, err
	}
	text, err := s.readBody(context)
	if err != nil {
		return nil, err
	}
	var message api.QueryRequest
	if err := decodeStrictly(text, &message); err != nil {
		return nil, err
	}
	request, err := toRequest(&message)
	if err != nil {
		return nil, err
	}
	request.ID = id
	request.Arrived = arrived
	request.IdempotencyKey = header.Get(api.HeaderIdempotencyKey)
	return request, nil
}

func requestID(header http.Header) (string, error) {
	id := header.Get(api.HeaderRequestID)
	if id == "" {
		return uuid.NewString(), nil
	}
	if len(id) > maxRequestIDBytes || !isPlain(id) {
		return "", badField(api.HeaderRequestID, "want at most 128 printable characters without spaces or slashes")
	}
	return id, nil
}

// isPlain reports whether text is safe in a header and in a path.
func isPlain(text string) bool {
	return !strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' || r == '/' })
}

func (s *Server) readBody(context echo.Context) ([]byte, error) {
	controller := http.NewResponseController(context.Response().Writer)
	_ = controller.SetReadDeadline(time.Now().Add(s.options.BodyTimeout)) // best effort: a test's recorder has none
	body := http.MaxBytesReader(context.Response().Writer, context.Request().Body, s.options.MaxBodyBytes)
	text, err := io.ReadAll(body)
	if err == nil {
		// It fails only on a connection that has ended, which the next read or write finds.
		_ = controller.SetReadDeadline(time.Time{})
		return text, nil
	}
	// The read deadline stands: the server reads what is left of the body before
	// it answers, and a caller that sends nothing would hold it up forever.
	context.Response().Header().Set(echo.HeaderConnection, "close")
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &requestError{status: http.StatusRequestEntityTooLarge, field: "body", message: errors.Errorf("larger than %d bytes", s.options.MaxBodyBytes).Error()}
	}
	return nil, &requestError{status: http.StatusRequestTimeout, field: "body", message: "could not be read whole in time"}
}

// decodeStrictly refuses unknown fields, fields that stand twice, and anything
// after the object.
func decodeStrictly(text []byte, message *api.QueryRequest) error {
	if err := refuseDuplicateFields(text); err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(message)
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return badField(wrongType.Field, "want "+wrongType.Type.String()+", got "+wrongType.Value)
	}
	if err != nil {
		return badField(unknownField(err), err.Error())
	}
	if decoder.More() {
		return badField("body", "has more than one JSON value")
	}
	return nil
}

// unknownField finds the name in the text of an unknown-field error, which
// encoding/json gives no type for.
func unknownField(err error) string {
	_, name, found := strings.Cut(err.Error(), `unknown field "`)
	if !found {
		return "body"
	}
	return strings.TrimSuffix(name, `"`)
}

func refuseDuplicateFields(text []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	opening, err := decoder.Token()
	if err != nil || opening != json.Delim('{') {
		return badField("body", "want one JSON object")
	}
	seen := make(map[string]bool)
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return badField("body", err.Error())
		}
		field, _ := name.(string)
		if folded := strings.ToLower(field); seen[folded] {
			return badField(field, "stands twice")
		} else {
			seen[folded] = true
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return badField(field, err.Error())
		}
	}
	return nil
}

func toRequest(message *api.QueryRequest) (*serve.Request, error) {
	if message.Tenant == "" {
		return nil, badField("tenant", "is required")
	}
	if message.Template == "" {
		return nil, badField("template", "is required")
	}
	request := &serve.Request{
		Template: template.Key{Tenant: message.Tenant, Name: message.Template},
		Query:    message.Query,
		Key:      message.Key,
		Limit:    message.Limit,
		Class:    policy.Class(message.Class),
		Payload:  message.Payload,
	}
	if message.DeadlineMS != nil {
		if *message.DeadlineMS <= 0 || *message.DeadlineMS > maxDeadline.Milliseconds() {
			return nil, badField("deadline_ms", "want at least 1 and at most the template's deadline")
		}
		request.Deadline = time.Duration(*message.DeadlineMS) * time.Millisecond
	}
	return request, nil
}
