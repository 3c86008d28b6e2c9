package quarantine_test

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/exchange/exchangetest"
	"github.com/bramblemast/bramblemast/pkg/fleet"
	"github.com/bramblemast/bramblemast/pkg/quarantine"
)

// An answer that comes at the same time as a crash must clear the request, whichever is recorded
// first. Since RecordAnswer skips the mutex while the guard is idle, it could miss a record that is
// just being added.
func TestAnAnswerAtTheMomentOfNewsClears(t *testing.T) {
	const rounds = 3000
	servers := []fleet.Incarnation{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	sources := map[string]func(*quarantine.Guard, exchange.Fingerprint, fleet.Incarnation){
		"owner": func(guard *quarantine.Guard, request exchange.Fingerprint, server fleet.Incarnation) {
			guard.RecordCrashes(request, []fleet.Incarnation{server}, time.Now())
		},
		"store": func(guard *quarantine.Guard, request exchange.Fingerprint, server fleet.Incarnation) {
			guard.ApplyNote(quarantine.Note{Fingerprint: request, Server: server}, false, time.Now())
		},
		"node": func(guard *quarantine.Guard, request exchange.Fingerprint, server fleet.Incarnation) {
			guard.ApplyUpdate(quarantine.Update{Note: quarantine.Note{Fingerprint: request, Server: server}, DetectedAt: time.Now()}, time.Now())
		},
	}
	for name, report := range sources {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			guard := quarantine.New(quarantine.Options{
				Ledger: &ledger{}, LedgerUnavailable: func() bool { return true }, Dialer: exchangetest.NewNetwork(), Events: &recorder{},
			})
			for round := range rounds {
				request := exchange.Fingerprint{byte(round), byte(round >> 8), 1}
				var both sync.WaitGroup
				both.Go(func() {
					for _, server := range servers {
						report(guard, request, server)
					}
				})
				both.Go(func() { guard.RecordAnswer(request, time.Now()) })
				both.Wait()
				g.Expect(guard.IsIdle()).To(BeTrue())
			}
		})
	}
}
