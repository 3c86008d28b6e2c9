package ctl

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/bramblemast/bramblemast/api/limits"
	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// askedAtOnce is the number of nodes that are asked at the same time, so that a command over thousands of
// nodes opens few connections at a time.
const askedAtOnce = 32

// metricsOptions are the flags of commands that ask nodes at the address of their metrics.
type metricsOptions struct {
	Metrics []string `long:"metrics" value-name:"HOST:PORT" env:"BRAMBLEMAST_METRICS" env-delim:"," default:"127.0.0.1:9464" description:"metrics' address of a node of a routed deployment; repeat it to name all nodes, whose answers are added up"`
}

// limitAnswers is what the nodes that were asked answered. nodes is sorted by zone and name.
type limitAnswers struct {
	nodes      []*limits.Node
	unanswered []unansweredAddress
}

// unansweredAddress is a node that did not answer.
type unansweredAddress struct {
	Address string `json:"address"`
	Error   string `json:"error"`
}

// askLimits asks the nodes at addresses for one tenant, or for those with the greatest limits if the
// name is empty. A node that is named by several addresses counts once. The error is that of the last
// address if none answered.
func (env *environment) askLimits(addresses []string, tenant string) (*limitAnswers, error) {
	transport := newTransport()
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	distinct := slices.Compact(slices.Sorted(slices.Values(addresses)))
	found, failures := make([]*limits.Node, len(distinct)), make([]error, len(distinct))
	var group sync.WaitGroup
	slots := make(chan struct{}, askedAtOnce)
	for index, address := range distinct {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(env.ctx, env.options.Timeout)
			defer cancel()
			found[index], failures[index] = limits.Get(ctx, client, address, tenant)
		})
	}
	group.Wait()
	return collectLimits(distinct, found, failures)
}

// collectLimits sorts answers by zone and node, and lists the addresses that gave none. found and
// failures are by the index of addresses.
func collectLimits(addresses []string, found []*limits.Node, failures []error) (*limitAnswers, error) {
	answers := &limitAnswers{}
	var last error
	for index, address := range addresses {
		if err := failures[index]; err != nil {
			last = &outcome.Error{Step: "get limits", Peer: address, Outcome: outcome.NotRun, Reason: outcome.ReasonUnreachable, Cause: err}
			answers.unanswered = append(answers.unanswered, unansweredAddress{Address: address, Error: err.Error()})
			continue
		}
		answers.nodes = append(answers.nodes, found[index])
	}
	if len(answers.nodes) == 0 {
		return nil, last
	}
	slices.SortFunc(answers.nodes, func(one, other *limits.Node) int {
		return cmp.Or(strings.Compare(one.Zone, other.Zone), strings.Compare(one.Node, other.Node))
	})
	answers.nodes = slices.CompactFunc(answers.nodes, func(one, other *limits.Node) bool { return one.Node == other.Node })
	return answers, nil
}

// limitStatus tells over which nodes figures of limits were added up.
type limitStatus struct {
	// Answered is the number of nodes that answered, Known the greatest number of nodes of the
	// deployment that one of them knows.
	Answered   int                 `json:"answered"`
	Known      int                 `json:"known"`
	Unanswered []unansweredAddress `json:"unanswered"`
	// Versions are the versions of the configuration that are in force at some node.
	Versions []uint64 `json:"configuration_versions"`
	// OutOfTouch are the nodes that a node which answered takes for out of touch.
	OutOfTouch []string `json:"out_of_touch"`
}

// status tells which nodes answered.
func (a *limitAnswers) status() limitStatus {
	told := limitStatus{
		Answered: len(a.nodes), Known: len(a.nodes), Unanswered: a.unanswered, Versions: []uint64{}, OutOfTouch: []string{},
	}
	if told.Unanswered == nil {
		told.Unanswered = []unansweredAddress{}
	}
	for _, node := range a.nodes {
		told.Known = max(told.Known, node.Nodes)
		told.Versions = append(told.Versions, node.ConfigurationVersion)
		told.OutOfTouch = append(told.OutOfTouch, node.Silent...)
	}
	slices.Sort(told.Versions)
	told.Versions = slices.Compact(told.Versions)
	slices.Sort(told.OutOfTouch)
	told.OutOfTouch = slices.Compact(told.OutOfTouch)
	return told
}

// isComplete reports whether all nodes of the deployment answered.
func (s *limitStatus) isComplete() bool { return len(s.Unanswered) == 0 && s.Answered >= s.Known }

// failure is the error of a status that is not complete, else nil.
func (s *limitStatus) failure() error {
	if s.isComplete() {
		return nil
	}
	return &incompleteError{message: "not every node of the deployment answered: the figures are a part of the whole"}
}
