package policy

import "strings"

// FieldError describes one invalid field of a specification.
type FieldError struct {
	// Path is the field as operators write it, for example "hedge.quantile".
	Path string `json:"path" yaml:"path"`
	// Message states the invalid value and the allowed values.
	Message string `json:"message" yaml:"message"`
}

// Error implements error.
func (e FieldError) Error() string { return e.Path + ": " + e.Message }

// FieldErrors lists every invalid field of a specification.
type FieldErrors []FieldError

// Error implements error. It joins the messages of all fields with "; ".
func (e FieldErrors) Error() string {
	texts := make([]string, 0, len(e))
	for _, field := range e {
		texts = append(texts, field.Error())
	}
	return strings.Join(texts, "; ")
}

// Prefixed returns a copy of the errors with prefix and a dot in front of each path.
func (e FieldErrors) Prefixed(prefix string) FieldErrors {
	prefixed := make(FieldErrors, 0, len(e))
	for _, field := range e {
		prefixed = append(prefixed, FieldError{Path: prefix + "." + field.Path, Message: field.Message})
	}
	return prefixed
}
