// Package machinelist reads the platform's list of back-end machines, which is
// published as Prometheus HTTP service-discovery JSON:
//
//	[{"targets": ["10.0.0.1:8080"],
//	  "labels": {"zone": "oslo", "region": "east", "service": "resultatside",
//	             "group": "g1", "state": "live"}}]
//
// The list lags: a machine that it calls live may be leaving or gone, and a
// new one may be absent. What to make of that is the catalog's business.
package machinelist

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/target"
)

// State is what the list says of a machine.
type State string

// The states of a machine.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Entry is one server of the list.
type Entry struct {
	Server  target.ServerID
	Service target.Service
	// Group is empty for a service that is not divided into groups.
	Group string
	Zone  target.Zone
	// Region is empty if the list does not say it.
	Region target.Region
	State  State
}

// List is one reading of the machine list, in the order of the source. A
// server occurs at most once.
type List []Entry

// EntryError says what is wrong with one entry.
type EntryError struct {
	// Group and Target are the zero-based positions in the document; Target is
	// -1 if the labels of the whole group are wrong.
	Group  int
	Target int
	// Field is "targets" or the name of the label.
	Field string
	// Problem says what is wrong with it.
	Problem string
}

// Error implements error.
func (e *EntryError) Error() string {
	if e.Target < 0 {
		return fmt.Sprintf("[%d].labels.%s: %s", e.Group, e.Field, e.Problem)
	}
	return fmt.Sprintf("[%d].targets[%d]: %s", e.Group, e.Target, e.Problem)
}

// EntryErrors lists every bad entry of a document whose other entries are good.
type EntryErrors []*EntryError

// maxErrorsInText bounds the text of an EntryErrors.
const maxErrorsInText = 10

// Error implements error.
func (e EntryErrors) Error() string {
	texts := make([]string, 0, min(len(e), maxErrorsInText))
	for _, entryError := range e[:min(len(e), maxErrorsInText)] {
		texts = append(texts, entryError.Error())
	}
	text := fmt.Sprintf("machine list: %d bad entries: %s", len(e), strings.Join(texts, "; "))
	if len(e) > maxErrorsInText {
		text += "; ..."
	}
	return text
}

// targetGroup is one element of the published document.
type targetGroup struct {
	Targets []string `json:"targets"`
	Labels  labels   `json:"labels"`
}

// labels are the labels that are used; others are ignored.
type labels struct {
	Zone    target.Zone    `json:"zone"`
	Region  target.Region  `json:"region"`
	Service target.Service `json:"service"`
	Group   string         `json:"group"`
	State   State          `json:"state"`
}

// Parse reads a document. If the document as a whole is readable, the good
// entries are returned even when the error is an EntryErrors.
func Parse(document []byte) (List, error) {
	var groups []targetGroup
	if err := json.Unmarshal(document, &groups); err != nil {
		return nil, errors.Wrap(err, "machine list")
	}
	parsed := parser{seen: make(map[target.ServerID]struct{})}
	for index := range groups {
		parsed.addGroup(index, &groups[index])
	}
	if len(parsed.errors) > 0 {
		return parsed.list, parsed.errors
	}
	return parsed.list, nil
}

type parser struct {
	list   List
	errors EntryErrors
	seen   map[target.ServerID]struct{}
}

func (p *parser) addGroup(index int, group *targetGroup) {
	if problems := group.Labels.check(index); len(problems) > 0 {
		p.errors = append(p.errors, problems...)
		return
	}
	state := group.Labels.State
	if state == "" {
		state = Live
	}
	for position, address := range group.Targets {
		if problem := p.checkAddress(address); problem != "" {
			p.errors = append(p.errors, &EntryError{
				Group: index, Target: position, Field: "targets", Problem: problem,
			})
			continue
		}
		server := target.ServerID(address)
		p.seen[server] = struct{}{}
		p.list = append(p.list, Entry{
			Server:  server,
			Service: group.Labels.Service,
			Group:   group.Labels.Group,
			Zone:    group.Labels.Zone,
			Region:  group.Labels.Region,
			State:   state,
		})
	}
}

// check returns every problem of the labels. A missing state means live.
func (l *labels) check(group int) EntryErrors {
	var problems EntryErrors
	add := func(field, problem string) {
		problems = append(problems, &EntryError{Group: group, Target: -1, Field: field, Problem: problem})
	}
	if l.Service == "" {
		add("service", "is missing")
	}
	if l.Zone == "" {
		add("zone", "is missing")
	}
	if l.State != "" && l.State != Live && l.State != Leaving {
		add("state", fmt.Sprintf("is %q, want live or leaving", l.State))
	}
	return problems
}

// checkAddress returns what is wrong with a target, or nothing.
func (p *parser) checkAddress(address string) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return fmt.Sprintf("%q is not host:port", address)
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		return fmt.Sprintf("%q has no valid port", address)
	}
	if _, seen := p.seen[target.ServerID(address)]; seen {
		return fmt.Sprintf("%q occurs twice", address)
	}
	return ""
}
