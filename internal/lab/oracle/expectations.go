package oracle

import (
	"github.com/bramblemast/bramblemast/internal/lab/dataset"
	"github.com/bramblemast/bramblemast/internal/lab/topology"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// ExpectationsOf returns what answers to the templates must hold when the
// stand-ins of the deployment give them. A template whose service is not part
// of the deployment gets none.
func ExpectationsOf(deployment *topology.Deployment, documents []*template.Template) map[template.Key]Expectation {
	contents := make(map[target.Service]*dataset.Dataset)
	for _, service := range deployment.Services {
		contents[service.Name] = dataset.New(service.Name, deployment.Seed, service.Records)
	}
	expectations := make(map[template.Key]Expectation)
	for _, document := range documents {
		data, known := contents[document.Service]
		if !known {
			continue
		}
		expectations[document.Key()] = Expectation{
			Dataset:         data,
			Limit:           limitOf(document),
			MinimumCoverage: document.MinimumCoverage,
			NotRepeatable:   document.NotRepeatable,
		}
	}
	return expectations
}

func limitOf(document *template.Template) int {
	if document.Limit == 0 {
		return template.DefaultLimit
	}
	return document.Limit
}
