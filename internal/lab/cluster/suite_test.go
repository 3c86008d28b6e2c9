package cluster_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
)

func TestCluster(t *testing.T) {
	ignored := goleak.IgnoreCurrent()
	RegisterFailHandler(Fail)
	RunSpecs(t, "cluster")
	goleak.VerifyNone(t, ignored, goleak.IgnoreTopFunction("github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"))
}
