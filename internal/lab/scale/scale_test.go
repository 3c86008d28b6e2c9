package scale

import (
	"bytes"
	"context"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestRunMeasuresEverySize runs the whole measurement in virtual time.
func TestRunMeasuresEverySize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		report, err := Run(context.Background(), Options{
			Sizes: []int{6, 12}, Zones: 2, Transport: TransportMemory, Templates: 3,
			Quiet: 10 * time.Second, Changes: 10 * time.Second, ChangeRate: 1, Kills: 1,
			Seed: 1, Logger: hclog.NewNullLogger(),
		})
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range report.Sizes {
			if m.Quiet.BytesPerSecond <= 0 || m.Quiet.MembershipBytesPerSecond <= 0 || m.Quiet.MessagesPerSecond <= 0 {
				t.Errorf("%d nodes: nothing was counted: %+v", m.Nodes, m.Quiet)
			}
			if m.Quiet.Removed+m.Changing.Removed > 0 {
				t.Errorf("%d nodes: members were removed without a kill", m.Nodes)
			}
			if m.Propagation.Count%m.Nodes != 0 || m.Propagation.Count == 0 || m.Propagation.Max > 12 {
				t.Errorf("%d nodes: propagation %+v", m.Nodes, m.Propagation)
			}
			if m.Removed.Count != m.ZoneNodes-1 || m.Removed.Max < m.Suspected.Max {
				t.Errorf("%d nodes: removal %+v after suspicion %+v", m.Nodes, m.Removed, m.Suspected)
			}
		}
		var table bytes.Buffer
		if err := report.WriteTable(&table); err != nil || !strings.Contains(table.String(), "at design") {
			t.Errorf("table: %v\n%s", err, table.String())
		}
	})
}

func TestFitLine(t *testing.T) {
	intercept, slope := fitLine([]float64{10, 20, 30}, []float64{25, 45, 65})
	if math.Abs(intercept-5) > 1e-9 || math.Abs(slope-2) > 1e-9 {
		t.Errorf("got %v + %v x, want 5 + 2 x", intercept, slope)
	}
	if intercept, slope := fitLine([]float64{10}, []float64{7}); intercept != 7 || slope != 0 {
		t.Errorf("one point: got %v + %v x", intercept, slope)
	}
}

func TestSummarize(t *testing.T) {
	if got := summarize(nil, 3); got.Missing != 3 || got.Count != 0 {
		t.Errorf("nothing measured: %+v", got)
	}
	got := summarize([]time.Duration{3 * time.Second, time.Second, 2 * time.Second}, 3)
	if got.Median != 2 || got.Max != 3 || got.Count != 3 {
		t.Errorf("got %+v", got)
	}
}
