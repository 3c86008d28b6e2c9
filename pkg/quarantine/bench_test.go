package quarantine_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/exchange/exchangetest"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
)

// BenchmarkAnAnsweredRequest measures what the quarantine adds to each answered request while no
// request is suspect.
func BenchmarkAnAnsweredRequest(b *testing.B) {
	guard := quarantine.New(quarantine.Options{})
	request := exchange.Request{
		Method: "GET", Host: "h.example", Target: "/tally/0123456789abcdef?page=2", Header: http.Header{"Accept": {"*/*"}},
	}
	b.ReportAllocs()
	for b.Loop() {
		guard.RecordAnswer(request.Fingerprint(&exchangetest.Dialect), time.Now())
	}
}
