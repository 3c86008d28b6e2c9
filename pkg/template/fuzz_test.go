package template

import (
	"bytes"
	"os"
	"testing"
)

// FuzzParse checks that a file that is accepted survives the store: what was
// encoded decodes and parses to the same document.
func FuzzParse(f *testing.F) {
	for _, file := range exampleFiles() {
		text, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add([]byte(wholeFile))
	f.Fuzz(func(t *testing.T, text []byte) {
		document, err := Parse(text)
		if err != nil {
			return
		}
		encoded, err := Encode(document)
		if err != nil {
			t.Fatalf("accepted, but can't be encoded: %v", err)
		}
		decoded, err := Decode(encoded)
		if err != nil {
			t.Fatalf("can't be decoded: %v", err)
		}
		again, err := Encode(decoded)
		if err != nil || !bytes.Equal(encoded, again) {
			t.Fatalf("not canonical: %s, %s, %v", encoded, again, err)
		}
		if document.Deleted {
			return
		}
		if _, err := Compile(decoded); err != nil {
			t.Fatalf("accepted, but can't be compiled: %v", err)
		}
	})
}
