package report

import (
	"bytes"
	_ "embed"
	"encoding/base64"
	"html/template"
	"strconv"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/lab/experiment"
)

//go:embed page.html.tmpl
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"image":  image,
	"number": number,
}).Parse(pageText))

// page is what the template of the page shows.
type page struct {
	*experiment.Output
	Charts []chart
	// Rows holds the figures by metric, in the order of the arms.
	Rows   []row
	Checks checks
}

// row is one metric over the arms; a cell is nil if it was not measured.
type row struct {
	Metric experiment.Metric
	Cells  []*experiment.Figure
}

// checks adds up what the oracle did.
type checks struct {
	Answers, Problems, Violations int64
	Kept                          []string
}

func render(output *experiment.Output, charts []chart) ([]byte, error) {
	content := page{Output: output, Charts: charts, Rows: rows(output), Checks: checked(output)}
	var buffer bytes.Buffer
	if err := pageTemplate.Execute(&buffer, content); err != nil {
		return nil, errors.Wrap(err, "render page")
	}
	return buffer.Bytes(), nil
}

// rows turns the figures round: one row for each metric that any arm has.
func rows(output *experiment.Output) []row {
	var list []row
	places := make(map[experiment.Metric]int)
	for armIndex := range output.Arms {
		for figureIndex := range output.Arms[armIndex].Figures {
			figure := &output.Arms[armIndex].Figures[figureIndex]
			place, known := places[figure.Metric]
			if !known {
				place = len(list)
				places[figure.Metric] = place
				list = append(list, row{Metric: figure.Metric, Cells: make([]*experiment.Figure, len(output.Arms))})
			}
			list[place].Cells[armIndex] = figure
		}
	}
	return list
}

func checked(output *experiment.Output) checks {
	var sum checks
	for _, run := range output.Runs {
		sum.Answers += run.Oracle.Answers
		sum.Problems += run.Oracle.Problems
		sum.Violations += run.Oracle.Count
		for _, violation := range run.Oracle.Violations {
			sum.Kept = append(sum.Kept, violation.String())
		}
	}
	return sum
}

// image returns a plot as a data URI. The bytes are the program's own, so the
// URI is safe.
func image(png []byte) template.URL {
	return template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(png))
}

// significantDigits is the precision of figures on the page.
const significantDigits = 4

func number(value float64) string { return strconv.FormatFloat(value, 'g', significantDigits, 64) }
