package settings

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

var _ = Describe("Parse", func() {
	It("fills in defaults", func() {
		parsed, err := Parse([]byte("node: {zone: oslo}"), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed.Node.Zone).To(BeEquivalentTo("oslo"))
		Expect(parsed.Listen.Callers).To(Equal("127.0.0.1:8480"))
		Expect(parsed.Backends.ProbeInterval).To(Equal(time.Second))
		Expect(parsed.Node.SourceIP).To(BeNil())
	})

	It("lets overrides replace the file", func() {
		overrides := []Override{{Path: "node.zone", Value: "bergen"}, {Path: "callers.max_connections", Value: "7"}, {Path: "peers.seeds", Value: "127.0.0.1:1,127.0.0.1:2"}}
		parsed, err := Parse([]byte("node: {zone: oslo}"), overrides)
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed.Node.Zone).To(BeEquivalentTo("bergen"))
		Expect(parsed.Callers.MaxConnections).To(Equal(7))
		Expect(parsed.Peers.Seeds).To(HaveLen(2))
	})

	It("lists every error at once, sorted by path", func() {
		text := `
node: {zone: "", name: "a b", source_ip: somewhere}
listen: {callers: "localhost:1", peers: 127.0.0.1:99999}
backends: {probe_interval: soon, probe_timeout: 2h}
callers: {max_body_bytes: 1, max_connections: many}
store: {url: "ftp://x"}
log: {level: loud}
peers: {seeds: ["127.0.0.1:0", 7]}
typo: 1
`
		_, err := Parse([]byte(text), nil)
		var wrong Errors
		Expect(errors.As(err, &wrong)).To(BeTrue())
		paths := make([]string, 0, len(wrong))
		for _, item := range wrong {
			paths = append(paths, item.Path)
		}
		Expect(paths).To(Equal([]string{
			"backends.probe_interval", "backends.probe_timeout",
			"callers.max_body_bytes", "callers.max_connections",
			"listen.callers", "listen.peers", "log.level",
			"node.name", "node.source_ip", "node.zone",
			"peers.seeds[0]", "peers.seeds[1]", "store.url", "typo",
		}))
	})

	DescribeTable("refuses text that is no settings file",
		func(text string) {
			_, err := Parse([]byte(text), nil)
			Expect(err).To(HaveOccurred())
		},
		Entry("a list", "- 1"),
		Entry("broken YAML", "node: {"),
		Entry("an empty file, because the zone is missing", ""),
		Entry("a file beyond the bound", string(make([]byte, MaxFileBytes+1))),
	)
})

func FuzzParse(f *testing.F) {
	f.Add([]byte("node: {zone: oslo}"))
	f.Add([]byte("peers: {seeds: [1, [2], {a: b}]}"))
	f.Add([]byte("node: 7\nlisten: null"))
	f.Fuzz(func(t *testing.T, text []byte) {
		parsed, err := Parse(text, nil)
		if (parsed == nil) == (err == nil) {
			t.Fatalf("want settings or an error, got %v and %v", parsed, err)
		}
	})
}
