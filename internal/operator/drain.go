package operator

import (
	"context"
	"fmt"
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/pkg/catalog"
	"github.com/bramblemast/bramblemast/pkg/membership"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// drainTries is how many nodes of another zone are asked to take in a drain.
const drainTries = 3

func (s *Server) drainBackend(c echo.Context) error { return s.setDraining(c, true) }

func (s *Server) undrainBackend(c echo.Context) error { return s.setDraining(c, false) }

// setDraining marks the server here, which tells the nodes of this zone, and
// passes the mark on to one node of each other zone.
func (s *Server) setDraining(c echo.Context, draining bool) error {
	request, err := readDrain(c, draining)
	if err != nil {
		return err
	}
	err = s.Backends.Drain(request.Server, draining, request.Author)
	if errors.Is(err, catalog.ErrUnknownServer) {
		return notFound("server", fmt.Sprintf("server %q is unknown", request.Server))
	}
	if err != nil {
		return err
	}
	s.Logger.Info("operators' drain set", "server", string(request.Server), "draining", draining, "author", request.Author)
	result := operator.DrainResult{
		Server: request.Server, Draining: draining, Zones: []target.Zone{s.Zone}, Unreached: []operator.UnreachedZone{},
	}
	if request.Scope == operator.ScopeAll {
		s.passOn(c.Request().Context(), request, &result)
	}
	return c.JSON(http.StatusOK, result)
}

func readDrain(c echo.Context, draining bool) (operator.DrainRequest, error) {
	scope, err := readScope(c, operator.ScopeZone)
	if err != nil {
		return operator.DrainRequest{}, err
	}
	author := c.QueryParam(operator.ParameterAuthor)
	request := operator.DrainRequest{
		Server: target.ServerID(c.Param("server")), Draining: draining, Author: author, Scope: scope,
	}
	return request, checkNotes(author, "")
}

// passOn tells every other known zone at once and notes which took it in.
func (s *Server) passOn(ctx context.Context, request operator.DrainRequest, result *operator.DrainResult) {
	ctx, cancel := context.WithTimeout(ctx, s.Limits.PeersTimeout)
	defer cancel()
	request.Scope = operator.ScopeZone
	contacts := s.otherZones()
	failures := make([]error, len(contacts))
	var group errgroup.Group
	for index, contact := range contacts {
		group.Go(func() error {
			failures[index] = s.tellZone(ctx, contact, request)
			return nil
		})
	}
	// No function of the group returns an error.
	_ = group.Wait()
	for index, contact := range contacts {
		if failures[index] == nil {
			result.Zones = append(result.Zones, contact.zone)
			continue
		}
		result.Unreached = append(result.Unreached, operator.UnreachedZone{Zone: contact.zone, Error: failures[index].Error()})
	}
	slices.Sort(result.Zones)
}

// zoneContact is the nodes of another zone that may be asked.
type zoneContact struct {
	zone  target.Zone
	nodes []operator.Node
}

// otherZones returns every known zone but this one, with its living nodes.
func (s *Server) otherZones() []zoneContact {
	var contacts []zoneContact
	for _, node := range sortedNodes(s.Members.Nodes()) {
		if node.Zone == s.Zone {
			continue
		}
		if len(contacts) == 0 || contacts[len(contacts)-1].zone != node.Zone {
			contacts = append(contacts, zoneContact{zone: node.Zone})
		}
		last := &contacts[len(contacts)-1]
		if node.State != membership.Dead.String() && node.OperatorAddress != "" {
			last.nodes = append(last.nodes, node)
		}
	}
	return contacts
}

// tellZone asks a few nodes of a zone, one after the other, until one takes
// the drain in.
func (s *Server) tellZone(ctx context.Context, contact zoneContact, request operator.DrainRequest) error {
	err := errors.New("no living node of the zone is known")
	for _, node := range contact.nodes[:min(len(contact.nodes), drainTries)] {
		_, err = askPeer(ctx, s, node, func(ctx context.Context, address string) (*operator.DrainResult, error) {
			return s.Peers.SetDraining(ctx, address, request)
		})
		if err == nil {
			return nil
		}
	}
	return err
}
