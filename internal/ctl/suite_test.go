package ctl_test

import (
	"bytes"
	"context"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/internal/ctl"
	"github.com/bramblemast/bramblemast/internal/operator/operatortest"
	"github.com/bramblemast/bramblemast/pkg/template"
)

var updateGolden = flag.Bool("update-golden", false, "write the golden files anew")

func TestCtl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Operators' command line")
}

var tallyKey = template.Key{Tenant: "valgdata", Name: "tally"}

const tallyFile = `tenant: valgdata
name: tally
service: resultatside
class: interactive
deadline: 80ms
`

// result is what one run of the program left.
type result struct {
	code   ctl.ExitCode
	output string
	errors string
}

// run runs one command line in process.
func run(input string, arguments ...string) result {
	var output, errors bytes.Buffer
	streams := ctl.Streams{Input: strings.NewReader(input), Output: &output, Errors: &errors}
	code := ctl.Run(context.Background(), "v1.2.3", arguments, streams)
	return result{code: code, output: output.String(), errors: errors.String()}
}

// at puts the addresses of a cluster before a command.
func at(cluster *operatortest.Cluster, arguments ...string) []string {
	var all []string
	for _, address := range cluster.Addresses() {
		all = append(all, "--address", address)
	}
	return append(all, arguments...)
}

// file writes a file for one spec and returns its path.
func file(content string) string {
	GinkgoHelper()
	path := filepath.Join(GinkgoT().TempDir(), "file.yaml")
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	return path
}

// expectGolden compares output, with the addresses of the cluster replaced,
// with a file of testdata.
func expectGolden(name, output string, cluster *operatortest.Cluster) {
	GinkgoHelper()
	for index, address := range cluster.Addresses() {
		output = strings.ReplaceAll(output, address, "address-"+string(rune('1'+index)))
	}
	path := filepath.Join("testdata", name)
	if *updateGolden {
		Expect(os.WriteFile(path, []byte(output), 0o600)).To(Succeed())
	}
	golden, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(output).To(Equal(string(golden)))
}
