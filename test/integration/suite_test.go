// Package integration starts the real programs as separate processes, with the
// fault-injecting proxy between them, and checks every answer with the oracle.
package integration

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

func TestIntegration(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Integration")
}

// modulePath is the path of the programs' packages.
const modulePath = "github.com/bramblemast/bramblemast/cmd/"

// programs are the built binaries.
var programs struct {
	daemon string
	ctl    string
	lab    string
}

var _ = BeforeSuite(func() {
	for path, name := range map[*string]string{
		&programs.daemon: "bramblemastd",
		&programs.ctl:    "bramblemastctl",
		&programs.lab:    "bramblemast-lab",
	} {
		built, err := gexec.Build(modulePath + name)
		Expect(err).NotTo(HaveOccurred())
		*path = built
	}
})

var _ = AfterSuite(gexec.CleanupBuildArtifacts)
