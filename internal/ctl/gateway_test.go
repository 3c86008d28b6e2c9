package ctl_test

import (
	"bytes"
	"context"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/internal/ctl"
	"github.com/bramblemast/bramblemast/pkg/configstore"
)

var _ = Describe("A deployment whose nodes operators do not call", func() {
	var store *configstore.Memory

	onStore := func(input string, arguments ...string) result {
		var output, errors bytes.Buffer
		streams := ctl.Streams{
			Input: strings.NewReader(input), Output: &output, Errors: &errors,
			OpenStore: func(string) configstore.Store { return store },
		}
		code := ctl.Run(context.Background(), "v1", append([]string{"--store", "127.0.0.1:1"}, arguments...), streams)
		return result{code: code, output: output.String(), errors: errors.String()}
	}

	BeforeEach(func() { store = configstore.NewMemory() })

	It("publishes, shows, rolls back and deletes templates in the store", func() {
		Expect(onStore("", "template", "get", "valgdata/tally").code).NotTo(Equal(ctl.ExitOK))
		published := onStore(tallyFile, "template", "publish", "-", "--author", "kari")
		Expect(published.code).To(Equal(ctl.ExitOK), published.errors)
		edited := strings.Replace(tallyFile, "80ms", "90ms", 1)
		Expect(onStore(edited, "template", "publish", "-", "--expected-revision", "1").code).To(Equal(ctl.ExitOK))
		Expect(onStore("", "template", "list").output).To(ContainSubstring("90ms"))
		rolled := onStore("", "template", "rollback", "valgdata/tally", "--to", "1")
		Expect(rolled.code).To(Equal(ctl.ExitOK), rolled.errors)
		Expect(onStore("", "template", "get", "valgdata/tally").output).To(ContainSubstring("80ms"))
		Expect(onStore("", "template", "history", "valgdata/tally").output).To(ContainSubstring("kari"))
		Expect(onStore("", "template", "delete", "valgdata/tally").code).To(Equal(ctl.ExitOK))
	})

	It("shows a conflict and changes nothing", func() {
		Expect(onStore(tallyFile, "template", "publish", "-", "--author", "ola").code).To(Equal(ctl.ExitOK))
		second := onStore(tallyFile, "template", "publish", "-")
		Expect(second.code).To(Equal(ctl.ExitConflict))
		Expect(second.errors).To(ContainSubstring(`author "ola"`))
	})

	It("says that the store can't be read, or that only a node knows", func() {
		store.SetUnavailable(true)
		failed := onStore("", "template", "list")
		Expect(failed.code).NotTo(Equal(ctl.ExitOK))
		Expect(failed.errors).To(ContainSubstring("read the store"))
		store.SetUnavailable(false)
		Expect(onStore("", "claim", "list").code).NotTo(Equal(ctl.ExitOK))
	})
})
