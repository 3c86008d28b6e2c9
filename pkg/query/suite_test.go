package query_test

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suite is the test that runs the specs; synctest.Test needs it.
var suite *testing.T

func TestQuery(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "Query")
}

// inVirtualTime runs a spec's body in a synctest bubble with a fake clock. The spec fails if a
// goroutine is left running.
func inVirtualTime(body func()) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			body()
		})
	}
}
