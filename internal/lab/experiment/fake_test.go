package experiment

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/bramblemast/bramblemast/api"
	"github.com/bramblemast/bramblemast/internal/lab/dataset"
	"github.com/bramblemast/bramblemast/internal/lab/oracle"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// fakeVersion is the index version of the fake environment.
const fakeVersion = 7

// fakeLauncher makes environments that answer rightly without nodes or back
// ends, or wrongly if lie is set.
type fakeLauncher struct {
	lie      bool
	settings []Setting
}

type fakeEnvironment struct {
	*httptest.Server
	contents  *dataset.Dataset
	documents map[template.Key]*template.Template
	lie       bool
	seed      uint64
}

func (l *fakeLauncher) Launch(_ context.Context, setting Setting) (Environment, error) {
	l.settings = append(l.settings, setting)
	service := setting.Deployment.Services[0]
	environment := &fakeEnvironment{
		contents:  dataset.New(service.Name, setting.Deployment.Seed, service.Records),
		documents: make(map[template.Key]*template.Template),
		lie:       l.lie,
		seed:      setting.Deployment.Seed,
	}
	for _, document := range setting.Templates {
		environment.documents[document.Key()] = document
	}
	environment.Server = httptest.NewServer(http.HandlerFunc(environment.serve))
	return environment, nil
}

func (e *fakeEnvironment) Targets() []string { return []string{e.URL} }

func (e *fakeEnvironment) Seed() uint64 { return e.seed }

func (e *fakeEnvironment) Work(context.Context, target.Service) (BackendWork, error) {
	return BackendWork{}, nil
}

func (e *fakeEnvironment) Executions(context.Context, time.Time) ([]oracle.Execution, error) {
	return nil, nil
}

func (e *fakeEnvironment) Publish(context.Context, target.Service, time.Duration) error { return nil }

func (e *fakeEnvironment) Repartition(context.Context, target.Service) error { return nil }

func (e *fakeEnvironment) Close() error {
	e.Server.Close()
	return nil
}

func (e *fakeEnvironment) serve(w http.ResponseWriter, r *http.Request) {
	var request api.QueryRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	document := e.documents[template.Key{Tenant: request.Tenant, Name: request.Template}]
	id := r.Header.Get(api.HeaderRequestID)
	right := e.contents.Evaluate(fakeVersion, request.Query, []keyspace.Range{keyspace.Full}, document.Limit)
	answer := api.Answer{
		RequestID: id, Outcome: outcome.Completed, Snapshot: fakeVersion,
		Tenant: request.Tenant, Template: request.Template, Arm: document.ArmFor(id).Name,
		Matches: right.Matches, ScoreSum: right.ScoreSum,
		Coverage: api.Coverage{Complete: true, Share: 1, Asked: keyspace.Full, PartsCovered: 4, PartsTotal: 4},
	}
	for _, record := range right.Records {
		answer.Records = append(answer.Records, api.Record{Key: record.Key, Score: record.Score})
	}
	if e.lie {
		answer.Matches++
	}
	_ = json.NewEncoder(w).Encode(answer)
}
