package front

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// State is what the handler reads about the node.
type State interface {
	// Table returns the configuration in force, or nil while none is known.
	Table() *route.Table
	// Draining reports whether a planned stop is under way.
	Draining() bool
	// Starting returns what to do with a request that comes before a
	// configuration is known.
	Starting() Starting
}

// Starting says what to do with requests while no configuration is known.
type Starting struct {
	// Patience is how long a request waits for the configuration.
	MaxWait time.Duration
	// RetryAfter is after how long the client may retry then.
	RetryAfter time.Duration
}

// Handler serves clients' requests.
type Handler struct {
	dialect Dialect
	state   State
	gatherer,
	forwarder *fanout.Runner
	policies   Policies
	quarantine *quarantine.Guard
	splitter   *splitter
	fleet      *fleet.Fleet
	// overloads tells since when requests are refused for want of room, by the
	// first service of their route.
	overloads *episodes
	limits    Limits
	keyNews   func() KeyFreshness
	events    Recorder
	// inFlight has an element for each request that is served.
	inFlight chan struct{}
}

// Options of a Handler.
type Options struct {
	Dialect Dialect
	State   State
	Fleet   *fleet.Fleet
	Budget  fanout.Budget
	// Owners are the nodes to ask for the shards of gathered requests; nil if this
	// node asks all servers itself.
	Owners fanout.Owners
	// Room is what nodes tell each other of the room at services; nil for one that this node
	// keeps for itself.
	Admission *fanout.AdmissionControl
	Policies  Policies
	// Limits holds tenants to their limits; nil for none.
	Limits Limits
	// KeyFreshness tells how far what is known of keys may be trusted; nil if it is always current.
	KeyFreshness func() KeyFreshness
	Events       Recorder
	// Quarantine keeps requests from servers that end when they run them; nil for none.
	Quarantine *quarantine.Guard
	// Random is not shared with other users.
	Random *rand.Rand
	// MaxInFlight bounds the requests that are served at once.
	MaxInFlight int
}

// lingerAfterAnswer is for how long a server whose answer is no longer needed
// may go on before its connection is closed.
const lingerAfterAnswer = 350 * time.Millisecond

// NewHandler returns a handler.
func NewHandler(options Options) *Handler {
	handler := &Handler{
		dialect: options.Dialect, state: options.State, policies: options.Policies, events: options.Events,
		splitter: newSplitter(options.Random), inFlight: make(chan struct{}, options.MaxInFlight),
		overloads: newEpisodes(), fleet: options.Fleet, quarantine: options.Quarantine, limits: options.Limits,
		keyNews: options.KeyFreshness,
	}
	if handler.limits == nil {
		handler.limits = noLimits{}
	}
	if handler.keyNews == nil {
		handler.keyNews = func() KeyFreshness { return KeysCurrent }
	}
	runner := fanout.Runner{
		Fleet: options.Fleet, Budget: options.Budget, Dialect: &handler.dialect.Dialect, Linger: lingerAfterAnswer,
		Quarantine: options.Quarantine, Admission: options.Admission,
	}
	if runner.Admission == nil {
		runner.Admission = fanout.NewAdmissionControl(options.Fleet)
	}
	gatherer, forwarder := runner, runner
	gatherer.IsUsable, forwarder.IsUsable = isPart, isWholeAnswer
	gatherer.Owners = options.Owners
	handler.gatherer, handler.forwarder = &gatherer, &forwarder
	return handler
}

// Collector returns what asks servers for parts on behalf of other nodes; a plan with
// fanout.Collect asks no owners.
func (h *Handler) Collector() *fanout.Runner { return h.gatherer }

// isPart reports whether an answer can be merged.
func isPart(answer *exchange.Response) bool {
	return answer.Status/100 == 2 && answer.Evidence != "" && answer.Header.Get("Content-Encoding") == ""
}

// isWholeAnswer reports whether an answer can be passed on as it is.
func isWholeAnswer(answer *exchange.Response) bool {
	return answer.Status < http.StatusInternalServerError && answer.Evidence != "" &&
		answer.Header.Get("Content-Encoding") == ""
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, received *http.Request) {
	exchanged := &conversation{
		handler: h, writer: writer, received: received, began: time.Now(), id: received.Header.Get(h.dialect.RequestID),
	}
	if h.state.Draining() {
		writer.Header().Set("Connection", "close")
	}
	select {
	case h.inFlight <- struct{}{}:
		defer func() { <-h.inFlight }()
	default:
		exchanged.refuse(http.StatusServiceUnavailable, outcome.ReasonOverloaded, overloadedWait)
		return
	}
	table := h.awaitTable()
	if table == nil {
		exchanged.refuse(http.StatusServiceUnavailable, outcome.ReasonStarting, h.state.Starting().RetryAfter)
		return
	}
	exchanged.version = table.Version
	path, _, _ := strings.Cut(received.RequestURI, "?")
	found := table.Match(received.Host, path)
	if found == nil {
		exchanged.refuse(http.StatusNotFound, outcome.ReasonInvalid, 0)
		return
	}
	exchanged.route = found
	if !exchanged.authenticate(table) {
		return
	}
	exchanged.deadline = deadline(found, h.clientDeadline(received.Header), exchanged.began)
	request, status, err := h.read(received, table.Limits)
	if err != nil {
		exchanged.cause = err
		exchanged.refuse(status, outcome.ReasonInvalid, 0)
		return
	}
	// The key may have been removed while a slow client sent the body.
	if request.HasBody && !exchanged.authenticate(h.state.Table()) {
		return
	}
	exchanged.replaceCaller(request.Header)
	exchanged.serve(request)
}

// awaitTable returns the configuration in force, if need be after a wait.
func (h *Handler) awaitTable() *route.Table {
	table := h.state.Table()
	for waited := time.Duration(0); table == nil && waited < h.state.Starting().MaxWait; waited += startingPoll {
		time.Sleep(startingPoll)
		table = h.state.Table()
	}
	return table
}

// startingPoll is how often a waiting request looks for a configuration.
const startingPoll = 5 * time.Millisecond

// errBodyTooLarge means that a client's body exceeds the configured bound.
var errBodyTooLarge = errors.New("the body is too large")

// read takes the whole request of a client, so that it can be sent to more
// than one server.
func (h *Handler) read(received *http.Request, limits route.Limits) (*exchange.Request, int, error) {
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
		body, err := readBody(received, limits.BodyBytes)
		if errors.Is(err, errBodyTooLarge) {
			return nil, http.StatusRequestEntityTooLarge, err
		}
		if err != nil {
			return nil, http.StatusBadRequest, errors.Wrap(err, "read body")
		}
		request.Body = body
	}
	exchange.StripConnectionHeaders(request.Header)
	for _, name := range []string{
		h.dialect.RequestID, h.dialect.DeadlineMillis, h.dialect.ExpectInstance, "Content-Length", "Expect", "Host",
	} {
		request.Header.Del(name)
	}
	return request, 0, nil
}

// readBody reads a body of up to a number of bytes; zero is no bound.
func readBody(received *http.Request, limit int64) ([]byte, error) {
	if limit <= 0 {
		return io.ReadAll(received.Body)
	}
	if received.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	body, err := io.ReadAll(io.LimitReader(received.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errBodyTooLarge
	}
	return body, err
}

// clientDeadline returns the time that the client gives, or a default if it gives none or one that
// makes no sense.
func (h *Handler) clientDeadline(header http.Header) time.Duration {
	millis, err := strconv.ParseFloat(header.Get(h.dialect.DeadlineMillis), 64)
	if err != nil || millis < 0 {
		return defaultDeadline
	}
	return time.Duration(millis * float64(time.Millisecond))
}
