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

// keyedDialect has headers for the key and the tenant.
func keyedDialect() Dialect {
	dialect := Dialect{Dialect: exchangetest.Dialect, Parts: "Parts", MissingParts: "Missing"}
	dialect.Credential, dialect.Tenant = "Key", "Tenant"
	return dialect
}

// silentOwner is asked for all shards and never answers. It implements fanout.Owners.
type silentOwner struct{ asked chan fanout.Question }

func (o silentOwner) Divide(services []string, _ route.Regions) []fanout.Group {
	group := fanout.Group{Owner: "other"}
	for index := range services {
		group.Indexes = append(group.Indexes, index)
	}
	return []fanout.Group{group}
}

func (o silentOwner) Ask(question fanout.Question, _ func(fanout.Report)) fanout.Pending {
	o.asked <- question
	return o
}

func (silentOwner) Cancel()     {}
func (silentOwner) Grant([]int) {}
func (silentOwner) MarkSilent() {}

// keyedNode is a handler of one gathered route for the tenant "desk" with the key "k-desk".
func keyedNode(owners fanout.Owners, news func() KeyFreshness) *Handler {
	rules, err := policy.Build(policy.Spec{})
	if err != nil {
		panic(err)
	}
	return NewHandler(Options{
		Dialect: keyedDialect(), Owners: owners, KeyFreshness: news, Random: rand.New(rand.NewPCG(1, 1)), MaxInFlight: 10,
		State: simState{route.NewTable(&route.Configuration{
			Version: 1, Tenants: []route.Tenant{{Name: "desk", Keys: []string{"k-desk"}, Priority: 1, HasPriority: true}},
			Routes: []route.Route{
				{Name: "all", Host: "h", Prefix: "/", Repeatable: true, Shards: []string{"a", "b"}, MaxAttempts: 2, Priority: 7},
				{Name: "open", Host: "h", Prefix: "/open/", Repeatable: true, Shards: []string{"a", "b"}, MaxAttempts: 2, Public: true},
			},
		})},
		Fleet:  fleet.New(fleet.Settings{Dialer: exchangetest.NewNetwork(), Random: rand.New(rand.NewPCG(1, 1))}),
		Budget: &simBudget{left: make(map[string]float64)}, Events: &simRecords{refused: make(map[string]Record)},
		Policies: simPolicies{Policy{Hedge: rules.Hedge, Stop: rules.Stop, MaxAttempts: 2}},
	})
}

// ask sends a request with headers and returns the answer.
func ask(handler *Handler, path string, headers http.Header) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodGet, path, nil)
	request.Host, request.Header = "h", headers
	request.Header.Set(exchangetest.Dialect.RequestID, "r")
	request.Header.Set(exchangetest.Dialect.DeadlineMillis, "100")
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

// TestAnotherNodeIsToldTheTenantOnly, not the key: the key is a secret between its caller and
// the node that the caller asks.
func TestAnotherNodeIsToldTheTenantOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		owner := silentOwner{asked: make(chan fanout.Question, 1)}
		ask(keyedNode(owner, nil), "/x", http.Header{"Key": {"k-desk"}, "Tenant": {"forged"}, "Own": {"kept"}})
		question := <-owner.asked
		g.Expect(question.Request.Header).To(Equal(http.Header{"Tenant": {"desk"}, "Own": {"kept"}}))
		g.Expect(question.Plan.Tenant).To(Equal("desk"))
		g.Expect(question.Plan.Priority).To(Equal(1), "the tenant's goes before the route's")
		time.Sleep(time.Minute)
	})
}

// TestHowFarKeysAreTrusted by the age of what the node knows of them: a known key is served on
// unless all have lapsed, and a key that may have been added since is not refused for good.
func TestHowFarKeysAreTrusted(t *testing.T) {
	// reached stands for a request that is let in.
	const reached = 0
	for _, each := range []struct {
		news   KeyFreshness
		path   string
		key    string
		status int
	}{
		{KeysCurrent, "/x", "k-desk", reached}, {KeysStale, "/x", "k-desk", reached}, {KeysLapsed, "/x", "k-desk", 503},
		{KeysCurrent, "/x", "k-new", 401}, {KeysStale, "/x", "k-new", 503}, {KeysLapsed, "/x", "k-new", 503},
		{KeysCurrent, "/x", "", 401}, {KeysStale, "/x", "", 401}, {KeysLapsed, "/x", "", 401},
		{KeysLapsed, "/open/x", "", reached}, {KeysLapsed, "/open/x", "k-desk", 503},
		{KeysCurrent, "/open/x", "k-new", 401}, {KeysStale, "/open/x", "k-new", 503},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			headers := http.Header{}
			if each.key != "" {
				headers.Set("Key", each.key)
			}
			owner := silentOwner{asked: make(chan fanout.Question, 1)}
			answer := ask(keyedNode(owner, func() KeyFreshness { return each.news }), each.path, headers)
			g.Expect(len(owner.asked) == 1).To(Equal(each.status == reached), "%+v", each)
			if each.status != reached {
				g.Expect(answer.Code).To(Equal(each.status), "%+v", each)
				g.Expect(answer.Header().Get("Retry-After") != "").To(Equal(each.status == 503), "%+v", each)
			}
			time.Sleep(time.Minute)
		})
	}
}

// TestTheTenantTellsRequestsApart where requests that end servers are known by what they ask:
// the key does not stand in them any more.
func TestTheTenantTellsRequestsApart(t *testing.T) {
	g := NewWithT(t)
	dialect := keyedDialect()
	request := func(tenant string) exchange.Fingerprint {
		asked := exchange.Request{Method: "GET", Host: "h", Target: "/x", Header: http.Header{"Tenant": {tenant}}}
		return asked.Fingerprint(&dialect.Dialect)
	}
	g.Expect(request("desk")).To(Equal(request("desk")))
	g.Expect(request("desk")).NotTo(Equal(request("other")))
}
