package operator

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/google/uuid"

	"github.com/bramblemast/bramblemast/pkg/target"
	"github.com/bramblemast/bramblemast/pkg/template"
)

// Client speaks to the operators' interface of one node. It is safe for
// concurrent use. The deadline of a call is that of its context.
//
// Every error is an *outcome.Error with the step and the node's address; if
// the node answered, its cause is a *ProblemError. After a change, the outcome
// NotRun says that the change certainly did not take effect and may be sent
// again; Unknown is settled by SettleChange at any node.
type Client struct {
	address string
	http    *http.Client
}

// NewClient returns a client of the node whose operators' listener is at
// address (host:port). httpClient may be nil for a client of its own.
func NewClient(address string, httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = &http.Client{Transport: http.DefaultTransport.(*http.Transport).Clone()}
	}
	direct := *httpClient
	direct.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{address: address, http: &direct}
}

// Address returns the address of the node.
func (c *Client) Address() string { return c.address }

// PublishRequest is a new revision of a template.
type PublishRequest struct {
	Template *template.Template
	// ExpectedRevision is the revision that it replaces; zero if the template
	// must not exist.
	ExpectedRevision uint64
	// ChangeID identifies the change; see HeaderChangeID and NewChangeID.
	ChangeID string
}

// DeleteRequest replaces a template by a tombstone.
type DeleteRequest struct {
	Key              template.Key
	ExpectedRevision uint64
	ChangeID         string
	Author           string
	Comment          string
}

// PublishTemplate publishes a revision. The returned change is completed.
func (c *Client) PublishTemplate(ctx context.Context, request PublishRequest) (*Change, error) {
	return call[Change](ctx, c, exchange{
		step:       "publish template",
		method:     http.MethodPut,
		path:       templatePath(request.Template.Key(), ""),
		parameters: expected(request.ExpectedRevision),
		changeID:   request.ChangeID,
		body:       request.Template,
	})
}

// DeleteTemplate publishes a tombstone. The returned change is completed.
func (c *Client) DeleteTemplate(ctx context.Context, request DeleteRequest) (*Change, error) {
	parameters := expected(request.ExpectedRevision)
	setIfGiven(parameters, ParameterAuthor, request.Author)
	setIfGiven(parameters, ParameterComment, request.Comment)
	return call[Change](ctx, c, exchange{
		step:       "delete template",
		method:     http.MethodDelete,
		path:       templatePath(request.Key, ""),
		parameters: parameters,
		changeID:   request.ChangeID,
	})
}

// RollbackTemplate publishes the content of an earlier revision as a new one.
func (c *Client) RollbackTemplate(ctx context.Context, key template.Key, changeID string, request RollbackRequest) (*Change, error) {
	return call[Change](ctx, c, exchange{
		step:     "roll back template",
		method:   http.MethodPost,
		path:     templatePath(key, RollbackAction),
		changeID: changeID,
		body:     request,
	})
}

// SettleChange tells what became of a change whose reply was lost. The change
// that it returns may have any outcome; Unknown means to ask again later.
func (c *Client) SettleChange(ctx context.Context, key template.Key, changeID string) (*Change, error) {
	return call[Change](ctx, c, exchange{
		step:       "settle change",
		method:     http.MethodGet,
		path:       templatePath(key, SettleAction),
		parameters: url.Values{ParameterChangeID: {changeID}},
	})
}

// Template returns the revision in force at the node. A deleted template gives
// its tombstone.
func (c *Client) Template(ctx context.Context, key template.Key) (*template.Template, error) {
	return call[template.Template](ctx, c, exchange{
		step: "get template", method: http.MethodGet, path: templatePath(key, ""),
	})
}

// Templates lists the templates in force at the node; of one tenant, or of all
// if tenant is empty.
func (c *Client) Templates(ctx context.Context, tenant string) (*TemplateList, error) {
	parameters := url.Values{}
	setIfGiven(parameters, ParameterTenant, tenant)
	return call[TemplateList](ctx, c, exchange{
		step: "list templates", method: http.MethodGet, path: TemplatesPath, parameters: parameters,
	})
}

// History lists the kept revisions of a template, newest first.
func (c *Client) History(ctx context.Context, key template.Key) (*TemplateHistory, error) {
	return call[TemplateHistory](ctx, c, exchange{
		step: "get template history", method: http.MethodGet, path: templatePath(key, HistoryAction),
	})
}

// Nodes lists the nodes that the node knows.
func (c *Client) Nodes(ctx context.Context) (*NodeList, error) {
	return call[NodeList](ctx, c, exchange{step: "list nodes", method: http.MethodGet, path: NodesPath})
}

// Backends lists the servers of a service, or of all services if it is empty.
func (c *Client) Backends(ctx context.Context, service target.Service) (*BackendList, error) {
	parameters := url.Values{}
	setIfGiven(parameters, ParameterService, string(service))
	return call[BackendList](ctx, c, exchange{
		step: "list back ends", method: http.MethodGet, path: BackendsPath, parameters: parameters,
	})
}

// SetDraining asks nodes to send a server no new work, or to end that.
func (c *Client) SetDraining(ctx context.Context, request DrainRequest) (*DrainResult, error) {
	action := UndrainAction
	if request.Draining {
		action = DrainAction
	}
	parameters := url.Values{}
	setIfGiven(parameters, ParameterScope, request.Scope)
	setIfGiven(parameters, ParameterAuthor, request.Author)
	return call[DrainResult](ctx, c, exchange{
		step: action + " back end", method: http.MethodPost, path: backendPath(request.Server, action), parameters: parameters,
	})
}

// ConfigStatus tells which revision is in force at which node.
func (c *Client) ConfigStatus(ctx context.Context) (*ConfigStatus, error) {
	return call[ConfigStatus](ctx, c, exchange{
		step: "get configuration status", method: http.MethodGet, path: ConfigStatusPath,
	})
}

// Revisions tells what the node itself has in force. The list of templates is
// left out if the node's digest is unlessDigest.
func (c *Client) Revisions(ctx context.Context, unlessDigest string) (*NodeRevisions, error) {
	parameters := url.Values{}
	setIfGiven(parameters, ParameterUnlessDigest, unlessDigest)
	return call[NodeRevisions](ctx, c, exchange{
		step: "get revisions", method: http.MethodGet, path: ConfigRevisionsPath, parameters: parameters,
	})
}

// Experiment returns the figures of a template's arms in the given scope.
func (c *Client) Experiment(ctx context.Context, key template.Key, scope string) (*ExperimentReport, error) {
	return call[ExperimentReport](ctx, c, exchange{
		step:       "get experiment figures",
		method:     http.MethodGet,
		path:       experimentPath(key),
		parameters: url.Values{ParameterScope: {scope}},
	})
}

// NewChangeID makes the id of a change.
func NewChangeID() string { return uuid.Must(uuid.NewV7()).String() }

// expected returns the parameters of a change.
func expected(revision uint64) url.Values {
	return url.Values{ParameterExpectedRevision: {strconv.FormatUint(revision, 10)}}
}

func setIfGiven(parameters url.Values, name, value string) {
	if value != "" {
		parameters.Set(name, value)
	}
}
