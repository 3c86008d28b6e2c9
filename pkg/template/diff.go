package template

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/pkg/errors"
)

// FieldChange is one field that differs between two templates. Old and New are
// JSON values; empty if the field is absent on that side.
type FieldChange struct {
	Path string          `json:"path"`
	Old  json.RawMessage `json:"old,omitempty"`
	New  json.RawMessage `json:"new,omitempty"`
}

// String formats the change for operators.
func (c FieldChange) String() string {
	return fmt.Sprintf("%s: %s -> %s", c.Path, orAbsent(c.Old), orAbsent(c.New))
}

func orAbsent(value json.RawMessage) string {
	if len(value) == 0 {
		return "(absent)"
	}
	return string(value)
}

// Diff lists the fields that differ, sorted by path. Either side may be nil,
// for a template that does not exist. The fields that publishing sets
// (revision and change_id) are left out.
func Diff(before, after *Template) ([]FieldChange, error) {
	old, err := leaves(before)
	if err != nil {
		return nil, err
	}
	current, err := leaves(after)
	if err != nil {
		return nil, err
	}
	var changes []FieldChange
	for path, value := range old {
		if string(value) != string(current[path]) {
			changes = append(changes, FieldChange{Path: path, Old: value, New: current[path]})
		}
	}
	for path, value := range current {
		if _, existed := old[path]; !existed {
			changes = append(changes, FieldChange{Path: path, New: value})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Path < changes[j].Path })
	return changes, nil
}

// leaves returns every scalar of a template by its path.
func leaves(t *Template) (map[string]json.RawMessage, error) {
	found := map[string]json.RawMessage{}
	if t == nil {
		return found, nil
	}
	content := *t
	content.Revision, content.ChangeID = 0, ""
	encoded, err := Encode(&content)
	if err != nil {
		return nil, err
	}
	var tree any
	if err := json.Unmarshal(encoded, &tree); err != nil {
		return nil, errors.Wrap(err, "read encoded template")
	}
	return found, collectLeaves(found, "", tree)
}

func collectLeaves(found map[string]json.RawMessage, path string, tree any) error {
	switch value := tree.(type) {
	case map[string]any:
		for name, field := range value {
			if err := collectLeaves(found, join(path, name), field); err != nil {
				return err
			}
		}
	case []any:
		for index, item := range value {
			if err := collectLeaves(found, fmt.Sprintf("%s[%d]", path, index), item); err != nil {
				return err
			}
		}
	default:
		encoded, err := json.Marshal(value)
		if err != nil {
			return errors.Wrapf(err, "encode %s", path)
		}
		found[path] = encoded
	}
	return nil
}
