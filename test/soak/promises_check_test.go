package soak

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/platform"
	"github.com/bramblemast/bramblemast/platform/platformtest"
)

func gathered(body string, missing string, marks ...string) platformtest.Answer {
	dialect := platform.Dialect()
	answer := platformtest.Answer{Status: 200, Header: http.Header{dialect.Parts: marks}, Body: body}
	if missing != "" {
		answer.Header.Set(dialect.MissingParts, missing)
	}
	return answer
}

// TestWrongAnswersAreFound: the checks of the soak find what they are for.
func TestWrongAnswersAreFound(t *testing.T) {
	g := NewWithT(t)
	named := func(id, service, text string) *server {
		return &server{Server: &platformtest.Server{ID: id, Service: service}, records: [][]byte{[]byte(text)}}
	}
	servers := map[string]*server{"a": named("a", "s0", "0000000000000001"), "a2": named("a2", "s0", "0000000000000001"), "b": named("b", "s1", "0000000000000002")}
	sets := [][]string{{"s0", "s1"}, {"n0", "n1", "n2"}}
	whole := "0000000000000002" + "0000000000000001"
	g.Expect(checkGathered("r", gathered(whole, "", "a.r.1", "b.r.1"), servers, sets)).To(Succeed())
	g.Expect(checkGathered("r", gathered(whole, "", "a.r.1, b.r.1"), servers, sets)).To(Succeed())
	g.Expect(checkGathered("r", gathered("0000000000000001", "1", "a.r.1"), servers, sets)).To(Succeed())
	for name, wrong := range map[string]platformtest.Answer{
		"another request's part": gathered(whole, "", "a.r.1", "b.other.1"),
		"a service twice":        gathered(whole, "", "a.r.1", "a2.r.1"),
		"an untold gap":          gathered("0000000000000001", "", "a.r.1"),
		"no set is that large":   gathered(whole, "5", "a.r.1", "b.r.1"),
		"a record too few":       gathered("0000000000000002", "", "a.r.1", "b.r.1"),
		"no part":                gathered("", "2"),
	} {
		g.Expect(checkGathered("r", wrong, servers, sets)).NotTo(Succeed(), name)
	}
	single := platformtest.Answer{Status: 200, Header: http.Header{platform.Dialect().Evidence: {"a.r.1"}}, Body: "answer of a"}
	g.Expect(checkSingle("r", single, servers)).To(Succeed())
	g.Expect(checkSingle("other", single, servers)).NotTo(Succeed())

	now := time.Now()
	g.Expect(checkOnce([]reply{{ID: "r", Status: 200}}, []arrival{{ID: "r"}})).To(BeEmpty())
	g.Expect(checkOnce([]reply{{ID: "r", Status: 200}}, []arrival{{ID: "r"}, {ID: "r"}})).To(HaveLen(1))
	g.Expect(checkOnce([]reply{{ID: "r", Status: 503}}, []arrival{{ID: "r"}})).To(HaveLen(1))
	later := []reply{
		{Node: "n", Path: "/version-3/", Status: 200, Sent: now, Ended: now.Add(time.Millisecond)},
		{Node: "n", Path: "/version-2/", Status: 404, Sent: now.Add(time.Second)},
	}
	g.Expect(checkNeverBack(later)).To(HaveLen(1))
	later[1].Life = 1
	g.Expect(checkNeverBack(later)).To(BeEmpty())

	var arrivals []arrival
	for range extraBound + 3 {
		arrivals = append(arrivals, arrival{ID: "r", Service: "s", At: now})
	}
	g.Expect(checkExtra("s", []time.Time{now}, arrivals[:extraBound])).To(BeEmpty())
	g.Expect(checkExtra("s", []time.Time{now}, arrivals)).To(HaveLen(1))

	noticed := newHistory()
	breaking := &injector{deployment: &deployment{history: noticed}}
	breaking.inject(fault{"instant", func(*injector, *rand.Rand) (string, func()) {
		g.Expect(noticed.calm(time.Now().Add(-time.Second), time.Now())).To(BeFalse(), "a fault is noted before it breaks anything")
		return "x", func() {}
	}}, 0, nil)

	noted := newHistory()
	end := noted.begin("something")
	g.Expect(noted.calm(time.Now().Add(-time.Second), time.Now())).To(BeFalse())
	end()
	g.Expect(noted.calm(time.Now().Add(time.Millisecond), time.Now().Add(time.Second))).To(BeTrue())
}

// TestLateRequestsToAnEvacuatedZoneAreFound, but not those within the bound, after the end,
// elsewhere, or while something was broken.
func TestLateRequestsToAnEvacuatedZoneAreFound(t *testing.T) {
	g := NewWithT(t)
	const bound = 5 * time.Second
	servers := map[string]*server{
		"in":  {Server: &platformtest.Server{ID: "in", Zone: evacuatedZone}},
		"out": {Server: &platformtest.Server{ID: "out", Zone: nodeZone}},
	}
	began := time.Now()
	history := newHistory()
	history.evacuations = []*interval{{Begin: began, End: began.Add(2 * bound)}}
	found := func(server string, after time.Duration) []string {
		return checkEvacuations(history, []arrival{{ID: "r", Server: server, At: began.Add(after)}}, servers, bound)
	}
	g.Expect(found("in", bound+time.Second)).To(HaveLen(1))
	g.Expect(found("in", bound)).To(BeEmpty())
	g.Expect(found("in", 2*bound+time.Millisecond)).To(BeEmpty())
	g.Expect(found("out", bound+time.Second)).To(BeEmpty())
	history.past = []interval{{Begin: began.Add(-time.Second), End: began}}
	g.Expect(found("in", bound+time.Second)).To(BeEmpty())
}
