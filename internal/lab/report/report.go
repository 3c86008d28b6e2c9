// Package report draws the output of an experiment as PNG plots and writes one
// HTML page that holds them, with the figures, the aims and the document.
package report

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/lab/experiment"
)

// PageName is the file name of the HTML page.
const PageName = "report.html"

// Modes of what Write makes.
const (
	directoryMode = 0o755
	fileMode      = 0o644
)

// chart is one plot with its file name.
type chart struct {
	// Name is the file name without its extension.
	Name  string
	Title string
	PNG   []byte
}

// Write draws all plots of an output into a directory, which it makes if it is
// missing, and returns the path of the page.
func Write(output *experiment.Output, directory string) (string, error) {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return "", errors.Wrap(err, "make report directory")
	}
	charts, err := drawAll(output)
	if err != nil {
		return "", err
	}
	for _, each := range charts {
		path := filepath.Join(directory, each.Name+".png")
		if err := os.WriteFile(path, each.PNG, fileMode); err != nil {
			return "", errors.Wrap(err, "write plot")
		}
	}
	page, err := render(output, charts)
	if err != nil {
		return "", err
	}
	path := filepath.Join(directory, PageName)
	return path, errors.Wrap(os.WriteFile(path, page, fileMode), "write page")
}
