package front

import (
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bramblemast/bramblemast/pkg/bytebudget"
	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// State provides the handler with the state of the node. It is safe for concurrent use.
type State interface {
	// Table returns the configuration in force, or nil while none is known.
	Table() *route.Table
	// Draining reports whether a planned stop is under way.
	Draining() bool
	// Starting returns what to do with a request that arrives before a configuration is known.
	Starting() Starting
}

// Starting defines the handling of requests while no configuration is known.
type Starting struct {
	// MaxWait bounds how long a request waits for the configuration.
	MaxWait time.Duration
	// RetryAfter is sent to the client if no configuration arrived within MaxWait.
	RetryAfter time.Duration
}

// Handler serves clients' requests. It is safe for concurrent use.
type Handler struct {
	dialect Dialect
	state   State
	gatherer,
	forwarder *fanout.Runner
	policies   Policies
	quarantine *quarantine.Guard
	splitter   *splitter
	fleet      *fleet.Fleet
	// overloads tracks refusals for lack of capacity by the first service of the route.
	overloads    *overloadTracker
	limits       Limits
	keyFreshness func() KeyFreshness
	events       Recorder
	drain        *fanout.Drain
	memory       *bytebudget.Budget
	// inFlight holds one element for each request being served.
	inFlight chan struct{}
}

// Options of a Handler.
type Options struct {
	Dialect Dialect
	State   State
	Fleet   *fleet.Fleet
	Budget  fanout.Budget
	// Owners are the nodes that query the shards of gathered requests; nil if this node queries all
	// servers itself.
	Owners fanout.Owners
	// Admission decides by the capacity of services that nodes report to each other; nil for an
	// admission control of this node alone.
	Admission *fanout.AdmissionControl
	Policies  Policies
	// Limits enforces the tenants' limits; nil for no limits.
	Limits Limits
	// KeyFreshness returns how current the known keys are; nil if they are always current.
	KeyFreshness func() KeyFreshness
	Events       Recorder
	// Quarantine withholds requests that crash servers; nil for no quarantine.
	Quarantine *quarantine.Guard
	// Random is used by the Handler only; it must not be shared.
	Random *rand.Rand
	// MaxInFlight bounds the number of requests served concurrently.
	MaxInFlight int
	// Drain ends requests when the node stops; nil if it never does.
	Drain *fanout.Drain
	// Memory bounds the memory of the bodies of requests and answers; nil for no bound.
	Memory *bytebudget.Budget
}

// lingerAfterAnswer is how long a server whose answer is no longer needed may continue before its
// connection is closed.
const lingerAfterAnswer = 350 * time.Millisecond

// NewHandler returns a Handler with the given options.
func NewHandler(options Options) *Handler {
	handler := &Handler{
		dialect: options.Dialect, state: options.State, policies: options.Policies, events: options.Events,
		splitter: newSplitter(options.Random), inFlight: make(chan struct{}, options.MaxInFlight),
		overloads: newOverloadTracker(), fleet: options.Fleet, quarantine: options.Quarantine, limits: options.Limits,
		keyFreshness: options.KeyFreshness, drain: options.Drain, memory: options.Memory,
	}
	if handler.drain == nil {
		handler.drain = fanout.NewDrain()
	}
	if handler.limits == nil {
		handler.limits = noLimits{}
	}
	if handler.keyFreshness == nil {
		handler.keyFreshness = func() KeyFreshness { return KeysCurrent }
	}
	runner := fanout.Runner{
		Fleet: options.Fleet, Budget: options.Budget, Dialect: &handler.dialect.Dialect, Linger: lingerAfterAnswer,
		Quarantine: options.Quarantine, Admission: options.Admission, Drain: options.Drain,
		Memory: options.Memory,
	}
	if runner.Admission == nil {
		runner.Admission = fanout.NewAdmissionControl(options.Fleet)
	}
	gatherer, forwarder := runner, runner
	gatherer.IsUsable, forwarder.IsUsable = isMergeable, isForwardable
	gatherer.Owners = options.Owners
	handler.gatherer, handler.forwarder = &gatherer, &forwarder
	return handler
}

// Collector returns the runner that collects parts from servers on behalf of other nodes; a plan with
// fanout.Collect is not sent to owners.
func (h *Handler) Collector() *fanout.Runner { return h.gatherer }

// isMergeable reports whether an answer can be merged.
func isMergeable(answer *exchange.Response) bool {
	return answer.Status/100 == 2 && answer.Evidence != "" && answer.Header.Get("Content-Encoding") == ""
}

// isForwardable reports whether an answer can be passed on as it is.
func isForwardable(answer *exchange.Response) bool {
	return answer.Status < http.StatusInternalServerError && answer.Evidence != "" &&
		answer.Header.Get("Content-Encoding") == ""
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, received *http.Request) {
	current := &clientRequest{
		handler: h, writer: writer, received: received, startedAt: time.Now(), id: received.Header.Get(h.dialect.RequestID),
	}
	if h.state.Draining() {
		writer.Header().Set("Connection", "close")
	}
	select {
	case h.inFlight <- struct{}{}:
		defer func() { <-h.inFlight }()
	default:
		// Clients that do not finish their requests must not keep all others out.
		h.memory.EvictLongestWaiting(current.startedAt)
		current.refuse(http.StatusServiceUnavailable, outcome.ReasonOverloaded, nodeOverloadWait)
		return
	}
	table := h.awaitTable()
	if table == nil {
		current.refuse(http.StatusServiceUnavailable, outcome.ReasonStarting, h.state.Starting().RetryAfter)
		return
	}
	current.version = table.Version
	path, _, _ := strings.Cut(received.RequestURI, "?")
	matched := table.Match(received.Host, path)
	if matched == nil {
		current.refuse(http.StatusNotFound, outcome.ReasonInvalid, 0)
		return
	}
	current.route = matched
	if !current.authenticate(table) {
		return
	}
	current.deadline = deadline(matched, h.clientDeadline(received.Header), current.startedAt)
	hold := h.memory.Open()
	defer hold.Release()
	request, err := current.read(hold, table.Limits)
	if err != nil {
		current.refuseUnread(err)
		return
	}
	// The key may have been removed while a slow client sent the body.
	if request.HasBody && !current.authenticate(h.state.Table()) {
		return
	}
	current.replaceCallerHeaders(request.Header)
	current.serve(request)
}

// awaitTable returns the configuration in force. If there is none, it waits for up to
// Starting.MaxWait and may return nil.
func (h *Handler) awaitTable() *route.Table {
	table := h.state.Table()
	for waited := time.Duration(0); table == nil && waited < h.state.Starting().MaxWait; waited += startupPollInterval {
		time.Sleep(startupPollInterval)
		table = h.state.Table()
	}
	return table
}

// startupPollInterval is how often a waiting request checks for a configuration.
const startupPollInterval = 5 * time.Millisecond

// read reads the complete request of a client, so that it can be sent to more than one server. Its body
// takes memory of the hold.
func (c *clientRequest) read(hold *bytebudget.Hold, limits route.Limits) (*exchange.Request, error) {
	h, received := c.handler, c.received
	request := &exchange.Request{
		Method: received.Method, Target: received.RequestURI, Host: received.Host,
		ID: received.Header.Get(h.dialect.RequestID), Header: received.Header,
	}
	if !strings.HasPrefix(request.Target, "/") {
		request.Target = received.URL.RequestURI()
	}
	request.HasBody = received.ContentLength > 0 || len(received.TransferEncoding) > 0 ||
		received.Header.Get("Content-Length") != ""
	if request.HasBody {
		body, err := c.readBody(hold, limits.BodyBytes)
		if err != nil {
			return nil, err
		}
		request.Body = body
	}
	exchange.StripConnectionHeaders(request.Header)
	for _, name := range []string{
		h.dialect.RequestID, h.dialect.DeadlineMillis, h.dialect.ExpectInstance, "Content-Length", "Expect", "Host",
	} {
		request.Header.Del(name)
	}
	return request, nil
}

// maxDeadlineMillis is the longest deadline of a client in milliseconds; routes have shorter timeouts.
const maxDeadlineMillis = 1e9

// clientDeadline returns the time allowed by the client, or defaultDeadline if the header is missing
// or invalid.
func (h *Handler) clientDeadline(header http.Header) time.Duration {
	millis, err := strconv.ParseFloat(header.Get(h.dialect.DeadlineMillis), 64)
	if err != nil || math.IsNaN(millis) || millis < 0 {
		return defaultDeadline
	}
	return time.Duration(min(millis, maxDeadlineMillis) * float64(time.Millisecond))
}
