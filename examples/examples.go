// Package examples holds the templates of the two deployments of today, which
// the demo publishes and tests load.
package examples

import (
	"embed"
	"io/fs"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/template"
)

//go:embed valgsok/*.yaml colour-archive/*.yaml
var files embed.FS

// Templates returns the templates of a deployment in the order of their file
// names. The deployment is the name of a directory beside this file.
func Templates(deployment string) ([]*template.Template, error) {
	paths, err := fs.Glob(files, deployment+"/*.yaml")
	if err != nil {
		return nil, errors.Wrap(err, "list example templates")
	}
	var templates []*template.Template
	for _, path := range paths {
		content, err := files.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "read example template")
		}
		parsed, err := template.Parse(content)
		if err != nil {
			return nil, errors.Wrapf(err, "example template %s", path)
		}
		templates = append(templates, parsed)
	}
	return templates, nil
}
