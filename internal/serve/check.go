package serve

import (
	"fmt"

	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// check finds the first field of the request that is wrong in itself or
// against the template.
func check(request *Request, document *template.Template) error {
	checks := []func(*Request, *template.Template) *FieldError{checkSizes, checkDeadline, checkClass, checkRepeatability}
	for _, one := range checks {
		if err := one(request, document); err != nil {
			return err
		}
	}
	return nil
}

func checkSizes(request *Request, _ *template.Template) *FieldError {
	switch {
	case len(request.Query) > MaxQueryBytes:
		return &FieldError{Field: "query", Message: fmt.Sprintf("longer than %d bytes", MaxQueryBytes)}
	case len(request.Key) > MaxKeyBytes:
		return &FieldError{Field: "key", Message: fmt.Sprintf("longer than %d bytes", MaxKeyBytes)}
	case request.Limit < 0:
		return &FieldError{Field: "limit", Message: "is negative"}
	case len(request.IdempotencyKey) > MaxIdempotencyKeyBytes:
		return &FieldError{Field: "Idempotency-Key", Message: fmt.Sprintf("longer than %d bytes", MaxIdempotencyKeyBytes)}
	}
	return nil
}

func checkDeadline(request *Request, document *template.Template) *FieldError {
	longest := document.Deadline.Std()
	if request.Deadline < 0 || request.Deadline > longest {
		return &FieldError{Field: "deadline_ms", Message: fmt.Sprintf("want 1 to %d, the template's deadline", longest.Milliseconds())}
	}
	return nil
}

func checkClass(request *Request, _ *template.Template) *FieldError {
	switch request.Class {
	case "", policy.ClassTicker, policy.ClassInteractive, policy.ClassArchive:
		return nil
	}
	return &FieldError{Field: "class", Message: fmt.Sprintf("want %s, %s or %s", policy.ClassTicker, policy.ClassInteractive, policy.ClassArchive)}
}

func checkRepeatability(request *Request, document *template.Template) *FieldError {
	if !document.NotRepeatable {
		if len(request.Payload) > 0 {
			return &FieldError{Field: "payload", Message: "is only for templates that are not repeatable"}
		}
		return nil
	}
	if request.IdempotencyKey == "" {
		return &FieldError{Field: "Idempotency-Key", Message: "this header is required, because the template is not repeatable"}
	}
	if request.Key == "" {
		return &FieldError{Field: "key", Message: "is required, because the template is not repeatable"}
	}
	return nil
}
