package front

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/exchange/exchangetest"
	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// keyedDialect returns a dialect with headers for the key and the tenant.
func keyedDialect() Dialect {
	dialect := Dialect{Dialect: exchangetest.Dialect, Parts: "Parts", MissingParts: "Missing"}
	dialect.Credential, dialect.Tenant = "Key", "Tenant"
	return dialect
}

// unresponsiveOwner owns all shards and never answers. It implements fanout.Owners.
type unresponsiveOwner struct{ questions chan fanout.Question }

func (o unresponsiveOwner) Divide(services []string, _ route.Regions) []fanout.Group {
	group := fanout.Group{Owner: "other"}
	for index := range services {
		group.Indexes = append(group.Indexes, index)
	}
	return []fanout.Group{group}
}

func (o unresponsiveOwner) Ask(question fanout.Question, _ func(fanout.Report)) fanout.Pending {
	o.questions <- question
	return o
}

func (unresponsiveOwner) Cancel()     {}
func (unresponsiveOwner) Grant([]int) {}
func (unresponsiveOwner) MarkSilent() {}

// newKeyedHandler returns a handler with a private and a public route, and the tenant "desk" with the
// key "k-desk".
func newKeyedHandler(owners fanout.Owners, freshness func() KeyFreshness) *Handler {
	rules, err := policy.Build(policy.Spec{})
	if err != nil {
		panic(err)
	}
	return NewHandler(Options{
		Dialect: keyedDialect(), Owners: owners, KeyFreshness: freshness, Random: rand.New(rand.NewPCG(1, 1)), MaxInFlight: 10,
		State: simState{route.NewTable(&route.Configuration{
			Version: 1, Tenants: []route.Tenant{{Name: "desk", Keys: []string{"k-desk"}, Priority: 1, HasPriority: true}},
			Routes: []route.Route{
				{Name: "all", Host: "h", Prefix: "/", Repeatable: true, Shards: []string{"a", "b"}, MaxAttempts: 2, Priority: 7},
				{Name: "open", Host: "h", Prefix: "/open/", Repeatable: true, Shards: []string{"a", "b"}, MaxAttempts: 2, Public: true},
			},
		})},
		Fleet:  fleet.New(fleet.Settings{Dialer: exchangetest.NewNetwork(), Random: rand.New(rand.NewPCG(1, 1))}),
		Budget: &simBudget{tokens: make(map[string]float64)}, Events: &simRecords{refused: make(map[string]Record)},
		Policies: simPolicies{Policy{Hedge: rules.Hedge, Stop: rules.Stop, MaxAttempts: 2}},
	})
}

// ask sends a request with headers and returns the answer.
func sendRequest(handler *Handler, path string, headers http.Header) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodGet, path, nil)
	request.Host, request.Header = "h", headers
	request.Header.Set(exchangetest.Dialect.RequestID, "r")
	request.Header.Set(exchangetest.Dialect.DeadlineMillis, "100")
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

// TestAnotherNodeIsToldTheTenantOnly checks that owners receive the tenant's name but not the key,
// which is a secret between the client and the node that it called.
func TestAnotherNodeIsToldTheTenantOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		owner := unresponsiveOwner{questions: make(chan fanout.Question, 1)}
		sendRequest(newKeyedHandler(owner, nil), "/x", http.Header{"Key": {"k-desk"}, "Tenant": {"forged"}, "Own": {"kept"}})
		question := <-owner.questions
		g.Expect(question.Request.Header).To(Equal(http.Header{"Tenant": {"desk"}, "Own": {"kept"}}))
		g.Expect(question.Plan.Tenant).To(Equal("desk"))
		g.Expect(question.Plan.Priority).To(Equal(1), "the tenant's priority overrides the route's")
		time.Sleep(time.Minute)
	})
}

// TestHowFarKeysAreTrusted checks how keys are treated by the age of the node's knowledge of them:
// a known key is accepted unless all keys have lapsed, and an unknown key that may have been added
// since gets status 503, which may be retried, rather than 401.
func TestHowFarKeysAreTrusted(t *testing.T) {
	// reached as a status means that the request is sent to the owner.
	const admitted = 0
	for _, each := range []struct {
		freshness KeyFreshness
		path      string
		key       string
		status    int
	}{
		{KeysCurrent, "/x", "k-desk", admitted}, {KeysStale, "/x", "k-desk", admitted}, {KeysLapsed, "/x", "k-desk", 503},
		{KeysCurrent, "/x", "k-new", 401}, {KeysStale, "/x", "k-new", 503}, {KeysLapsed, "/x", "k-new", 503},
		{KeysCurrent, "/x", "", 401}, {KeysStale, "/x", "", 401}, {KeysLapsed, "/x", "", 401},
		{KeysLapsed, "/open/x", "", admitted}, {KeysLapsed, "/open/x", "k-desk", 503},
		{KeysCurrent, "/open/x", "k-new", 401}, {KeysStale, "/open/x", "k-new", 503},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			headers := http.Header{}
			if each.key != "" {
				headers.Set("Key", each.key)
			}
			owner := unresponsiveOwner{questions: make(chan fanout.Question, 1)}
			answer := sendRequest(newKeyedHandler(owner, func() KeyFreshness { return each.freshness }), each.path, headers)
			g.Expect(len(owner.questions) == 1).To(Equal(each.status == admitted), "%+v", each)
			if each.status != admitted {
				g.Expect(answer.Code).To(Equal(each.status), "%+v", each)
				g.Expect(answer.Header().Get("Retry-After") != "").To(Equal(each.status == 503), "%+v", each)
			}
			time.Sleep(time.Minute)
		})
	}
}

// TestFingerprintsDifferByTenant checks that the fingerprints of suspect requests differ by tenant:
// the key has been removed from the request by then.
func TestFingerprintsDifferByTenant(t *testing.T) {
	g := NewWithT(t)
	dialect := keyedDialect()
	fingerprint := func(tenant string) exchange.Fingerprint {
		sent := exchange.Request{Method: "GET", Host: "h", Target: "/x", Header: http.Header{"Tenant": {tenant}}}
		return sent.Fingerprint(&dialect.Dialect)
	}
	g.Expect(fingerprint("desk")).To(Equal(fingerprint("desk")))
	g.Expect(fingerprint("desk")).NotTo(Equal(fingerprint("other")))
}
