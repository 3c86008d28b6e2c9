package ctl_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/internal/ctl"
	"github.com/bramblemast/bramblemast/internal/operator/operatortest"
	"github.com/bramblemast/bramblemast/pkg/claim"
	"github.com/bramblemast/bramblemast/pkg/configstore"
)

var _ = Describe("Claims", func() {
	var cluster *operatortest.Cluster

	claims := func(arguments ...string) result {
		return run("", at(cluster, append([]string{"claim"}, arguments...)...)...)
	}
	remove := func(arguments ...string) result {
		return claims(append([]string{"remove", "tinting", "order 1/a", "--author", "kari"}, arguments...)...)
	}

	BeforeEach(func() {
		cluster = operatortest.NewCluster(2)
		DeferCleanup(cluster.Close)
		cluster.HoldClaim("tinting", "order 1/a", "first", claim.StateSent, time.Hour)
	})

	It("lists, shows and removes", func() {
		cluster.HoldClaim("tinting", "order 2", "second", claim.StateUnknown, 30*time.Minute)
		list := claims("list", "--limit", "1")
		Expect(list.code).To(Equal(ctl.ExitOK), list.errors)
		Expect(list.output).To(MatchRegexp(`tinting +order 1/a +sent +1h0m\ds +node-old +dead +first`))
		Expect(list.output).To(ContainSubstring("1 younger claims are not listed"))
		Expect(claims("get", "tinting", "order 2").output).To(ContainSubstring("unknown"))
		Expect(claims("get", "tinting", "order 2", "-o", "json").output).To(ContainSubstring(`"claim_id": "second"`))
		removed := remove("--claim-id", "first")
		Expect(removed.code).To(Equal(ctl.ExitOK), removed.errors)
		Expect(removed.output).To(Equal("removed: claim first; key \"order 1/a\" of tenant \"tinting\" can be used again\n"))
		Expect(claims("get", "tinting", "order 1/a").code).To(Equal(ctl.ExitRefused))
	})

	It("exits with 2 if another claim holds the key, and with 5 if removal is not safe", func() {
		other := remove("--claim-id", "other")
		Expect(other.code).To(Equal(ctl.ExitConflict))
		Expect(other.errors).To(ContainSubstring("held by claim first"))
		cluster.HoldClaim("tinting", "fresh", "second", claim.StateSent, 0)
		fresh := claims("remove", "tinting", "fresh", "--claim-id", "second")
		Expect(fresh.code).To(Equal(ctl.ExitRefused))
		Expect(fresh.errors).To(ContainSubstring("Try again in"))
	})

	It("exits with 1 without a claim id, and with 4 while the store is away", func() {
		Expect(remove().code).To(Equal(ctl.ExitUsage))
		Expect(claims("list", "--limit", "0").code).To(Equal(ctl.ExitUsage))
		cluster.Store.SetUnavailable(true)
		Expect(remove("--claim-id", "first").code).To(Equal(ctl.ExitUnavailable))
	})

	It("finds out what became of a removal whose reply was lost", func() {
		cluster.Nodes[0].LoseReplies()
		Expect(remove("--claim-id", "first").code).To(Equal(ctl.ExitOK))
		Expect(cluster.Nodes[1].Writes()).To(BeZero())
	})

	It("repeats a removal that did not reach the store", func() {
		cluster.Store.FailWrites(configstore.RequestLost, 1)
		Expect(remove("--claim-id", "first").code).To(Equal(ctl.ExitOK))
		Expect(cluster.Nodes[1].Writes()).To(Equal(1))
	})

	It("exits with 3 and says how to look if that can't be found out", func() {
		cluster.Store.FailWrites(configstore.RequestLost, 2)
		unknown := remove("--claim-id", "first")
		Expect(unknown.code).To(Equal(ctl.ExitUnknown))
		Expect(unknown.errors).To(ContainSubstring("may or may not have been removed"))
		Expect(unknown.errors).To(ContainSubstring("claim get 'tinting' 'order 1/a'"))
	})
})
