package serve

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// startingTemplates are those of a node that has not fetched any yet.
type startingTemplates struct{}

func (startingTemplates) Ready() bool { return false }

func (startingTemplates) Get(template.Key) (*template.Compiled, bool) { return nil, false }

func TestStartingNodeRefusesRatherThanCallingATemplateUnknown(t *testing.T) {
	g := NewWithT(t)
	pipeline := New(Options{Templates: startingTemplates{}})
	_, err := pipeline.Serve(context.Background(), &Request{Template: template.Key{Tenant: "t", Name: "n"}}, nil)
	g.Expect(outcome.Of(err)).To(Equal(outcome.NotRun))
	g.Expect(outcome.ReasonOf(err)).To(Equal(outcome.ReasonStarting))
}
