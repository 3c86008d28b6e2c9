package ctl_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/internal/ctl"
)

var _ = Describe("Logs", func() {
	const line = `{"@timestamp":"2026-05-08T01:48:40Z","@message":"request","node":"n","request":"r1","route":"tally",` +
		`"status":503,"reason":"starting"}` + "\n"

	It("explains a request from standard input", func() {
		told := run(line, "log", "explain", "r1")
		Expect(told.code).To(Equal(ctl.ExitOK), told.errors)
		Expect(told.output).To(ContainSubstring("cause: the node knew no configuration yet"))
		Expect(run(line, "log", "explain", "r2").errors).To(ContainSubstring("no line names this request"))
	})

	It("sums up a span of time", func() {
		told := run(line, "log", "summary", "--to", "2026-05-08T02:00:00Z", "-o", "json")
		Expect(told.code).To(Equal(ctl.ExitOK), told.errors)
		Expect(told.output).To(ContainSubstring(`"example": "r1"`))
		Expect(run(line, "log", "summary", "--from", "noon").errors).To(ContainSubstring(`--from: "noon" is not a time`))
		Expect(run("", "log", "summary", "/nowhere").errors).To(ContainSubstring("open log"))
	})
})
