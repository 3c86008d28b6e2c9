package operator

import (
	"fmt"
	"net/http"
	"sort"

	"github.com/labstack/echo/v4"

	"github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// listTemplates lists what is in force at this node.
func (s *Server) listTemplates(c echo.Context) error {
	tenant := c.QueryParam(operator.ParameterTenant)
	list := operator.TemplateList{Templates: []*template.Template{}}
	for _, document := range s.Templates.List() {
		if tenant == "" || document.Tenant == tenant {
			list.Templates = append(list.Templates, document)
		}
	}
	sortTemplates(list.Templates)
	return c.JSON(http.StatusOK, list)
}

// getTemplate gives the revision in force at this node, tombstones included:
// whoever wants to replace one needs its revision.
func (s *Server) getTemplate(c echo.Context) error {
	document := s.Templates.Get(keyOf(c))
	if document == nil {
		return notFound("name", fmt.Sprintf("template %s is not in force at this node", keyOf(c)))
	}
	return c.JSON(http.StatusOK, document)
}

func (s *Server) getHistory(c echo.Context) error {
	ctx, cancel := bounded(c, s.Limits.ChangeTimeout)
	defer cancel()
	revisions, err := s.Publisher.History(ctx, keyOf(c))
	if err != nil {
		return err
	}
	if len(revisions) == 0 {
		return notFound("name", fmt.Sprintf("template %s has no history", keyOf(c)))
	}
	return c.JSON(http.StatusOK, operator.TemplateHistory{Revisions: revisions})
}

func sortTemplates(documents []*template.Template) {
	sort.Slice(documents, func(i, j int) bool {
		if documents[i].Tenant != documents[j].Tenant {
			return documents[i].Tenant < documents[j].Tenant
		}
		return documents[i].Name < documents[j].Name
	})
}
