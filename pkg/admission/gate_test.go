package admission_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/bramblemast/bramblemast/pkg/admission"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/policy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// withoutDeadline hides Deadline, which may not be asked in virtual time.
type withoutDeadline struct{ testing.TB }

// service is no multiple of the interval at which the gate renews predictions.
const service = 11 * time.Millisecond

// single returns a gate that runs one request at a time and knows how long one
// takes.
func single(g *WithT, options admission.Options) *admission.Gate {
	options.StartLimit, options.MaxLimit = 1, 1
	gate := admission.NewGate(options)
	ticket, err := gate.Acquire(context.Background(), admission.Request{})
	g.Expect(err).NotTo(HaveOccurred())
	ticket.Release(admission.Result{Latency: service})
	return gate
}

// answers collects what became of requests, in order.
type answers struct {
	mutex sync.Mutex
	group sync.WaitGroup
	names []string
	errs  []error
}

// ask sends a request that is served in the usual time if it is admitted, and
// returns when it was admitted, refused or queued.
func (a *answers) ask(ctx context.Context, gate *admission.Gate, name string, request admission.Request) {
	a.group.Go(func() {
		ticket, err := gate.Acquire(ctx, request)
		a.mutex.Lock()
		a.names = append(a.names, name)
		a.errs = append(a.errs, err)
		a.mutex.Unlock()
		if err == nil {
			time.Sleep(service)
			ticket.Release(admission.Result{Latency: service})
		}
	})
	synctest.Wait()
}

// soFar returns the names of the answered requests.
func (a *answers) soFar() []string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return slices.Clone(a.names)
}

// errors returns the refusals, nil for admitted requests, as of now.
func (a *answers) errors() []error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return slices.Clone(a.errs)
}

func (a *answers) wait() []string {
	a.group.Wait()
	return a.soFar()
}

func retryAfterOf(err error) time.Duration {
	var refused *outcome.Error
	errors.As(err, &refused)
	return refused.RetryAfter
}

func bounded(maxQueued int) policy.AdmissionPolicy {
	spec := policy.AdmissionSpec{Policy: policy.AdmissionBoundedQueue, MaxQueued: maxQueued}
	set, err := policy.Build(policy.Spec{Admission: spec})
	if err != nil {
		panic(err)
	}
	return set.Admission
}

func requireRefusal(g *WithT, err error, reason outcome.Reason) {
	g.Expect(outcome.Of(err)).To(Equal(outcome.NotRun))
	g.Expect(outcome.ReasonOf(err)).To(Equal(reason))
	if reason == outcome.ReasonOverloaded {
		g.Expect(retryAfterOf(err)).To(BeNumerically(">", 0))
	}
}

func TestClassesAndTenantsInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := single(g, admission.Options{})
		var got answers
		got.ask(t.Context(), gate, "running", admission.Request{Class: policy.ClassArchive})
		for _, asked := range []struct {
			name, tenant string
			class        policy.Class
		}{
			{"archive", "a", policy.ClassArchive},
			{"reader a1", "a", policy.ClassInteractive},
			{"reader a2", "a", policy.ClassInteractive},
			{"reader b1", "b", policy.ClassInteractive},
			{"ticker", "a", policy.ClassTicker},
		} {
			got.ask(t.Context(), gate, asked.name, admission.Request{Tenant: asked.tenant, Class: asked.class})
		}
		g.Expect(gate.Observe().QueuedByClass).To(HaveKeyWithValue(policy.ClassInteractive, 3))
		g.Expect(got.wait()).To(Equal([]string{"running", "ticker", "reader a1", "reader b1", "reader a2", "archive"}))
		g.Expect(gate.Observe().InFlight + gate.Observe().Queued).To(BeZero())
	})
}

func TestRefusedAtOnceIfTheWaitIsTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := single(g, admission.Options{})
		var got answers
		deadline := time.Now().Add(3*service + service/2 - time.Millisecond)
		began := time.Now()
		for number := range 4 {
			got.ask(t.Context(), gate, fmt.Sprint(number), admission.Request{Deadline: deadline})
		}
		g.Expect(time.Since(began)).To(BeZero())
		g.Expect(got.soFar()).To(Equal([]string{"0", "3"}), "one runs, two fit into the deadline, one does not")
		requireRefusal(g, got.errors()[1], outcome.ReasonOverloaded)
		g.Expect(retryAfterOf(got.errors()[1])).To(BeNumerically("~", 3*service, time.Microsecond), "when those ahead have been served")
		g.Expect(got.wait()).To(Equal([]string{"0", "3", "1", "2"}))
	})
}

// TestNotHeldBackWhenTheDrainStops shows that waiting requests are refused long
// before their deadline once nothing finishes any more.
func TestNotHeldBackWhenTheDrainStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := single(g, admission.Options{})
		stuck, err := gate.Acquire(t.Context(), admission.Request{})
		g.Expect(err).NotTo(HaveOccurred())
		var got answers
		began := time.Now()
		const patience = 10 * service
		for number := range 8 {
			got.ask(t.Context(), gate, fmt.Sprint(number), admission.Request{Deadline: began.Add(patience)})
		}
		got.wait()
		g.Expect(time.Since(began)).To(BeNumerically("<=", patience-service))
		for _, err := range got.errors() {
			requireRefusal(g, err, outcome.ReasonOverloaded)
		}
		g.Expect(gate.Observe().Queued).To(BeZero())
		stuck.Release(admission.Result{Latency: time.Second})
	})
}

func TestCallerThatGoesLeavesTheQueueAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := single(g, admission.Options{})
		var got answers
		got.ask(t.Context(), gate, "running", admission.Request{})
		ctx, cancel := context.WithCancel(t.Context())
		got.ask(ctx, gate, "gone", admission.Request{})
		g.Expect(gate.Observe().Queued).To(Equal(1))
		began := time.Now()
		cancel()
		synctest.Wait()
		g.Expect(time.Since(began)).To(BeZero())
		g.Expect(gate.Observe().Queued).To(BeZero())
		requireRefusal(g, got.errors()[1], outcome.ReasonCancelled)
		got.wait()
	})
}

// TestPlaceOfACallerThatGoesIsNotLost admits a request whose caller has just
// gone and has not left the queue yet, many times.
func TestPlaceOfACallerThatGoesIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := single(g, admission.Options{})
		for range 100 {
			held, err := gate.Acquire(t.Context(), admission.Request{})
			g.Expect(err).NotTo(HaveOccurred())
			ctx, cancel := context.WithCancel(t.Context())
			var got answers
			got.ask(ctx, gate, "going", admission.Request{})
			cancel()
			held.Release(admission.Result{Latency: service})
			got.wait()
			g.Expect(gate.Observe().InFlight).To(BeZero())
		}
	})
}

func TestFullQueueGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := single(g, admission.Options{MaxQueued: 2})
		var got answers
		ask := func(name, tenant string, class policy.Class) {
			got.ask(t.Context(), gate, name, admission.Request{Tenant: tenant, Class: class, Policy: bounded(10)})
		}
		ask("running", "a", policy.ClassInteractive)
		ask("archive", "a", policy.ClassArchive)
		ask("a1", "a", policy.ClassInteractive)
		ask("a2", "a", policy.ClassInteractive)
		g.Expect(got.soFar()).To(Equal([]string{"running", "archive"}), "the lower class gives way")
		ask("b1", "b", policy.ClassInteractive)
		g.Expect(got.soFar()[2:]).To(Equal([]string{"a2"}), "the tenant with more waiting gives way")
		ask("a3", "a", policy.ClassInteractive)
		g.Expect(got.soFar()[3:]).To(Equal([]string{"a3"}), "the newcomer is refused")
		g.Expect(got.wait()[4:]).To(Equal([]string{"a1", "b1"}))
	})
}

func TestGateRecoversAfterSlowTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := admission.NewGate(admission.Options{})
		for range 50 {
			ticket, err := gate.Acquire(t.Context(), admission.Request{})
			g.Expect(err).NotTo(HaveOccurred())
			ticket.Release(admission.Result{Latency: time.Second, Overloaded: true})
			ticket, err = gate.Acquire(t.Context(), admission.Request{})
			g.Expect(err).NotTo(HaveOccurred())
			ticket.Release(admission.Result{Latency: time.Second})
		}
		g.Expect(gate.Observe().Limit).To(Equal(1))
		for range 500 {
			request := admission.Request{Deadline: time.Now().Add(88 * time.Millisecond)}
			ticket, err := gate.Acquire(t.Context(), request)
			g.Expect(err).NotTo(HaveOccurred(), "tried although the service was slower than the deadline")
			time.Sleep(service)
			ticket.Release(admission.Result{Latency: service})
		}
		g.Expect(gate.Observe().TypicalService).To(BeNumerically("~", service, time.Millisecond))
		g.Expect(gate.Observe().Limit).To(BeNumerically(">", 1))
	})
}

// TestPlaceOfAnOverloadedRequestCoolsDown shows that a request that fails at once
// does not hand its place to the next one, which would fail as well.
func TestPlaceOfAnOverloadedRequestCoolsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := single(g, admission.Options{})
		shed, err := gate.Acquire(t.Context(), admission.Request{})
		g.Expect(err).NotTo(HaveOccurred())
		began := time.Now()
		var got answers
		got.ask(t.Context(), gate, "next", admission.Request{})
		time.Sleep(time.Millisecond)
		shed.Release(admission.Result{Latency: time.Millisecond, Overloaded: true})
		synctest.Wait()
		g.Expect(got.soFar()).To(BeEmpty())
		g.Expect(gate.Observe().InFlight).To(BeZero())
		got.wait()
		g.Expect(time.Since(began)).To(Equal(2*service), "a typical service time later, and served in one")
	})
}

// TestLatencyBoundsTheLimit runs callers against back ends that take ten
// requests at once, slow down with more, and refuse none.
func TestLatencyBoundsTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := admission.NewGate(admission.Options{})
		end := time.Now().Add(5 * time.Second)
		var group sync.WaitGroup
		for range 200 {
			group.Go(func() {
				for time.Now().Before(end) {
					ticket, err := gate.Acquire(t.Context(), admission.Request{Policy: bounded(1000)})
					g.Expect(err).NotTo(HaveOccurred())
					latency := service * time.Duration(max(10, gate.Observe().InFlight)) / 10
					time.Sleep(latency)
					ticket.Release(admission.Result{Latency: latency})
				}
			})
		}
		group.Wait()
		g.Expect(gate.Observe().Limit).To(And(BeNumerically(">=", 10), BeNumerically("<=", 40)))
	})
}

// TestChangeOfMixIsNoOverload shows that requests which take longer by nature do
// not lower the limit.
func TestChangeOfMixIsNoOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := admission.NewGate(admission.Options{})
		ask := func(class policy.Class, latency time.Duration) {
			ticket, err := gate.Acquire(t.Context(), admission.Request{Class: class})
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(latency)
			ticket.Release(admission.Result{Latency: latency})
		}
		for range 500 {
			ask(policy.ClassTicker, 4*time.Millisecond)
		}
		before := gate.Observe().Limit
		for range 500 {
			ask(policy.ClassTicker, 4*time.Millisecond)
			ask(policy.ClassArchive, 60*time.Millisecond)
		}
		g.Expect(gate.Observe().Limit).To(BeNumerically(">=", before))
	})
}

// TestEveryRequestGetsOneAnswerInTime runs random requests, releases and
// cancellations: no place is lost, no more run than the bound allows, nobody
// waits beyond the deadline, and every refusal says not run.
func TestEveryRequestGetsOneAnswerInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(withoutDeadline{t}, func(t *rapid.T) {
			g := NewWithT(t)
			maxLimit := rapid.IntRange(1, 6).Draw(t, "max limit")
			gate := admission.NewGate(admission.Options{MaxLimit: maxLimit, MaxQueued: rapid.IntRange(1, 12).Draw(t, "max queued")})
			callers := &randomCallers{gate: gate, maxLimit: maxLimit}
			ctx, cancel := context.WithCancel(context.Background())
			for range rapid.IntRange(1, 60).Draw(t, "requests") {
				callers.start(ctx, t)
				time.Sleep(time.Duration(rapid.IntRange(0, 10).Draw(t, "pause")) * time.Millisecond)
			}
			if rapid.Bool().Draw(t, "cancel the rest") {
				cancel()
			}
			callers.group.Wait()
			cancel()
			g.Expect(callers.faults).To(BeEmpty())
			time.Sleep(time.Second)
			observed := gate.Observe()
			g.Expect(observed.InFlight + observed.Queued).To(BeZero())
			ticket, err := gate.Acquire(context.Background(), admission.Request{})
			g.Expect(err).NotTo(HaveOccurred(), "no state is a dead end")
			ticket.Release(admission.Result{Cancelled: true})
		})
	})
}

// randomCallers runs random requests and collects what is wrong.
type randomCallers struct {
	gate     *admission.Gate
	maxLimit int
	group    sync.WaitGroup
	mutex    sync.Mutex
	running  int
	faults   []string
}

func (c *randomCallers) start(ctx context.Context, t *rapid.T) {
	request := drawRequest(t)
	held := time.Duration(rapid.IntRange(0, 60).Draw(t, "held")) * time.Millisecond
	result := admission.Result{
		Latency:    held,
		Overloaded: rapid.Bool().Draw(t, "overloaded"),
		Cancelled:  rapid.Bool().Draw(t, "cancelled"),
	}
	c.group.Go(func() {
		ticket, err := c.gate.Acquire(ctx, request)
		c.require(!time.Now().After(request.Deadline), "answered after the deadline")
		c.require(err == nil || outcome.Of(err) == outcome.NotRun, "refused without saying not run")
		if err != nil {
			return
		}
		c.run(1)
		time.Sleep(held)
		c.run(-1)
		ticket.Release(result)
		ticket.Release(result)
	})
}

func (c *randomCallers) run(change int) {
	c.mutex.Lock()
	c.running += change
	running := c.running
	c.mutex.Unlock()
	c.require(running <= c.maxLimit, "more requests run than the bound allows")
}

func (c *randomCallers) require(holds bool, fault string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !holds {
		c.faults = append(c.faults, fault)
	}
}

func drawRequest(t *rapid.T) admission.Request {
	request := admission.Request{
		Tenant:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "tenant"),
		Class:    rapid.SampledFrom([]policy.Class{policy.ClassTicker, policy.ClassInteractive, policy.ClassArchive, "other"}).Draw(t, "class"),
		Deadline: time.Now().Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "deadline")) * time.Millisecond),
	}
	if rapid.Bool().Draw(t, "bounded queue") {
		request.Policy = bounded(3)
	}
	return request
}

func BenchmarkAcquireRelease(b *testing.B) {
	gate := admission.NewGate(admission.Options{StartLimit: 1000})
	request := admission.Request{Tenant: "a", Class: policy.ClassInteractive, Deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			ticket, err := gate.Acquire(context.Background(), request)
			if err == nil {
				ticket.Release(admission.Result{Latency: time.Millisecond})
			}
		}
	})
}
