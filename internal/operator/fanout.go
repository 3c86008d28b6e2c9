package operator

import (
	"context"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/pkg/membership"
)

// answers is what a fan-out to peers brought.
type answers[Answer any] struct {
	asked      int
	given      []Answer
	unanswered []operator.UnansweredNode
}

// askPeers asks every other node that is not known to be dead, and returns when all answered or the
// time is up. It bounds the nodes that are asked at once. A node that did not
// answer is listed with the error; the order of answers is that of the nodes.
func askPeers[Answer any](ctx context.Context, s *Server, ask func(ctx context.Context, address string) (*Answer, error)) answers[Answer] {
	ctx, cancel := context.WithTimeout(ctx, s.Limits.PeersTimeout)
	defer cancel()
	nodes := peersOf(s.Members.Nodes())
	replies := make([]*Answer, len(nodes))
	failures := make([]error, len(nodes))
	var group errgroup.Group
	group.SetLimit(s.Limits.PeerConcurrency)
	for index, node := range nodes {
		group.Go(func() error {
			replies[index], failures[index] = askPeer(ctx, s, node, ask)
			return nil
		})
	}
	// No function of the group returns an error.
	_ = group.Wait()
	return collect(nodes, replies, failures)
}

// askPeer asks one node within the time for one.
func askPeer[Answer any](ctx context.Context, s *Server, node operator.Node, ask func(context.Context, string) (*Answer, error)) (*Answer, error) {
	if node.OperatorAddress == "" {
		return nil, errors.New("its operators' address is not known")
	}
	ctx, cancel := context.WithTimeout(ctx, s.Limits.PeerTimeout)
	defer cancel()
	return ask(ctx, node.OperatorAddress)
}

// peersOf returns the living nodes without the serving one, sorted.
func peersOf(nodes []operator.Node) []operator.Node {
	var peers []operator.Node
	for _, node := range sortedNodes(nodes) {
		if !node.Self && node.State != membership.Dead.String() {
			peers = append(peers, node)
		}
	}
	return peers
}

// collect parts the answers from the failures.
func collect[Answer any](nodes []operator.Node, replies []*Answer, failures []error) answers[Answer] {
	collected := answers[Answer]{asked: len(nodes), unanswered: []operator.UnansweredNode{}}
	for index, node := range nodes {
		if failures[index] == nil {
			collected.given = append(collected.given, *replies[index])
			continue
		}
		collected.unanswered = append(collected.unanswered, operator.UnansweredNode{
			Node: node.ID, Zone: node.Zone, State: node.State, Error: failures[index].Error(),
		})
	}
	return collected
}
