package ctl

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	api "github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/internal/armstats"
	"github.com/bramblemast/bramblemast/internal/operator"
	"github.com/bramblemast/bramblemast/pkg/catalog"
	"github.com/bramblemast/bramblemast/pkg/claim"
	"github.com/bramblemast/bramblemast/pkg/configstore"
	publisher "github.com/bramblemast/bramblemast/pkg/publish"
	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// gateway serves the operators' interface within the command itself, over the
// configuration store. It is for deployments whose nodes operators do not call.
// It implements http.RoundTripper.
type gateway struct {
	handler   *echo.Echo
	templates *storeTemplates
}

// gatewayNode is the name of the gateway in answers.
const gatewayNode = "store"

// errNeedsNode means that only a node knows what is asked.
var errNeedsNode = errors.New("only a node knows this: use --address in place of --store")

// newGateway returns a gateway to a store that is not nil.
func newGateway(store configstore.Store, timeout time.Duration) *gateway {
	// The default of hclog writes to the standard error output.
	logger := hclog.New(&hclog.LoggerOptions{Name: gatewayNode, Level: hclog.Warn})
	opened, err := publisher.New(publisher.Options{Store: store, Logger: logger})
	if err != nil {
		panic(err) // only a missing store is an error
	}
	templates := &storeTemplates{publisher: opened, timeout: timeout}
	nothing := noNode{}
	server := operator.New(operator.Dependencies{
		Node: gatewayNode, Templates: templates,
		Publisher: operator.StorePublisher{Publisher: opened},
		Members:   nothing, Backends: nothing, Experiments: nothing, Claims: nothing, Peers: nothing,
	})
	gate := &gateway{handler: echo.New(), templates: templates}
	server.Register(gate.handler)
	return gate
}

// RoundTrip implements http.RoundTripper.
func (g *gateway) RoundTrip(request *http.Request) (*http.Response, error) {
	recorder := &recorder{header: make(http.Header), status: http.StatusOK}
	if request.Body == nil {
		request.Body = http.NoBody
	}
	g.handler.ServeHTTP(recorder, request)
	if g.templates.failure != nil {
		return nil, errors.WithMessage(g.templates.failure, "read the store")
	}
	return &http.Response{
		StatusCode: recorder.status, Status: http.StatusText(recorder.status), Proto: "HTTP/1.1", ProtoMajor: 1,
		ProtoMinor: 1, Header: recorder.header, Body: io.NopCloser(&recorder.body),
		ContentLength: int64(recorder.body.Len()), Request: request,
	}, nil
}

// recorder keeps an answer that is given within one process. It takes the
// deadlines that a listener's connection would have; here they have no meaning.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header { return r.header }

// Write implements http.ResponseWriter.
func (r *recorder) Write(content []byte) (int, error) { return r.body.Write(content) }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) { r.status = status }

// SetReadDeadline does nothing; see http.ResponseController.
func (r *recorder) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing; see http.ResponseController.
func (r *recorder) SetWriteDeadline(time.Time) error { return nil }

// storeTemplates reads the templates from the store at each call.
type storeTemplates struct {
	publisher *publisher.Publisher
	timeout   time.Duration
	// failure is why the store could not be read; commands run one at a time.
	failure error
}

func (t *storeTemplates) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), t.timeout)
}

// Get implements operator.Templates.
func (t *storeTemplates) Get(key template.Key) *template.Template {
	ctx, cancel := t.context()
	defer cancel()
	found, err := t.publisher.Get(ctx, key)
	if errors.Is(err, configstore.ErrNotFound) {
		return nil
	}
	t.failure = err
	return found
}

// List implements operator.Templates.
func (t *storeTemplates) List() []*template.Template {
	ctx, cancel := t.context()
	defer cancel()
	list, err := t.publisher.List(ctx)
	t.failure = err
	return list
}

// Revisions implements operator.Templates.
func (t *storeTemplates) Revisions() []api.TemplateRevision { return nil }

// Ready implements operator.Templates.
func (t *storeTemplates) Ready() bool { return true }

// StoreContact implements operator.Templates.
func (t *storeTemplates) StoreContact() api.StoreContact { return api.StoreContact{} }

// noNode stands for the parts of a node that the store does not have.
type noNode struct{}

// Nodes implements operator.Members.
func (noNode) Nodes() []api.Node { return nil }

// Reports implements operator.Backends.
func (noNode) Reports() []catalog.ServerReport { return nil }

// View implements operator.Backends.
func (noNode) View(target.Service) *catalog.View { return nil }

// Drain implements operator.Backends.
func (noNode) Drain(target.ServerID, bool, string) error { return catalog.ErrUnknownServer }

// Snapshot implements operator.Experiments.
func (noNode) Snapshot(template.Key) armstats.Snapshot { return armstats.Snapshot{} }

// Lookup implements operator.Claims.
func (noNode) Lookup(context.Context, string, string) (claim.Record, error) {
	return claim.Record{}, errNeedsNode
}

// List implements operator.Claims.
func (noNode) List(context.Context) ([]claim.Record, error) { return nil, errNeedsNode }

// Remove implements operator.Claims.
func (noNode) Remove(context.Context, string, string, string) error { return errNeedsNode }

// Revisions implements operator.Peers.
func (noNode) Revisions(context.Context, string, string) (*api.NodeRevisions, error) {
	return nil, errNeedsNode
}

// Experiment implements operator.Peers.
func (noNode) Experiment(context.Context, string, template.Key) (*api.ExperimentReport, error) {
	return nil, errNeedsNode
}

// SetDraining implements operator.Peers.
func (noNode) SetDraining(context.Context, string, api.DrainRequest) (*api.DrainResult, error) {
	return nil, errNeedsNode
}
