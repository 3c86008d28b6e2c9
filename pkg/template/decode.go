package template

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strings"
)

// decodeTree fills a struct from a tree of maps, lists and scalars as a YAML or
// JSON decoder returns it. Unlike the decoders' own strict modes it goes on
// after a fault, so that all of them are listed.
func decodeTree(tree any, into any) FieldErrors {
	var faults faultList
	decodeValue(&faults, "", tree, reflect.ValueOf(into).Elem())
	return faults.found
}

// decodeValue decodes one value; structs and lists are decoded field by field.
func decodeValue(faults *faultList, path string, value any, into reflect.Value) {
	if _, isText := into.Addr().Interface().(encoding.TextUnmarshaler); isText {
		decodeScalar(faults, path, value, into)
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		decodeStruct(faults, path, value, into)
	case reflect.Slice:
		decodeList(faults, path, value, into)
	case reflect.Pointer:
		if value == nil {
			return
		}
		into.Set(reflect.New(into.Type().Elem()))
		decodeValue(faults, path, value, into.Elem())
	default:
		decodeScalar(faults, path, value, into)
	}
}

func decodeStruct(faults *faultList, path string, value any, into reflect.Value) {
	fields, isMap := value.(map[string]any)
	if !isMap {
		faults.add(path, "want a mapping of fields")
		return
	}
	known := map[string]bool{}
	for index := range into.NumField() {
		name := fieldName(into.Type().Field(index))
		known[name] = true
		if field, isSet := fields[name]; isSet {
			decodeValue(faults, join(path, name), field, into.Field(index))
		}
	}
	for _, name := range sortedNames(fields) {
		if !known[name] {
			faults.add(join(path, name), "unknown field")
		}
	}
}

func decodeList(faults *faultList, path string, value any, into reflect.Value) {
	items, isList := value.([]any)
	if !isList {
		faults.add(path, "want a list")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(items), len(items)))
	for index, item := range items {
		decodeValue(faults, fmt.Sprintf("%s[%d]", path, index), item, into.Index(index))
	}
}

// decodeScalar leaves the conversion to encoding/json, which checks types and
// ranges and knows encoding.TextUnmarshaler.
func decodeScalar(faults *faultList, path string, value any, into reflect.Value) {
	if value == nil {
		faults.add(path, "has no value")
		return
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		faults.add(path, "want %s", describe(into))
		return
	}
	if err := json.Unmarshal(encoded, into.Addr().Interface()); err != nil {
		faults.add(path, "want %s, not %s", describe(into), abbreviate(string(encoded)))
	}
}

// describe names the kind of value that a field takes.
func describe(field reflect.Value) string {
	if _, isText := field.Addr().Interface().(encoding.TextUnmarshaler); isText {
		return `a duration such as "150ms"`
	}
	switch field.Kind() {
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

// abbreviate bounds the text that an error quotes.
func abbreviate(text string) string {
	const longest = 40
	if len(text) <= longest {
		return text
	}
	return strings.ToValidUTF8(text[:longest], "") + "..."
}

// fieldName returns the name of a field in files: its JSON name.
func fieldName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

func sortedNames(fields map[string]any) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
