package operator_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	api "github.com/bramblemast/bramblemast/api/operator"
	"github.com/bramblemast/bramblemast/internal/operator/operatortest"
	"github.com/bramblemast/bramblemast/pkg/claim"
	"github.com/bramblemast/bramblemast/pkg/configstore"
	"github.com/bramblemast/bramblemast/pkg/outcome"
)

var _ = Describe("Claims", func() {
	var cluster *operatortest.Cluster
	var client *api.Client
	ctx := context.Background()
	// awkward holds what paths and queries give a meaning to.
	const awkward = "order 1/a?b=%2F&ø"

	remove := func(key, claimID string) error {
		_, err := client.RemoveClaim(ctx, api.ClaimRemovalRequest{Tenant: "tinting", Key: key, ClaimID: claimID, Author: "kari"})
		return err
	}

	BeforeEach(func() {
		cluster = operatortest.NewCluster(2)
		DeferCleanup(cluster.Close)
		client = api.NewClient(cluster.Nodes[0].Address(), nil)
		cluster.HoldClaim("tinting", awkward, "first", claim.StateSent, time.Hour)
	})

	It("are listed oldest first with age and holder, without those that are done", func() {
		cluster.HoldClaim("tinting", "older", "second", claim.StateUnknown, 2*time.Hour)
		cluster.HoldClaim("tinting", "ran", "third", claim.StateDone, 3*time.Hour)
		cluster.HoldClaim("other", "key", "fourth", claim.StateSent, 4*time.Hour)
		list, err := client.Claims(ctx, "tinting", 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(list.Total).To(Equal(2))
		Expect(list.Claims).To(HaveLen(1))
		Expect(list.Claims[0].ClaimID).To(Equal("second"))
		all, err := client.Claims(ctx, "", api.MaxListedClaims)
		Expect(err).NotTo(HaveOccurred())
		Expect(all.Claims).To(HaveLen(3))
		last := all.Claims[2]
		Expect(last.Key).To(Equal(awkward))
		Expect(last.NodeState).To(Equal("dead"))
		Expect(last.AgeMS).To(BeNumerically(">=", time.Hour.Milliseconds()))
	})

	It("are shown by key, also when done", func() {
		cluster.HoldClaim("tinting", "ran", "third", claim.StateDone, 0)
		found, err := client.Claim(ctx, "tinting", "ran")
		Expect(err).NotTo(HaveOccurred())
		Expect(found.State).To(Equal("done"))
		_, err = client.Claim(ctx, "tinting", "none")
		Expect(problemIn(err).Status).To(Equal(http.StatusNotFound))
	})

	It("give the key back when removed", func() {
		Expect(remove(awkward, "first")).To(Succeed())
		_, err := cluster.Claimer.Acquire(ctx, claim.Request{Tenant: "tinting", Key: awkward})
		Expect(err).NotTo(HaveOccurred())
	})

	DescribeTable("stay where removal is not safe",
		func(state claim.State, age time.Duration, claimID string, reason outcome.Reason) {
			cluster.HoldClaim("tinting", "key", "held", state, age)
			err := remove("key", claimID)
			Expect(outcome.Of(err)).To(Equal(outcome.NotRun))
			problem := problemIn(err)
			Expect(problem.Status).To(Equal(http.StatusConflict))
			Expect(problem.Reason).To(Equal(reason))
			Expect(problem.Detail).To(ContainSubstring("held"))
			Expect(problem.RetryAfterMS > 0).To(Equal(reason == api.ReasonClaimFresh))
			_, err = client.Claim(ctx, "tinting", "key")
			Expect(err).NotTo(HaveOccurred())
		},
		Entry("another claim", claim.StateUnknown, time.Hour, "other", api.ReasonConflict),
		Entry("the request ran", claim.StateDone, time.Hour, "held", api.ReasonClaimDone),
		Entry("the holder may still send", claim.StateSent, claim.DefaultSendWindow, "held", api.ReasonClaimFresh),
	)

	It("may be removed or not if the store's reply is lost", func() {
		cluster.Store.FailWrites(configstore.ReplyLost, 1)
		err := remove(awkward, "first")
		Expect(outcome.Of(err)).To(Equal(outcome.Unknown))
		Expect(problemIn(err).Status).To(Equal(http.StatusGatewayTimeout))
		_, err = client.Claim(ctx, "tinting", awkward)
		Expect(problemIn(err).Reason).To(Equal(api.ReasonNotFound))
	})

	It("certainly stay while the store is away", func() {
		cluster.Store.SetUnavailable(true)
		err := remove(awkward, "first")
		Expect(outcome.Of(err)).To(Equal(outcome.NotRun))
		Expect(problemIn(err).Reason).To(Equal(outcome.ReasonStoreAway))
		_, err = client.Claims(ctx, "", 1)
		Expect(problemIn(err).Reason).To(Equal(outcome.ReasonStoreAway))
	})

	It("refuse bad input and name the field", func() {
		field := func(err error) string { return problemIn(err).Field }
		_, err := client.Claims(ctx, "", api.MaxListedClaims+1)
		Expect(field(err)).To(Equal(api.ParameterLimit))
		_, err = client.Claim(ctx, "", "key")
		Expect(field(err)).To(Equal(api.ParameterTenant))
		_, err = client.Claim(ctx, "tinting", strings.Repeat("k", claim.MaxKeyBytes+1))
		Expect(field(err)).To(Equal(api.ParameterKey))
		Expect(field(remove("key", ""))).To(Equal(api.ParameterClaimID))
	})

	It("are listed up to the default bound if none is given", func() {
		for number := range api.DefaultListedClaims {
			cluster.HoldClaim("other", strconv.Itoa(number), strconv.Itoa(number), claim.StateSent, time.Minute)
		}
		response, err := http.Get("http://" + cluster.Nodes[0].Address() + api.ClaimsPath)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response).To(HaveHTTPBody(ContainSubstring(`"total":101`)))
	})
})
