package operator

import (
	"context"
	"fmt"
	"net/http"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/pkg/membership"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// getRevisions gives what this node alone has in force.
func (s *Server) getRevisions(c echo.Context) error {
	own := s.ownRevisions()
	if c.QueryParam(operator.ParameterUnlessDigest) == own.Digest {
		own.Templates = nil
	}
	return c.JSON(http.StatusOK, own)
}

// getConfigStatus asks every known node. A node whose digest equals that of
// this node sends no list, so the usual case costs a few hundred bytes a node
// however many templates there are.
func (s *Server) getConfigStatus(c echo.Context) error {
	own := s.ownRevisions()
	peers := askPeers(c.Request().Context(), s, func(ctx context.Context, address string) (*operator.NodeRevisions, error) {
		return s.Peers.Revisions(ctx, address, own.Digest)
	})
	status := operator.ConfigStatus{
		ServedBy:   s.Node,
		Asked:      peers.asked + 1,
		Answered:   len(peers.given) + 1,
		Unanswered: peers.unanswered,
		Dead:       deadNodes(s.Members.Nodes()),
	}
	nodes := append([]operator.NodeRevisions{own}, peers.given...)
	for index := range nodes {
		if nodes[index].Digest == own.Digest {
			nodes[index].Templates = own.Templates
		}
	}
	status.Templates = compareRevisions(nodes)
	status.Nodes = withoutTemplates(nodes)
	return c.JSON(http.StatusOK, status)
}

// deadNodes lists the nodes that are not asked.
func deadNodes(nodes []operator.Node) []target.NodeID {
	dead := []target.NodeID{}
	for _, node := range sortedNodes(nodes) {
		if node.State == membership.Dead.String() {
			dead = append(dead, node.ID)
		}
	}
	return dead
}

// ownRevisions is what this node has in force, tombstones included.
func (s *Server) ownRevisions() operator.NodeRevisions {
	documents := append([]*template.Template{}, s.Templates.List()...)
	sortTemplates(documents)
	own := operator.NodeRevisions{
		Node:      s.Node,
		Zone:      s.Zone,
		Store:     s.Templates.StoreContact(),
		Templates: make([]operator.TemplateRevision, 0, len(documents)),
	}
	digest := xxhash.New()
	for _, document := range documents {
		own.Templates = append(own.Templates, operator.TemplateRevision{
			Tenant: document.Tenant, Name: document.Name, Revision: document.Revision, Deleted: document.Deleted,
		})
		// Writing to a hash returns no error.
		_, _ = fmt.Fprintf(digest, "%q %q %d\n", document.Tenant, document.Name, document.Revision)
	}
	own.Digest = fmt.Sprintf("%016x", digest.Sum64())
	return own
}

// compareRevisions tells for each template which nodes are behind the newest
// revision that any of them has.
func compareRevisions(nodes []operator.NodeRevisions) []operator.TemplateStatus {
	newest := make(map[template.Key]*operator.TemplateStatus)
	for _, node := range nodes {
		for _, held := range node.Templates {
			noteNewest(newest, held)
		}
	}
	for _, node := range nodes {
		compareNode(newest, node)
	}
	statuses := make([]operator.TemplateStatus, 0, len(newest))
	for _, status := range newest {
		statuses = append(statuses, *status)
	}
	sort.Slice(statuses, func(i, j int) bool {
		if statuses[i].Tenant != statuses[j].Tenant {
			return statuses[i].Tenant < statuses[j].Tenant
		}
		return statuses[i].Name < statuses[j].Name
	})
	return statuses
}

func noteNewest(newest map[template.Key]*operator.TemplateStatus, held operator.TemplateRevision) {
	key := template.Key{Tenant: held.Tenant, Name: held.Name}
	status := newest[key]
	if status == nil {
		status = &operator.TemplateStatus{Tenant: held.Tenant, Name: held.Name, Behind: []operator.RevisionAtNode{}}
		newest[key] = status
	}
	if held.Revision > status.Revision {
		status.Revision, status.Deleted = held.Revision, held.Deleted
	}
}

// compareNode counts one node as in force or behind for every template.
func compareNode(newest map[template.Key]*operator.TemplateStatus, node operator.NodeRevisions) {
	revisions := make(map[template.Key]uint64, len(node.Templates))
	for _, held := range node.Templates {
		revisions[template.Key{Tenant: held.Tenant, Name: held.Name}] = held.Revision
	}
	for key, status := range newest {
		if revisions[key] == status.Revision {
			status.InForce++
			continue
		}
		status.Behind = append(status.Behind, operator.RevisionAtNode{Node: node.Node, Revision: revisions[key]})
	}
}

// withoutTemplates drops the lists, which compareRevisions has summed up.
func withoutTemplates(nodes []operator.NodeRevisions) []operator.NodeRevisions {
	stripped := make([]operator.NodeRevisions, 0, len(nodes))
	for _, node := range nodes {
		node.Templates = nil
		stripped = append(stripped, node)
	}
	sort.SliceStable(stripped, func(i, j int) bool { return zoneThenNode(stripped[i], stripped[j]) })
	return stripped
}

func zoneThenNode(left, right operator.NodeRevisions) bool {
	if left.Zone != right.Zone {
		return left.Zone < right.Zone
	}
	return left.Node < right.Node
}
