package machinelist_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/machinelist"
	"github.com/bramblemast/bramblemast/pkg/outcome"
)

const twoServers = `[{"targets":["10.0.0.1:80","10.0.0.2:80"],
	"labels":{"zone":"oslo","region":"east","service":"s","group":"g","state":"leaving"}}]`

var _ = Describe("Parse", func() {
	It("reads typed entries", func() {
		list, err := machinelist.Parse([]byte(twoServers))
		Expect(err).NotTo(HaveOccurred())
		Expect(list).To(HaveLen(2))
		Expect(list[1]).To(Equal(machinelist.Entry{
			Server: "10.0.0.2:80", Service: "s", Group: "g", Zone: "oslo", Region: "east",
			State: machinelist.Leaving,
		}))
	})

	It("keeps the good entries and lists every bad one", func() {
		list, err := machinelist.Parse([]byte(`[
			{"targets":["10.0.0.1:80","nonsense","10.0.0.1:80","10.0.0.3:0"],"labels":{"zone":"z","service":"s"}},
			{"targets":["10.0.0.4:80"],"labels":{"state":"asleep"}}]`))
		Expect(list).To(HaveLen(1))
		Expect(list[0].State).To(Equal(machinelist.Live))
		var bad machinelist.EntryErrors
		Expect(errors.As(err, &bad)).To(BeTrue())
		Expect(bad).To(HaveLen(6))
		Expect(err.Error()).To(ContainSubstring(`[1].labels.state: is "asleep"`))
		Expect(err.Error()).To(ContainSubstring(`[0].targets[2]: "10.0.0.1:80" occurs twice`))
	})

	It("refuses a document that is not a list", func() {
		_, err := machinelist.Parse([]byte(`{"targets":[]}`))
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("Client", func() {
	fetch := func(handler http.HandlerFunc) (machinelist.List, error) {
		server := httptest.NewServer(handler)
		DeferCleanup(server.Close)
		client := machinelist.NewClient(machinelist.ClientOptions{
			URL: server.URL, MaxBytes: 1 << 10, HTTP: server.Client(),
		})
		return client.Fetch(context.Background())
	}

	It("fetches the list", func() {
		list, err := fetch(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(twoServers)) })
		Expect(err).NotTo(HaveOccurred())
		Expect(list).To(HaveLen(2))
	})

	It("does not read an unchanged list again", func() {
		documents := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("ETag", `"1"`)
			if r.Header.Get("If-None-Match") == `"1"` {
				w.WriteHeader(http.StatusNotModified)
				return
			}
			documents++
			_, _ = w.Write([]byte(twoServers))
		}))
		DeferCleanup(server.Close)
		client := machinelist.NewClient(machinelist.ClientOptions{URL: server.URL, HTTP: server.Client()})
		for range 3 {
			list, err := client.Fetch(context.Background())
			Expect(err).NotTo(HaveOccurred())
			Expect(list).To(HaveLen(2))
		}
		Expect(documents).To(Equal(1))
	})

	DescribeTable("names step and peer of a failure",
		func(handler http.HandlerFunc, cause string) {
			_, err := fetch(handler)
			var failed *outcome.Error
			Expect(errors.As(err, &failed)).To(BeTrue())
			Expect(failed.Peer).To(HavePrefix("http://127.0.0.1"))
			Expect(err.Error()).To(ContainSubstring(cause))
		},
		Entry("status", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, "status 500"),
		Entry("too large", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(strings.Repeat(" ", 2<<10)))
		}, "larger than 1024 bytes"),
		Entry("truncated", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("[]"))
		}, "unexpected EOF"),
		Entry("not JSON", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<")) }, "parse"),
	)
})

type scriptedFetcher struct {
	lists []machinelist.List
	calls int
}

func (f *scriptedFetcher) Fetch(context.Context) (machinelist.List, error) {
	list := f.lists[min(f.calls, len(f.lists)-1)]
	f.calls++
	if list == nil {
		return nil, errors.New("away")
	}
	return list, nil
}

// TestPollerKeepsLastGoodList runs in virtual time.
func TestPollerKeepsLastGoodList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		good := machinelist.List{{Server: "10.0.0.1:80"}}
		fetcher := &scriptedFetcher{lists: []machinelist.List{good, good, nil, {}}}
		received := 0
		poller := machinelist.NewPoller(machinelist.PollerOptions{
			Fetcher:  fetcher,
			Interval: time.Second,
			OnList:   func(machinelist.List) { received++ },
			Random:   rand.New(rand.NewPCG(1, 2)),
		})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		if err := poller.Run(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatal(err)
		}
		status := poller.Status()
		if received != 1 || len(status.List) != 1 || status.Failures != fetcher.calls-2 {
			t.Fatalf("received %d lists of %d, status %+v", received, fetcher.calls, status)
		}
		if fetcher.calls < 9 || fetcher.calls > 13 {
			t.Fatalf("%d fetches in 10 s at one a second", fetcher.calls)
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(twoServers))
	f.Add([]byte(`[{"targets":["a:1"],"labels":null}]`))
	f.Fuzz(func(t *testing.T, document []byte) {
		list, _ := machinelist.Parse(document)
		seen := map[string]bool{}
		for _, entry := range list {
			if entry.Service == "" || entry.Zone == "" || seen[string(entry.Server)] {
				t.Fatalf("bad entry kept: %+v", entry)
			}
			seen[string(entry.Server)] = true
		}
	})
}
