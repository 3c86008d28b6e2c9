package publish

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/configstore"
	"github.com/bramblemast/bramblemast/pkg/outcome"
	"github.com/bramblemast/bramblemast/pkg/policy"
	"github.com/bramblemast/bramblemast/pkg/template"
	"github.com/bramblemast/bramblemast/pkg/template/stored"
)

var testKey = template.Key{Tenant: "valgsok", Name: "ticker"}

func content(author string) *template.Template {
	return &template.Template{
		Tenant: testKey.Tenant, Name: testKey.Name, Author: author,
		Service: "resultatside", Class: policy.ClassTicker, Deadline: policy.Duration(time.Second),
	}
}

// changeIDs returns a source of change ids in ascending order.
func changeIDs() func() string {
	number := 0
	return func() string {
		number++
		return fmt.Sprintf("change-%03d", number)
	}
}

var _ = Describe("Publisher", func() {
	var (
		ctx       context.Context
		store     *configstore.Memory
		publisher *Publisher
		accepted  []template.Published
		newID     func() string
	)

	open := func(held func(template.Key) (template.Published, bool)) *Publisher {
		GinkgoHelper()
		opened, err := New(Options{
			Store: store, Held: held, NewChangeID: newID,
			Accepted:     func(change template.Published) { accepted = append(accepted, change) },
			FirstBackoff: time.Microsecond, MaxBackoff: time.Microsecond,
		})
		Expect(err).NotTo(HaveOccurred())
		return opened
	}
	publish := func(author string, expected uint64) Result {
		GinkgoHelper()
		result, err := publisher.Publish(ctx, content(author), expected)
		Expect(err).NotTo(HaveOccurred())
		return result
	}
	current := func() *template.Template {
		GinkgoHelper()
		found, err := publisher.Get(ctx, testKey)
		Expect(err).NotTo(HaveOccurred())
		return found
	}

	BeforeEach(func() {
		ctx, store, accepted = context.Background(), configstore.NewMemory(), nil
		newID = changeIDs()
		publisher = open(nil)
	})

	It("gives each change the next revision and announces it", func() {
		Expect(publish("first", 0).Template.Revision).To(BeEquivalentTo(1))
		Expect(publish("second", 1).Template.Revision).To(BeEquivalentTo(2))
		Expect(current().Author).To(Equal("second"))
		Expect(accepted).To(HaveLen(2))
		Expect(publisher.List(ctx)).To(HaveLen(1))
	})

	// Another writer may have left the entry; the others must still be listed.
	It("lists the templates beside an entry that it cannot read", func() {
		publish("first", 0)
		for _, odd := range []string{"null", "[[", `{"current":1e400}`, strings.Repeat("[", 100_000)} {
			key := stored.Key(template.Key{Tenant: "odd", Name: fmt.Sprint(len(odd))})
			Expect(store.CompareAndSwap(ctx, key, []byte(odd), 0)).To(Succeed())
		}
		Expect(store.CompareAndSwap(ctx, stored.Root+"no key", []byte("{}"), 0)).To(Succeed())
		Expect(publisher.List(ctx)).To(HaveLen(1))
	})

	It("refuses a template that is not valid, with every fault", func() {
		faulty := content("x")
		faulty.Class, faulty.Limit = "urgent", -1
		_, err := publisher.Publish(ctx, faulty, 0)
		var faults template.FieldErrors
		Expect(errors.As(err, &faults)).To(BeTrue())
		Expect(faults).To(HaveLen(2))
		Expect(store.Counts().Writes).To(BeZero())
	})

	It("shows both sides of a conflict and keeps the first", func() {
		publish("theirs", 0)
		for _, expected := range []uint64{0, 7} {
			_, err := publisher.Publish(ctx, content("mine"), expected)
			var conflict *ConflictError
			Expect(errors.As(err, &conflict)).To(BeTrue())
			Expect(conflict.Mine.Author).To(Equal("mine"))
			Expect(conflict.Theirs.Author).To(Equal("theirs"))
			Expect(err.Error()).To(ContainSubstring("theirs"))
		}
		Expect(current().Author).To(Equal("theirs"))
	})

	It("keeps a history, and publishes an earlier content as a new revision", func() {
		publish("first", 0)
		publish("second", 1)
		result, err := publisher.Rollback(ctx, testKey, 1, 2, "operator")
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Template.Revision).To(BeEquivalentTo(3))
		Expect(publisher.History(ctx, testKey)).To(HaveLen(3))
		_, err = publisher.Rollback(ctx, testKey, 9, 3, "operator")
		Expect(err).To(MatchError(ErrNoSuchRevision))
	})

	It("leaves a tombstone, over which a template can be created again", func() {
		publish("first", 0)
		result, err := publisher.Delete(ctx, testKey, 1, "operator", "not used")
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Template.Deleted).To(BeTrue())
		Expect(publish("again", 0).Template.Revision).To(BeEquivalentTo(3))
	})

	DescribeTable("settles a write without a reply",
		func(fault configstore.WriteFault) {
			publish("first", 0)
			store.FailWrites(fault, 1)
			result := publish("second", 1)
			Expect(result.Settled).To(BeTrue())
			Expect(result.Template.Revision).To(BeEquivalentTo(2))
			Expect(current().Author).To(Equal("second"))
			Expect(publisher.History(ctx, testKey)).To(HaveLen(2))
		},
		Entry("that committed", configstore.ReplyLost),
		Entry("that was lost", configstore.RequestLost),
	)

	It("tells a lost reply from another operator's change", func() {
		publish("first", 0)
		other := open(nil)
		publisher.options.Store = overtaken{Memory: store, once: &sync.Once{}, fault: configstore.RequestLost, other: func() {
			_, err := other.Publish(ctx, content("theirs"), 1)
			Expect(err).NotTo(HaveOccurred())
		}}
		_, err := publisher.Publish(ctx, content("mine"), 1)
		var conflict *ConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue())
		Expect(conflict.Theirs.Author).To(Equal("theirs"))
	})

	DescribeTable("is not refused because another change was settled meanwhile",
		func(exists bool, fault configstore.WriteFault) {
			expected := uint64(0)
			if exists {
				publish("first", 0)
				expected = 1
			}
			other := open(nil)
			settle := func() {
				_, err := other.Settle(ctx, testKey, "another")
				Expect(err).NotTo(HaveOccurred())
			}
			publisher.options.Store = overtaken{Memory: store, once: &sync.Once{}, fault: fault, other: settle}
			publish("mine", expected)
			Expect(current().Author).To(Equal("mine"))
		},
		Entry("with a lost request, on a template", true, configstore.RequestLost),
		Entry("with a lost request, on no template", false, configstore.RequestLost),
		Entry("on a template", true, configstore.WriteFault(0)),
		Entry("on no template", false, configstore.WriteFault(0)),
	)

	It("is honest about a write that stays unknown, and settles it later", func() {
		publish("first", 0)
		store.FailWrites(configstore.RequestLost, DefaultAttempts)
		_, err := publisher.Publish(ctx, content("mine"), 1)
		var unknown *UnknownError
		Expect(errors.As(err, &unknown)).To(BeTrue())
		Expect(outcome.Of(err)).To(Equal(outcome.Unknown))
		Expect(err.Error()).To(ContainSubstring("settle valgsok/ticker " + unknown.ChangeID))

		settlement, err := publisher.Settle(ctx, testKey, unknown.ChangeID)
		Expect(err).NotTo(HaveOccurred())
		Expect(settlement.State).To(Equal(SettledRejected))
		Expect(settlement.Current.Author).To(Equal("first"))

		committed, err := publisher.Settle(ctx, testKey, current().ChangeID)
		Expect(err).NotTo(HaveOccurred())
		Expect(committed.State).To(Equal(SettledAccepted))
		Expect(committed.Change.Author).To(Equal("first"))
	})

	DescribeTable("keeps a late write from committing once it is settled",
		func(exists bool) {
			if exists {
				publish("first", 0)
			}
			before, err := publisher.read(ctx, testKey)
			Expect(err).NotTo(HaveOccurred())
			_, err = publisher.Settle(ctx, testKey, "late")
			Expect(err).NotTo(HaveOccurred())
			late := content("late")
			late.Revision, late.ChangeID = before.version().Revision+1, "late"
			sealed, err := template.Seal(late)
			Expect(err).NotTo(HaveOccurred())
			value, err := before.document.replace(sealed)
			Expect(err).NotTo(HaveOccurred())
			err = store.CompareAndSwap(ctx, stored.Key(testKey), value, before.index)
			Expect(err).To(MatchError(configstore.ErrConflict))
		},
		Entry("of a template that exists", true),
		Entry("of a new template", false),
	)

	It("says not run when the store refused every attempt", func() {
		store.SetLimit(1e-9, 1)
		_, err := publisher.Publish(ctx, content("mine"), 0)
		Expect(err).To(MatchError(configstore.ErrLimited))
		Expect(outcome.Of(err)).To(Equal(outcome.NotRun))
		store.SetLimit(0, 0)
		Expect(publisher.List(ctx)).To(BeEmpty())
	})

	It("refuses to build on a store that went back, and repairs it", func() {
		publish("first", 0)
		before := store.Snapshot()
		publish("second", 1)
		held := accepted[1]
		store.Restore(before)
		publisher = open(func(template.Key) (template.Published, bool) { return held, true })
		for _, expected := range []uint64{1, 2} {
			_, err := publisher.Publish(ctx, content("third"), expected)
			Expect(err).To(MatchError(ErrStoreBehind))
		}
		Expect(publisher.Repair(ctx, held)).To(BeTrue())
		Expect(publisher.Repair(ctx, held)).To(BeFalse())
		Expect(current().Author).To(Equal("second"))
		Expect(publisher.History(ctx, testKey)).To(HaveLen(2))
		Expect(publish("third", 2).Template.Revision).To(BeEquivalentTo(3))
	})

	It("does not take a change that it hears of while it reads the store for a store that went back", func() {
		publish("first", 0)
		other := publisher
		known := accepted[0]
		// Another operator's change commits, and is in force here, after the store was read.
		late := readLate{Memory: store, once: &sync.Once{}, after: func() {
			_, err := other.Publish(ctx, content("other"), 1)
			Expect(err).NotTo(HaveOccurred())
			known = accepted[1]
		}}
		racing, err := New(Options{
			Store: late, NewChangeID: newID, Accepted: func(template.Published) {}, FirstBackoff: time.Microsecond, MaxBackoff: time.Microsecond,
			Held: func(template.Key) (template.Published, bool) { return known, true },
		})
		Expect(err).NotTo(HaveOccurred())
		_, err = racing.Publish(ctx, content("mine"), 1)
		Expect(err).NotTo(MatchError(ErrStoreBehind))
		var conflict *ConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue(), "%v", err)
	})
})

// readLate is a store whose first answer to a reading arrives after something else has
// happened.
type readLate struct {
	*configstore.Memory
	once  *sync.Once
	after func()
}

// Get implements configstore.Store.
func (r readLate) Get(ctx context.Context, key string) (configstore.Entry, error) {
	found, err := r.Memory.Get(ctx, key)
	r.once.Do(r.after)
	return found, err
}

// overtaken is a store at which another operator writes before the first write
// arrives, or, if fault is set, right after that write failed so.
type overtaken struct {
	*configstore.Memory
	once  *sync.Once
	fault configstore.WriteFault
	other func()
}

func (o overtaken) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) error {
	var lost error
	o.once.Do(func() {
		if o.fault != 0 {
			o.FailWrites(o.fault, 1)
			lost = o.Memory.CompareAndSwap(ctx, key, value, index)
		}
		o.other()
	})
	if lost != nil {
		return lost
	}
	return o.Memory.CompareAndSwap(ctx, key, value, index)
}
