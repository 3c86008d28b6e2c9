package backend_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standin "github.com/bramblemast/bramblemast/internal/lab/standin/backend"
	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
	"github.com/bramblemast/bramblemast/internal/lab/topology"
	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/backend/httpbackend"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// The node's own client must read what the stand-in does as the reference of
// the exchange says.
var _ = Describe("The node's client against a server", func() {
	var (
		server *standin.Server
		client *httpbackend.Client
	)

	BeforeEach(func() {
		service := topology.Service{
			Name: "test", Groups: 2, ServersPerGroup: 1, Slots: 1, Queue: 0, Connections: 10,
			Records: 200, Retention: 1,
		}
		deployment := topology.Preset(topology.PresetValgsok)
		fleet := standin.NewFleet(standin.FleetConfig{Service: service, Plans: deployment.PlanService(&service), Seed: 1})
		Expect(fleet.Start()).To(Succeed())
		client = httpbackend.New(httpbackend.Options{})
		server = fleet.Servers()[0]
		DeferCleanup(func() {
			client.Close()
			fleet.Stop()
		})
	})
	do := func(ctx context.Context, version target.Version) (*backend.Response, error) {
		return client.Do(ctx, &backend.Request{
			Target:    target.Target{Service: "test", Range: left, Server: server.Address(), Version: version},
			RequestID: "request", Attempt: 1, Query: "group1",
		})
	}

	It("gets a whole answer and a status", func() {
		answered, err := do(context.Background(), standin.FirstVersion)
		Expect(err).NotTo(HaveOccurred())
		Expect(answered.Range).To(Equal(left))
		Expect(answered.Hints.NewestVersion).To(Equal(standin.FirstVersion))
		status, err := client.Probe(context.Background(), server.Address())
		Expect(err).NotTo(HaveOccurred())
		Expect(status.Ready).To(BeTrue())
		Expect(status.Indexes[0].Shards).To(Equal([]backend.Shard{{Group: "group0", Range: left}}))
	})

	DescribeTable("sees faults for what they are",
		func(faults labapi.Faults, version target.Version, known outcome.Outcome, reason outcome.Reason) {
			server.SetFaults(faults)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			_, err := do(ctx, version)
			Expect(err).To(HaveOccurred())
			Expect(outcome.Of(err)).To(Equal(known))
			Expect(outcome.ReasonOf(err)).To(Equal(reason))
		},
		Entry("shed", labapi.Faults{ShedShare: 1}, standin.FirstVersion, outcome.NotRun, outcome.ReasonShed),
		Entry("version gone", labapi.Faults{}, target.Version(9), outcome.NotRun, outcome.ReasonVersionGone),
		Entry("changed body", labapi.Faults{CorruptShare: 1}, standin.FirstVersion, outcome.Unknown, outcome.ReasonCorruptResponse),
		Entry("wrong id", labapi.Faults{WrongIDShare: 1}, standin.FirstVersion, outcome.Unknown, outcome.ReasonCorruptResponse),
		Entry("lost answer", labapi.Faults{ResetShare: 1}, standin.FirstVersion, outcome.Unknown, outcome.ReasonConnectionLost),
		Entry("error", labapi.Faults{ErrorShare: 1}, standin.FirstVersion, outcome.Unknown, outcome.ReasonBackendError),
	)
})
