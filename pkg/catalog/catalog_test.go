package catalog

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/machinelist"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/target"
)

var _ = Describe("Catalog", func() {
	var (
		now  *clock
		c    *Catalog
		list machinelist.List
		sent []Update
	)
	const servers = 8

	BeforeEach(func() {
		now, list, sent = newClock(), listOf(servers), nil
		c = New(Options{
			Node: "node", Zone: "zone", Region: "east", Now: now.Now,
			OnUpdate: func(update Update) { sent = append(sent, update) },
		})
		c.ReplaceMachines(list)
		for number := range servers {
			c.ReportProbe(serverID(number), now.now, statusOf(number, "first", false, 1), nil)
		}
		sent = nil
	})

	server := func(number int) *Server { return serverOf(c.View(testService), serverID(number)) }
	stateOf := func(number int) State { return server(number).State }
	probe := func(number int, status *backend.Status) {
		c.ReportProbe(serverID(number), now.now, status, nil)
	}
	failProbes := func(number int) {
		for range DefaultProbeFailures {
			c.ReportProbe(serverID(number), now.now, nil, errTest)
		}
	}
	fail := func(number int) {
		for range DefaultConsecutiveFailures {
			c.ReportResult(serverID(number), lostConnection(serverID(number)))
		}
	}
	advanceAndRefresh := func(by time.Duration) {
		now.advance(by)
		c.Refresh()
	}

	Describe("a server that fails", func() {
		It("is ejected after consecutive failures, longer each time", func() {
			for _, length := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second} {
				fail(0)
				Expect(stateOf(0)).To(Equal(Ejected))
				advanceAndRefresh(length - time.Millisecond)
				Expect(stateOf(0)).To(Equal(Ejected))
				advanceAndRefresh(time.Millisecond)
				Expect(stateOf(0)).To(Equal(Active))
			}
		})

		It("is ejected for its share of failures, also between successes", func() {
			for range 40 {
				c.ReportResult(serverID(0), nil)
				c.ReportResult(serverID(0), lostConnection(serverID(0)))
			}
			advanceAndRefresh(time.Second)
			Expect(stateOf(0)).To(Equal(Ejected))
		})

		It("stays if half of the replicas of its part are ejected", func() {
			for number := range servers {
				fail(number)
			}
			ejected := 0
			for number := range servers {
				if stateOf(number) == Ejected {
					ejected++
				}
			}
			Expect(ejected).To(Equal(servers / 2))
		})

		DescribeTable("is ejected only for errors that count against it",
			func(err error, want State) {
				for range DefaultConsecutiveFailures {
					c.ReportResult(serverID(0), err)
				}
				Expect(stateOf(0)).To(Equal(want))
			},
			Entry("shed", &outcome.Error{Outcome: outcome.NotRun, Reason: outcome.ReasonShed}, Active),
			Entry("cancelled", &outcome.Error{Reason: outcome.ReasonCancelled}, Active),
			Entry("deadline before sending", &outcome.Error{Outcome: outcome.NotRun, Reason: outcome.ReasonDeadline}, Active),
			Entry("deadline after sending", &outcome.Error{Reason: outcome.ReasonDeadline}, Ejected),
			Entry("corrupt", &outcome.Error{Reason: outcome.ReasonCorruptResponse}, Ejected),
			Entry("draining", &outcome.Error{Outcome: outcome.NotRun, Reason: outcome.ReasonDraining}, Leaving),
			Entry("untyped", errors.New("x"), Active),
		)
	})

	Describe("a server that does not answer probes", func() {
		It("is ejected and announced as dead, once", func() {
			failProbes(0)
			failProbes(0)
			Expect(stateOf(0)).To(Equal(Ejected))
			Expect(sent).To(HaveLen(1))
			Expect(sent[0].Kind).To(Equal(KindDead))
		})

		It("is not ejected while it answers sub-requests", func() {
			c.ReportResult(serverID(0), nil)
			advanceAndRefresh(time.Millisecond)
			failProbes(0)
			Expect(stateOf(0)).To(Equal(Active))
			Expect(sent).To(BeEmpty())
			advanceAndRefresh(DefaultAnswerFreshness)
			Expect(stateOf(0)).To(Equal(Ejected))
		})

		It("is announced less often each time another node refutes it", func() {
			announced := 0
			for range 60 {
				advanceAndRefresh(time.Second)
				c.ReportProbe(serverID(0), now.now, nil, errTest)
				announced += len(sent)
				for _, update := range sent {
					update.Instance.Liveness++
					c.Apply(update)
				}
				sent = nil
			}
			Expect(announced).To(BeNumerically("<=", 5))
		})
	})

	Describe("a server that is missing from the machine list", func() {
		It("is kept while it answers probes, up to a time limit", func() {
			c.ReplaceMachines(list[1:])
			for passed := time.Duration(0); passed < DefaultUnlistedTimeout-time.Second; passed += time.Minute {
				advanceAndRefresh(time.Minute - time.Second)
				probe(0, statusOf(0, "first", false, 1))
				Expect(server(0)).NotTo(BeNil())
			}
			advanceAndRefresh(time.Minute)
			Expect(server(0)).To(BeNil())
		})

		It("is removed early if it is silent, and returns when it is listed again", func() {
			c.ReplaceMachines(list[1:])
			failProbes(0)
			Expect(server(0)).NotTo(BeNil())
			advanceAndRefresh(DefaultUnlistedSilentTimeout)
			Expect(server(0)).To(BeNil())
			c.ReplaceMachines(list)
			Expect(server(0)).NotTo(BeNil())
		})

		It("can be reported by changes to the list", func() {
			c.ApplyMachines(nil, []target.ServerID{serverID(0), "10.9.9.9:1"})
			failProbes(0)
			advanceAndRefresh(DefaultUnlistedSilentTimeout)
			Expect(server(0)).To(BeNil())
			list[1].State = machinelist.Leaving
			c.ApplyMachines(list[:2], nil)
			Expect(server(0)).NotTo(BeNil())
			Expect(server(1).State).To(Equal(Leaving))
			list[1].State = machinelist.Live
			c.ApplyMachines(list[1:2], nil)
			Expect(server(1).State).To(Equal(Leaving))
			probe(1, statusOf(1, "first", false, 1))
			Expect(server(1).State).To(Equal(Active))
		})

		It("is forgotten after the retention time", func() {
			c.ReplaceMachines(list[1:])
			advanceAndRefresh(DefaultUnlistedTimeout + DefaultRetention)
			Expect(errors.Is(c.Drain(serverID(0), true, "author"), ErrUnknownServer)).To(BeTrue())
		})
	})

	Describe("a server that starts", func() {
		It("gets a weight that grows with its uptime", func() {
			status := statusOf(0, "second", false, 1)
			status.Uptime = DefaultWarmUp / 4
			advanceAndRefresh(status.Uptime)
			probe(0, status)
			Expect(server(0).Weight).To(BeNumerically("~", 0.25, 0.01))
			advanceAndRefresh(DefaultWarmUp / 2)
			Expect(server(0).Weight).To(BeNumerically("~", 0.75, 0.01))
			advanceAndRefresh(DefaultWarmUp / 4)
			Expect(server(0).Weight).To(Equal(1.0))
		})

		It("warms up when its instance is new, whatever uptime it reports", func() {
			advanceAndRefresh(time.Second)
			probe(0, statusOf(0, "second", false, 1))
			Expect(server(0).Weight).To(BeNumerically("<", 0.1))
		})

		It("is ejected until it is ready", func() {
			status := statusOf(0, "second", false, 1)
			status.Ready = false
			probe(0, status)
			Expect(stateOf(0)).To(Equal(Ejected))
			probe(0, statusOf(0, "second", false, 1))
			Expect(stateOf(0)).To(Equal(Active))
		})
	})

	It("does not let a late answer from an old instance drain the new one", func() {
		c.ReportHints(serverID(0), backend.Hints{Draining: true, Instance: "first"})
		probe(0, statusOf(0, "second", false, 1))
		c.ReportResult(serverID(0), &outcome.Error{Outcome: outcome.NotRun, Reason: outcome.ReasonDraining})
		Expect(stateOf(0)).To(Equal(Active))
	})

	It("does not let a late hint from an old instance drain the new one", func() {
		probe(0, statusOf(0, "second", false, 1))
		c.ReportHints(serverID(0), backend.Hints{Draining: true, Instance: "first"})
		Expect(stateOf(0)).To(Equal(Active))
	})

	It("ignores a probe that was sent before the instance changed", func() {
		sentAt := now.now
		advanceAndRefresh(time.Second)
		probe(0, statusOf(0, "second", false, 1))
		c.ReportProbe(serverID(0), sentAt, statusOf(0, "first", true, 1), nil)
		Expect(stateOf(0)).To(Equal(Active))
	})

	It("requests one probe when an answer mentions a newer version", func() {
		c.takeRequestedProbes()
		c.ReportHints(serverID(0), backend.Hints{Load: -1, NewestVersion: 2})
		advanceAndRefresh(2 * time.Second)
		Expect(c.takeRequestedProbes()).To(ConsistOf(requestedProbe{server: serverID(0)}))
		Expect(c.takeRequestedProbes()).To(BeEmpty())
	})

	It("rejects a status that other nodes would not accept", func() {
		status := statusOf(0, "second", false, 1)
		status.Indexes = append(status.Indexes, status.Indexes[0])
		probe(0, status)
		Expect(sent).To(BeEmpty())
	})

	It("shows servers that join, move to another service, or are forgotten", func() {
		Expect(server(servers)).To(BeNil())
		list = listOf(servers + 1)
		c.ReplaceMachines(list)
		Expect(server(servers)).NotTo(BeNil())
		list[0].Service = "other"
		c.ReplaceMachines(list)
		Expect(server(0)).To(BeNil())
		Expect(c.View("other").Servers).To(HaveLen(1))
		Expect(c.Services()).To(Equal([]target.Service{"other", testService}))
		c.ReplaceMachines(list[:servers])
		advanceAndRefresh(DefaultUnlistedTimeout + DefaultRetention)
		Expect(server(servers)).To(BeNil())
		Expect(c.View("nothing")).To(BeNil())
	})

	It("computes zone distances, and returns all parts with their replicas", func() {
		list[0].Zone, list[0].Region = "other", "east"
		list[1].Zone, list[1].Region = "far", "west"
		c.ReplaceMachines(list)
		Expect(server(0).ZoneDistance).To(Equal(1))
		Expect(server(1).ZoneDistance).To(Equal(2))
		parts := c.Parts()
		Expect(parts).To(HaveLen(2))
		Expect(parts[0].Replicas).To(HaveLen(servers / 2))
		Expect(c.Reports()).To(HaveLen(servers))
	})
})

func BenchmarkReportHintsAndResult(b *testing.B) {
	c := New(Options{Node: "node", Zone: "zone"})
	c.ReplaceMachines(listOf(200))
	hints := backend.Hints{Load: 0.5, NewestVersion: 1}
	for number := range 200 {
		c.ReportProbe(serverID(number), time.Now(), statusOf(number, "i", false, 1), nil)
	}
	servers := make([]target.ServerID, 0, 200)
	for number := range 200 {
		servers = append(servers, serverID(number))
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for index := 0; pb.Next(); index++ {
			c.ReportHints(servers[index%200], hints)
			c.ReportResult(servers[index%200], nil)
		}
	})
}

func BenchmarkRebuildView(b *testing.B) {
	const servers = 10_000
	c := New(Options{Node: "node", Zone: "zone"})
	c.ReplaceMachines(listOf(servers))
	for number := range servers {
		c.ReportProbe(serverID(number), time.Now(), statusOf(number, "i", false, 1), nil)
	}
	state := (*c.services.Load())[testService]
	b.ReportAllocs()
	for b.Loop() {
		c.build(state, time.Now())
	}
}
