package backend_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standin "github.com/bramblemast/bramblemast/internal/lab/standin/backend"
	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
	"github.com/bramblemast/bramblemast/internal/lab/topology"
	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/backend/backendpb"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
)

// asked is one sub-request of a spec.
type asked struct {
	id       string
	version  int
	within   keyspace.Range
	deadline string
	message  *backendpb.SubQuery
}

// answer is what came back.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (a answer) notRun() string { return a.header.Get(backend.HeaderNotRun) }

func (a answer) sound() bool {
	return a.header.Get(backend.HeaderChecksum) == fmt.Sprintf("%016x", xxhash.Sum64(a.body))
}

var _ = Describe("Server", func() {
	var (
		service topology.Service
		fleet   *standin.Fleet
		client  *http.Client
	)

	BeforeEach(func() {
		service = topology.Service{
			Name: "test", Groups: 2, ServersPerGroup: 4, Slots: 1, Queue: 1, Connections: 10,
			Records: 200, Retention: 2,
		}
		client = &http.Client{Transport: &http.Transport{}}
		DeferCleanup(func() { client.CloseIdleConnections() })
	})
	start := func() *standin.Server {
		GinkgoHelper()
		deployment := topology.Preset(topology.PresetValgsok)
		fleet = standin.NewFleet(standin.FleetConfig{Service: service, Plans: deployment.PlanService(&service), Seed: 1})
		Expect(fleet.Start()).To(Succeed())
		DeferCleanup(fleet.Stop)
		return fleet.Servers()[0]
	}
	sendWith := func(ctx context.Context, server *standin.Server, query asked) (answer, error) {
		content, err := query.message.MarshalVT()
		if err != nil {
			return answer{}, err
		}
		url := "http://" + string(server.Address()) + backend.QueryPath
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(content))
		if err != nil {
			return answer{}, err
		}
		request.Header.Set(backend.HeaderRequestID, query.id+"/1")
		request.Header.Set(backend.HeaderVersion, fmt.Sprint(max(query.version, 1)))
		request.Header.Set(backend.HeaderRange, query.within.String())
		request.Header.Set(backend.HeaderDeadline, query.deadline)
		response, err := client.Do(request)
		if err != nil {
			return answer{}, err
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		return answer{status: response.StatusCode, header: response.Header, body: body}, err
	}
	send := func(server *standin.Server, query asked) answer {
		GinkgoHelper()
		answered, err := sendWith(context.Background(), server, query)
		Expect(err).NotTo(HaveOccurred())
		return answered
	}
	// occupy keeps the slot of the server busy until the returned function is
	// called.
	occupy := func(server *standin.Server, id string) context.CancelFunc {
		ctx, cancel := context.WithCancel(context.Background())
		before := server.Info()
		go func() {
			defer GinkgoRecover()
			_, _ = sendWith(ctx, server, asked{id: id, within: left})
		}()
		Eventually(func() int { info := server.Info(); return info.InFlight + info.Queued }).
			Should(Equal(before.InFlight + before.Queued + 1))
		return cancel
	}
	outcomes := func(server *standin.Server, id string) []string {
		var found []string
		for _, execution := range server.Executions(labapi.ExecutionsQuery{RequestID: id}) {
			found = append(found, string(execution.Outcome)+" "+execution.Reason)
		}
		return found
	}

	It("answers as the dataset says", func() {
		server := start()
		answered := send(server, asked{id: "a", within: left, message: &backendpb.SubQuery{Query: "group3", Limit: 4}})
		Expect(answered.status).To(Equal(http.StatusOK))
		Expect(answered.sound()).To(BeTrue())
		var result backendpb.SubResult
		Expect(result.UnmarshalVT(answered.body)).To(Succeed())
		want := fleet.Data().Evaluate(1, "group3", []keyspace.Range{left}, 4)
		Expect(result.Matches).To(Equal(want.Matches))
		Expect(result.ScoreSum).To(Equal(want.ScoreSum))
		Expect(result.Records).To(HaveLen(len(want.Records)))
	})

	It("runs as many as it has slots, queues as many as it may, and sheds the rest", func() {
		service.ServiceTime.Median = topology.Duration(time.Hour)
		server := start()
		releaseFirst := occupy(server, "first")
		releaseSecond := occupy(server, "second")
		shed := send(server, asked{id: "third", within: left})
		Expect(shed.notRun()).To(Equal("shed"))
		Expect(shed.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(outcomes(server, "third")).To(Equal([]string{"refused shed"}))

		releaseSecond()
		Eventually(func() []string { return outcomes(server, "second") }).Should(Equal([]string{"refused cancelled"}))
		releaseFirst()
		Eventually(func() []string { return outcomes(server, "first") }).Should(Equal([]string{"aborted cancelled"}))
		Eventually(func() int { return server.Info().InFlight }).Should(BeZero())
	})

	It("refuses an expired deadline, one that expires in the queue, and aborts a running one", func() {
		service.ServiceTime.Median = topology.Duration(time.Hour)
		server := start()
		Expect(send(server, asked{id: "expired", within: left, deadline: "0"}).notRun()).To(Equal("deadline"))
		running := send(server, asked{id: "running", within: left, deadline: "20000"})
		Expect(running.status).To(Equal(http.StatusGatewayTimeout))
		Expect(running.notRun()).To(BeEmpty())
		Expect(outcomes(server, "running")).To(Equal([]string{"aborted deadline"}))
		defer occupy(server, "busy")()
		Expect(send(server, asked{id: "queued", within: left, deadline: "20000"}).notRun()).To(Equal("deadline"))
	})

	It("closes connections over its limit", func() {
		service.Connections = 1
		server := start()
		first, err := net.Dial("tcp", string(server.Address()))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return server.Info().Connections }).Should(Equal(1))
		second, err := net.Dial("tcp", string(server.Address()))
		Expect(err).NotTo(HaveOccurred())
		_, err = second.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		Expect(server.Info().Counters.ConnectionsRefused).To(BeEquivalentTo(1))
		Expect(first.Close()).To(Succeed())
		Expect(second.Close()).To(Succeed())
	})

	It("keeps as many versions as its retention and refuses the others", func() {
		server := start()
		for range 2 {
			_, err := fleet.Publish(0, 0)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(send(server, asked{id: "old", version: 1, within: left}).notRun()).To(Equal("version_gone"))
		kept := send(server, asked{id: "kept", version: 2, within: left})
		Expect(kept.header.Get(backend.HeaderVersion)).To(Equal("2"))
		Expect(kept.header.Get(backend.HeaderNewestVersion)).To(Equal("3"))
		_, err := fleet.Publish(3, 0)
		Expect(err).To(HaveOccurred())
	})

	It("splits and merges shards, and answers only for ranges inside one that it holds", func() {
		server := start()
		quarter := keyspace.Range{Start: 0, End: left.End / 2}
		Expect(send(server, asked{id: "sub", within: quarter}).status).To(Equal(http.StatusOK))
		Expect(send(server, asked{id: "wide", within: keyspace.Full}).notRun()).To(Equal("range_not_held"))

		shards, err := fleet.Split(labapi.SplitRequest{Group: "group0", Separate: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(shards).To(HaveLen(3))
		Expect(send(server, asked{id: "parent", within: left}).notRun()).To(Equal("range_not_held"))
		Expect(send(server, asked{id: "child", within: quarter}).status).To(Equal(http.StatusOK))
		other := keyspace.Range{Start: quarter.End, End: left.End}
		Expect(send(server, asked{id: "sibling", within: other}).notRun()).To(Equal("range_not_held"))
		Expect(send(fleet.Servers()[1], asked{id: "sibling", within: other}).status).To(Equal(http.StatusOK))

		_, err = fleet.Merge(labapi.MergeRequest{Left: "group0-a", Right: "group1"})
		Expect(err).To(HaveOccurred())
		_, err = fleet.Merge(labapi.MergeRequest{Left: "group0-a", Right: "group0-b"})
		Expect(err).NotTo(HaveOccurred())
		Expect(send(server, asked{id: "whole", within: left}).status).To(Equal(http.StatusOK))
	})

	It("keeps the old shard beside its parts for the overlap of a split", func() {
		server := start()
		_, err := fleet.Split(labapi.SplitRequest{Group: "group0", Separate: true, OverlapMS: 1000})
		Expect(err).NotTo(HaveOccurred())
		Expect(send(server, asked{id: "parent", within: left}).status).To(Equal(http.StatusOK))
		_, err = fleet.Publish(0, 0)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() string { return send(server, asked{id: "late", version: 2, within: left}).notRun() }).
			WithTimeout(10 * time.Second).Should(Equal("range_not_held"))
		child := keyspace.Range{Start: 0, End: left.End / 2}
		Expect(send(server, asked{id: "child", version: 2, within: child}).status).To(Equal(http.StatusOK))
	})

	It("drains: says so, refuses new work after the grace, finishes what runs, and stops", func() {
		service.ServiceTime.Median = topology.Duration(200 * time.Millisecond)
		server := start()
		running := make(chan answer, 1)
		go func() {
			defer GinkgoRecover()
			running <- send(server, asked{id: "running", within: left})
		}()
		Eventually(func() int { return server.Info().InFlight }).Should(Equal(1))
		server.Drain(0, true)
		var finished answer
		Eventually(running).Should(Receive(&finished))
		Expect(finished.status).To(Equal(http.StatusOK))
		Eventually(func() bool { return server.Info().Running }).Should(BeFalse())

		Expect(server.Start()).To(Succeed())
		server.Drain(time.Hour, false)
		inGrace := send(server, asked{id: "in grace", within: left})
		Expect(inGrace.status).To(Equal(http.StatusOK))
		Expect(inGrace.header.Get(backend.HeaderDraining)).To(Equal("true"))
		server.Drain(0, false)
		Expect(send(server, asked{id: "after", within: left}).notRun()).To(Equal("draining"))
		server.Undrain()
		Expect(send(server, asked{id: "back", within: left}).status).To(Equal(http.StatusOK))
	})

	It("runs a not-repeatable request each time it is received, and logs each", func() {
		server := start()
		order := asked{within: left, message: &backendpb.SubQuery{Payload: []byte("tint"), IdempotencyKey: "order-1"}}
		for attempt := 1; attempt <= 2; attempt++ {
			order.id = fmt.Sprint(attempt)
			var result backendpb.SubResult
			Expect(result.UnmarshalVT(send(server, order).body)).To(Succeed())
			Expect(result.Records[0].Score).To(BeEquivalentTo(attempt))
		}
		Expect(server.Executions(labapi.ExecutionsQuery{IdempotencyKey: "order-1"})).To(HaveLen(2))
	})

	DescribeTable("wrong answers on demand",
		func(faults labapi.Faults, check func(answered answer, err error)) {
			server := start()
			server.SetFaults(faults)
			answered, err := sendWith(context.Background(), server, asked{id: "a", within: left})
			check(answered, err)
			Expect(outcomes(server, "a")).To(Equal([]string{"completed "}))
		},
		Entry("a cut body", labapi.Faults{TruncateShare: 1}, func(answered answer, err error) {
			Expect(err != nil || !answered.sound()).To(BeTrue())
		}),
		Entry("a changed body", labapi.Faults{CorruptShare: 1}, func(answered answer, err error) {
			Expect(err).NotTo(HaveOccurred())
			Expect(answered.sound()).To(BeFalse())
		}),
		Entry("another request's id", labapi.Faults{WrongIDShare: 1}, func(answered answer, err error) {
			Expect(answered.header.Get(backend.HeaderRequestID)).NotTo(Equal("a/1"))
		}),
		Entry("another version", labapi.Faults{WrongVersionShare: 1}, func(answered answer, err error) {
			Expect(answered.header.Get(backend.HeaderVersion)).To(Equal("2"))
		}),
		Entry("a part of the range", labapi.Faults{WrongRangeShare: 1}, func(answered answer, err error) {
			Expect(answered.header.Get(backend.HeaderRange)).To(Equal("0-16384"))
		}),
		Entry("no answer", labapi.Faults{ResetShare: 1}, func(answered answer, err error) {
			Expect(err).To(HaveOccurred())
		}),
		Entry("an error", labapi.Faults{ErrorShare: 1}, func(answered answer, err error) {
			Expect(answered.status).To(Equal(http.StatusInternalServerError))
			Expect(answered.notRun()).To(BeEmpty())
		}),
	)

	It("reports load with a bias, and drain and readiness with a lag", func() {
		service.ColdStart.NotReady = topology.Duration(time.Hour)
		server := start()
		probe := func() backend.Status {
			GinkgoHelper()
			response, err := client.Get("http://" + string(server.Address()) + backend.StatusPath)
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			var document backend.StatusDocument
			Expect(json.NewDecoder(response.Body).Decode(&document)).To(Succeed())
			status, err := document.Status()
			Expect(err).NotTo(HaveOccurred())
			return *status
		}
		Expect(probe().Ready).To(BeFalse())
		server.SetFaults(labapi.Faults{LoadBias: 0.7, ReportLagMS: time.Hour.Milliseconds()})
		server.Drain(0, false)
		Expect(probe().Load).To(BeNumerically("~", 0.7))
		Expect(probe().Draining).To(BeFalse())
		server.SetFaults(labapi.Faults{})
		Expect(probe().Draining).To(BeTrue())
	})

	It("comes back at its address as a new instance after a stop", func() {
		server := start()
		address := server.Address()
		server.Stop()
		_, err := sendWith(context.Background(), server, asked{id: "down", within: left})
		Expect(err).To(HaveOccurred())
		Expect(server.Start()).To(Succeed())
		Expect(server.Address()).To(Equal(address))
		Expect(send(server, asked{id: "up", within: left}).status).To(Equal(http.StatusOK))
	})
})

// left is the range of the first group of the specs' service.
var left = keyspace.Range{Start: 0, End: keyspace.Size / 2}
