package ctl

import (
	"io"
	"os"
	"os/user"
	"strings"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// keyArgument is the positional argument that names a template.
type keyArgument struct {
	Key string `positional-arg-name:"TENANT/NAME" required:"yes"`
}

// key parses the argument.
func (a keyArgument) key() (template.Key, error) { return parseKey(a.Key) }

// parseKey parses "tenant/name".
func parseKey(text string) (template.Key, error) {
	tenant, name, found := strings.Cut(text, "/")
	if !found || tenant == "" || name == "" || strings.Contains(name, "/") {
		return template.Key{}, usagef("%q: want TENANT/NAME", text)
	}
	return template.Key{Tenant: tenant, Name: name}, nil
}

// changeOptions are the flags of every command that changes a template.
type changeOptions struct {
	ExpectedRevision *uint64 `long:"expected-revision" value-name:"REVISION" description:"revision that the change replaces; 0 if the template must not exist"`
	Author           string  `long:"author" value-name:"NAME" env:"BRAMBLEMAST_AUTHOR" description:"who makes the change; the name of the user if left out"`
	Comment          string  `short:"m" long:"comment" value-name:"TEXT" description:"why the change is made"`
	ChangeID         string  `long:"change-id" value-name:"ID" description:"id of the change, a UUID of version 7; a new one if left out"`
}

// id returns the id of the change.
func (o *changeOptions) id() string {
	if o.ChangeID == "" {
		o.ChangeID = operator.NewChangeID()
	}
	return o.ChangeID
}

// author returns who makes the change.
func (o *changeOptions) author() string { return authorOrUser(o.Author) }

// authorOrUser returns the given author, or else the name of the user.
func authorOrUser(author string) string {
	if author != "" {
		return author
	}
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return ""
}

// annotate puts author and comment into a template that is to be published.
func (o *changeOptions) annotate(document *template.Template) {
	document.Author = o.author()
	if o.Comment != "" {
		document.Comment = o.Comment
	}
}

// readFile reads a whole file, or standard input for "-", up to the size that
// a template file may have and one byte more.
func (env *environment) readFile(path string) ([]byte, error) {
	if path == "-" {
		return readBounded(env.input, path)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, &usageError{cause: err}
	}
	defer file.Close()
	return readBounded(file, path)
}

func readBounded(reader io.Reader, path string) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(reader, template.MaxFileSize+1))
	if err != nil {
		return nil, &usageError{cause: errors.Wrapf(err, "read %s", path)}
	}
	return data, nil
}

// readTemplate reads and checks a template file; the error lists every fault.
func (env *environment) readTemplate(path string) (*template.Template, error) {
	data, err := env.readFile(path)
	if err != nil {
		return nil, err
	}
	document, err := template.Parse(data)
	if err != nil {
		return nil, &usageError{cause: errors.Wrap(err, path)}
	}
	return document, nil
}
