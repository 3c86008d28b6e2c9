package store_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
)

func TestStore(t *testing.T) {
	ignored := goleak.IgnoreCurrent()
	RegisterFailHandler(Fail)
	RunSpecs(t, "store stand-in")
	goleak.VerifyNone(t, ignored, goleak.IgnoreTopFunction("github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"))
}
