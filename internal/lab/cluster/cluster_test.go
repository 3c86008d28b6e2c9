package cluster_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/examples"
	"github.com/bramblemast/bramblemast/internal/lab/cluster"
	"github.com/bramblemast/bramblemast/internal/lab/load"
	"github.com/bramblemast/bramblemast/internal/lab/oracle"
	"github.com/bramblemast/bramblemast/internal/lab/topology"
	"github.com/bramblemast/bramblemast/pkg/policy"
)

// answers counts exchanges on their way to the oracle.
type answers struct {
	oracle *oracle.Oracle

	mutex    sync.Mutex
	complete int // guarded by mutex
}

func (a *answers) Observe(exchange *load.Exchange) {
	a.oracle.Observe(exchange)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if exchange.Answer != nil && exchange.Answer.Coverage.Complete {
		a.complete++
	}
}

var _ = Describe("Cluster", func() {
	It("serves right answers at every node, and stops", func() {
		deployment := topology.Preset(topology.PresetValgsok)
		templates, err := examples.Templates(deployment.Name)
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		started, err := cluster.Start(ctx, cluster.Options{Deployment: deployment, Nodes: 3, Templates: templates})
		Expect(err).NotTo(HaveOccurred())
		observer := &answers{oracle: oracle.New(oracle.ExpectationsOf(deployment, templates))}
		_, err = load.Run(ctx, load.Options{
			Targets:  started.Targets(),
			Mix:      []load.TemplateLoad{{Tenant: "valgsok", Template: "full-tally", Queries: []string{"group3/"}}},
			Steps:    []load.Step{{Rate: 30, Duration: policy.Duration(500 * time.Millisecond)}},
			Arrivals: load.ArrivalsConstant,
			Observer: observer,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(observer.oracle.Findings().Violations).To(BeEmpty())
		Expect(observer.complete).To(BeNumerically(">=", 12))
		Expect(started.Close()).To(Succeed())
	})
})
