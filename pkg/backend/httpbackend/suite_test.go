package httpbackend

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
)

func TestHTTPBackend(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "HTTP back end Suite")
}

var _ = BeforeSuite(func() {
	running := goleak.IgnoreCurrent()
	DeferCleanup(func() { Expect(goleak.Find(running)).To(Succeed()) })
})
