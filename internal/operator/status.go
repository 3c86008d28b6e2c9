package operator

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"strconv"

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
	revisions := append([]operator.TemplateRevision{}, s.Templates.Revisions()...)
	sort.Slice(revisions, func(i, j int) bool {
		if revisions[i].Tenant != revisions[j].Tenant {
			return revisions[i].Tenant < revisions[j].Tenant
		}
		return revisions[i].Name < revisions[j].Name
	})
	own := operator.NodeRevisions{
		Node:      s.Node,
		Zone:      s.Zone,
		Ready:     s.Templates.Ready(),
		Store:     s.Templates.StoreContact(),
		Templates: revisions,
	}
	digest := xxhash.New()
	for _, held := range revisions {
		// Writing to a hash returns no error.
		_, _ = fmt.Fprintf(digest, "%q\n", []string{held.Tenant, held.Name, held.ChangeID, held.Invalid, strconv.FormatUint(held.Revision, 10)})
	}
	own.Digest = fmt.Sprintf("%016x", digest.Sum64())
	return own
}

// comparison is the newest version of a template and where it is in force.
type comparison struct {
	newest template.Version
	status operator.TemplateStatus
}

// compareRevisions tells for each template which nodes don't have the newest
// version in force that any of them holds.
func compareRevisions(nodes []operator.NodeRevisions) []operator.TemplateStatus {
	compared := make(map[template.Key]*comparison)
	for _, node := range nodes {
		for _, held := range node.Templates {
			noteNewest(compared, held)
		}
	}
	for _, node := range nodes {
		compareNode(compared, node)
	}
	statuses := make([]operator.TemplateStatus, 0, len(compared))
	for _, one := range compared {
		statuses = append(statuses, one.status)
	}
	sort.Slice(statuses, func(i, j int) bool {
		if statuses[i].Tenant != statuses[j].Tenant {
			return statuses[i].Tenant < statuses[j].Tenant
		}
		return statuses[i].Name < statuses[j].Name
	})
	return statuses
}

func noteNewest(compared map[template.Key]*comparison, held operator.TemplateRevision) {
	key := template.Key{Tenant: held.Tenant, Name: held.Name}
	one := compared[key]
	if one == nil {
		one = &comparison{status: operator.TemplateStatus{Tenant: held.Tenant, Name: held.Name, Behind: []operator.RevisionAtNode{}}}
		compared[key] = one
	}
	if version := versionOf(held); version.Compare(one.newest) > 0 {
		one.newest = version
		one.status.Revision, one.status.Deleted = held.Revision, held.Deleted
	}
}

func versionOf(held operator.TemplateRevision) template.Version {
	return template.Version{Revision: held.Revision, ChangeID: held.ChangeID}
}

// compareNode counts one node as in force or behind for every template.
func compareNode(compared map[template.Key]*comparison, node operator.NodeRevisions) {
	all := make(map[template.Key]operator.TemplateRevision, len(node.Templates))
	for _, held := range node.Templates {
		all[template.Key{Tenant: held.Tenant, Name: held.Name}] = held
	}
	for key, one := range compared {
		held := all[key]
		if versionOf(held) == one.newest && held.Invalid == "" {
			one.status.InForce++
			continue
		}
		one.status.Behind = append(one.status.Behind, operator.RevisionAtNode{
			Node: node.Node, Revision: held.Revision, Reason: reasonBehind(held, one.newest),
		})
	}
}

// reasonBehind explains a node that has the newest revision, but not in force.
func reasonBehind(held operator.TemplateRevision, newest template.Version) string {
	switch {
	case held.Invalid != "":
		return held.Invalid
	case held.Revision == newest.Revision:
		return "another change with the same revision"
	default:
		return ""
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
