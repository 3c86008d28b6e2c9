package exchange_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/exchange"
)

// TestFingerprintIsTheSameForEachTry checks that all tries of a request have the same fingerprint,
// and that a request with another content has a different one.
func TestFingerprintIsTheSameForEachTry(t *testing.T) {
	g := NewWithT(t)
	dialect := &exchange.Dialect{Credential: "Name"}
	first := exchange.Request{
		Method: "POST", Host: "h", Target: "/a?b", ID: "1", Body: []byte("body"),
		Header: http.Header{"Authorization": {"one"}, "Traceparent": {"x"}},
	}
	again := first
	again.ID, again.Header = "2", http.Header{"Authorization": {"one"}, "Traceparent": {"y"}}
	g.Expect(again.Fingerprint(dialect)).To(Equal(first.Fingerprint(dialect)))
	parsed, ok := exchange.ParseFingerprint(first.Fingerprint(dialect).String())
	g.Expect(ok).To(BeTrue())
	g.Expect(parsed).To(Equal(first.Fingerprint(dialect)))
	_, ok = exchange.ParseFingerprint("00")
	g.Expect(ok).To(BeFalse())
	for name, change := range map[string]func(*exchange.Request){
		"method":      func(r *exchange.Request) { r.Method = "PUT" },
		"host":        func(r *exchange.Request) { r.Host = "other" },
		"target":      func(r *exchange.Request) { r.Target = "/a?c" },
		"body":        func(r *exchange.Request) { r.Body = []byte("bodY") },
		"credentials": func(r *exchange.Request) { r.Header = http.Header{"Authorization": {"two"}} },
		"own credentials": func(r *exchange.Request) {
			r.Header = http.Header{"Authorization": {"one"}, "Name": {"two"}}
		},
		"fields": func(r *exchange.Request) { r.Host, r.Target = "h/", "a?b" },
	} {
		other := first
		change(&other)
		g.Expect(other.Fingerprint(dialect)).NotTo(Equal(first.Fingerprint(dialect)), name)
	}
}
