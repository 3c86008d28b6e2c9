package integration

import (
	"bytes"
	"encoding/json"
	"net/url"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/internal/lab/freeport"
	"github.com/bramblemast/bramblemast/pkg/policy"
)

func writeFile(path, text string) {
	GinkgoHelper()
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
}

// decode reads the first JSON document of a text.
func decode(text []byte, into any) error { return json.NewDecoder(bytes.NewReader(text)).Decode(into) }

func hostOf(address string) string {
	GinkgoHelper()
	parsed, err := url.Parse(address)
	Expect(err).NotTo(HaveOccurred())
	return parsed.Host
}

func pathOf(address string) string {
	GinkgoHelper()
	parsed, err := url.Parse(address)
	Expect(err).NotTo(HaveOccurred())
	return parsed.Path
}

// freeAddress returns a loopback address whose port was free a moment ago, for
// a process that must come back at the same address.
func freeAddress() string {
	GinkgoHelper()
	address, err := freeport.Address()
	Expect(err).NotTo(HaveOccurred())
	return address
}

func durationOf(duration time.Duration) policy.Duration { return policy.Duration(duration) }
