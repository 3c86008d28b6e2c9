package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/examples"
	"github.com/bramblemast/bramblemast/internal/lab/cluster"
	"github.com/bramblemast/bramblemast/internal/lab/load"
	"github.com/bramblemast/bramblemast/internal/lab/oracle"
	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
	"github.com/bramblemast/bramblemast/internal/lab/topology"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// startTimeout bounds the start of one deployment.
const startTimeout = 20 * time.Second

// stage is one deployment that runs, with what was seen of it.
type stage struct {
	deployment *topology.Deployment
	templates  []*template.Template
	cluster    *cluster.Cluster
	oracle     *oracle.Oracle
	output     io.Writer
	begin      time.Time
	scenes     int
	faults     []string
}

func newStage(ctx context.Context, deployment *topology.Deployment, options Options) (*stage, error) {
	begin := time.Now()
	templates, err := examples.Templates(deployment.Name)
	if err != nil {
		return nil, err
	}
	startContext, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	started, err := cluster.Start(startContext, cluster.Options{
		Deployment: deployment,
		Nodes:      nodesPerDeployment,
		Templates:  templates,
		Logger:     options.Logger,
	})
	if err != nil {
		return nil, err
	}
	made := &stage{
		deployment: deployment,
		templates:  templates,
		cluster:    started,
		oracle:     oracle.New(oracle.ExpectationsOf(deployment, templates)),
		output:     options.Output,
		begin:      begin,
	}
	made.introduce()
	return made, nil
}

func (s *stage) introduce() {
	s.print("\n=== %s: zones %v, %d back-end servers, %d nodes, %d templates in force at every node after %s, seed %d",
		s.deployment.Name, s.deployment.Zones(), len(s.cluster.Standin().Addresses().Servers),
		len(s.cluster.Nodes()), len(s.templates), time.Since(s.begin).Round(time.Millisecond), s.deployment.Seed)
}

// finish checks the execution logs, stops everything and returns the faults.
func (s *stage) finish() []string {
	s.checkExecutions()
	for _, violation := range s.oracle.Findings().Violations {
		s.faults = append(s.faults, violation.String())
	}
	if err := s.cluster.Close(); err != nil {
		s.faults = append(s.faults, err.Error())
	}
	return s.faults
}

// checkExecutions compares what callers were told with what the servers ran.
func (s *stage) checkExecutions() {
	var ran []oracle.Execution
	for _, execution := range s.cluster.Standin().Executions(labapi.ExecutionsQuery{Since: s.begin}) {
		if !execution.Ran() {
			continue
		}
		ran = append(ran, oracle.Execution{
			RequestID:      execution.RequestID,
			IdempotencyKey: execution.IdempotencyKey,
			Server:         string(execution.Server),
		})
	}
	s.oracle.CheckExecutions(ran)
}

// expect notes a fault unless the condition holds.
func (s *stage) expect(holds bool, format string, arguments ...any) {
	if !holds {
		s.faults = append(s.faults, s.deployment.Name+": "+fmt.Sprintf(format, arguments...))
	}
}

func (s *stage) print(format string, arguments ...any) {
	fmt.Fprintf(s.output, format+"\n", arguments...)
}

// exchanges collects what a scene saw, and passes it on to the oracle.
type exchanges struct {
	oracle *oracle.Oracle

	mutex sync.Mutex
	seen  []*load.Exchange // guarded by mutex
}

// Observe implements load.Observer.
func (e *exchanges) Observe(exchange *load.Exchange) {
	e.oracle.Observe(exchange)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.seen = append(e.seen, exchange)
}

// ask sends requests at a steady rate, to the nodes in turn, and returns the
// exchanges in the order of their ends.
func (s *stage) ask(ctx context.Context, wanted load.TemplateLoad, rate float64, duration time.Duration) []*load.Exchange {
	s.scenes++
	collected := &exchanges{oracle: s.oracle}
	_, err := load.Run(ctx, load.Options{
		Targets:  s.cluster.Targets(),
		Mix:      []load.TemplateLoad{wanted},
		Steps:    []load.Step{{Rate: rate, Duration: policy.Duration(duration)}},
		Arrivals: load.ArrivalsConstant,
		Seed:     s.deployment.Seed,
		Name:     fmt.Sprintf("%s-scene%d", s.deployment.Name, s.scenes),
		Observer: collected,
	})
	if err != nil {
		s.faults = append(s.faults, errors.Wrap(err, "send requests").Error())
	}
	return collected.seen
}

// loadOf returns the load that asks a template.
func loadOf(document *template.Template) load.TemplateLoad {
	return load.TemplateLoad{
		Tenant:        document.Tenant,
		Template:      document.Name,
		Queries:       load.GroupQueries(),
		NotRepeatable: document.NotRepeatable,
	}
}

// template returns the template of that name.
func (s *stage) template(name string) *template.Template {
	for _, document := range s.templates {
		if document.Name == name {
			return document
		}
	}
	return &template.Template{Name: name}
}

// serversOf returns the servers of a service.
func (s *stage) serversOf(service target.Service) []labapi.ServerAddress {
	var found []labapi.ServerAddress
	for _, server := range s.cluster.Standin().Addresses().Servers {
		if server.Service == service {
			found = append(found, server)
		}
	}
	return found
}
