package publish

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/pkg/configstore"
	"github.com/bramblemast/bramblemast/pkg/outcome"
)

var _ = Describe("A change id of the client", func() {
	ctx := context.Background()
	var publisher *Publisher

	BeforeEach(func() {
		opened, err := New(Options{Store: configstore.NewMemory(), NewChangeID: changeIDs()})
		Expect(err).NotTo(HaveOccurred())
		publisher = opened
	})

	It("names the change", func() {
		result, err := publisher.WithChangeID("mine").Publish(ctx, content("kari"), 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Template.ChangeID).To(Equal("mine"))
	})

	// A node may be paused between taking a change from an operator and its
	// first call to the store, while another node settles the change.
	DescribeTable("can't be published any more once it was settled as rejected",
		func(existing bool, between func()) {
			expected := uint64(0)
			if existing {
				_, err := publisher.Publish(ctx, content("ola"), 0)
				Expect(err).NotTo(HaveOccurred())
				expected = 1
			}
			settlement, err := publisher.Settle(ctx, testKey, "mine")
			Expect(err).NotTo(HaveOccurred())
			Expect(settlement.State).To(Equal(SettledRejected))
			between()
			_, err = publisher.WithChangeID("mine").Publish(ctx, content("kari"), expected)
			Expect(err).To(HaveOccurred())
			Expect(outcome.Of(err)).To(Equal(outcome.NotRun))
			settlement, err = publisher.Settle(ctx, testKey, "mine")
			Expect(err).NotTo(HaveOccurred())
			Expect(settlement.State).To(Equal(SettledRejected))
		},
		Entry("on a template", true, func() {}),
		Entry("on no template", false, func() {}),
		Entry("after another settlement", true, func() {
			_, err := publisher.Settle(ctx, testKey, "other")
			Expect(err).NotTo(HaveOccurred())
		}),
		Entry("after the template came and went", false, func() {
			result, err := publisher.Publish(ctx, content("ola"), 0)
			Expect(err).NotTo(HaveOccurred())
			_, err = publisher.Delete(ctx, testKey, result.Template.Revision, "ola", "")
			Expect(err).NotTo(HaveOccurred())
		}),
	)

	It("publishes once, also over the tombstone of its own template", func() {
		once := publisher.WithChangeID("mine")
		first, err := once.Publish(ctx, content("kari"), 0)
		Expect(err).NotTo(HaveOccurred())
		again, err := once.Publish(ctx, content("kari"), 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Template).To(Equal(first.Template))
		_, err = publisher.Delete(ctx, testKey, first.Template.Revision, "ola", "")
		Expect(err).NotTo(HaveOccurred())
		again, err = once.Publish(ctx, content("kari"), 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Template).To(Equal(first.Template))
		Expect(publisher.History(ctx, testKey)).To(HaveLen(2))
	})

	It("does not stand in the way of another change", func() {
		_, err := publisher.Settle(ctx, testKey, "mine")
		Expect(err).NotTo(HaveOccurred())
		_, err = publisher.WithChangeID("fresh").Publish(ctx, content("kari"), 0)
		Expect(err).NotTo(HaveOccurred())
	})
})
