package machinelist_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
)

func TestMachineList(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Machine list Suite")
}

var _ = BeforeSuite(func() {
	running := goleak.IgnoreCurrent()
	DeferCleanup(func() { Expect(goleak.Find(running)).To(Succeed()) })
})
