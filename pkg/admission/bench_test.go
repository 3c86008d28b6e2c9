package admission_test

import (
	"context"
	"testing"
	"time"

	"github.com/bramblemast/bramblemast/pkg/admission"
)

// BenchmarkAdmission is what one request costs at a gate that holds nothing
// back.
func BenchmarkAdmission(b *testing.B) {
	gate := admission.NewGate(admission.Options{StartLimit: 1000})
	ctx := context.Background()
	request := admission.Request{Tenant: "tally", Deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		ticket, err := gate.Acquire(ctx, request)
		if err != nil {
			b.Fatal(err)
		}
		ticket.Release(admission.Result{Latency: time.Millisecond})
	}
}
