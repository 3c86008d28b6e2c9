package armstats_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestArmstats(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Figures of experiment arms")
}
