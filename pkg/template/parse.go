package template

import (
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// MaxFileSize bounds an operator's file, in bytes.
const MaxFileSize = 64 << 10

// maxNesting bounds the brackets that may be open at once in a file.
const maxNesting = 32

// Parse reads an operator's file, YAML or JSON, and checks it as Validate
// does. The error is a FieldErrors that lists every fault at once: unknown
// fields, values of the wrong type and values out of bounds.
func Parse(data []byte) (*Template, error) {
	if err := checkText(data); err != nil {
		return nil, err
	}
	var tree any
	if err := yaml.UnmarshalWithOptions(data, &tree); err != nil {
		return nil, documentFault("not valid YAML: " + yaml.FormatError(err, false, false))
	}
	parsed := &Template{}
	if faults := decodeTree(tree, parsed); len(faults) > 0 {
		return nil, faults
	}
	if err := parsed.Validate(); err != nil {
		return nil, err
	}
	return parsed, nil
}

// checkText refuses files that could cost more than their size: too large, too
// deeply nested, with aliases, or with several documents.
func checkText(data []byte) error {
	if len(data) > MaxFileSize {
		return documentFault("larger than 64 KiB")
	}
	if nesting(data) > maxNesting {
		return documentFault("nested too deeply")
	}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return documentFault("not valid YAML: " + yaml.FormatError(err, false, false))
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return documentFault("want exactly one document")
	}
	var finder aliasFinder
	ast.Walk(&finder, file.Docs[0])
	if finder.found {
		return documentFault("anchors and aliases are not allowed")
	}
	return nil
}

// nesting returns the greatest number of brackets that are open at once, or of
// block indicators in a row. Brackets in text count too, which errs on the
// safe side.
func nesting(data []byte) int {
	open, greatest, indicators := 0, 0, 0
	for _, symbol := range data {
		switch symbol {
		case '[', '{':
			open++
		case ']', '}':
			open--
		case '-', '?', ':':
			indicators++
		case ' ', '\t':
		default:
			indicators = 0
		}
		greatest = max(greatest, open, indicators)
	}
	return greatest
}

// aliasFinder is an ast.Visitor that looks for anchors and aliases.
type aliasFinder struct{ found bool }

// Visit implements ast.Visitor.
func (f *aliasFinder) Visit(node ast.Node) ast.Visitor {
	switch node.Type() {
	case ast.AnchorType, ast.AliasType, ast.MergeKeyType:
		f.found = true
	}
	return f
}
