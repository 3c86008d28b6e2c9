package store_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/internal/lab/standin/labapi"
	"github.com/bramblemast/bramblemast/internal/lab/standin/store"
)

// reply is one answer of the store.
type reply struct {
	status int
	index  uint64
	body   string
}

// pair is what the specs look at of a key.
type pair struct {
	Key         string
	Value       []byte
	Session     string
	LockIndex   uint64
	ModifyIndex uint64
}

var _ = Describe("Store", func() {
	var (
		stand  *store.Store
		server *httptest.Server
	)

	BeforeEach(func() {
		stand = store.New()
		server = httptest.NewServer(stand)
		DeferCleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
	})

	send := func(method, path, body string) (reply, error) {
		request, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
		if err != nil {
			return reply{}, err
		}
		response, err := server.Client().Do(request)
		if err != nil {
			return reply{}, err
		}
		defer response.Body.Close()
		content, err := io.ReadAll(response.Body)
		index, _ := strconv.ParseUint(response.Header.Get("X-Consul-Index"), 10, 64)
		return reply{status: response.StatusCode, index: index, body: strings.TrimSpace(string(content))}, err
	}
	must := func(method, path, body string) reply {
		GinkgoHelper()
		answered, err := send(method, path, body)
		Expect(err).NotTo(HaveOccurred())
		return answered
	}
	read := func(path string) []pair {
		GinkgoHelper()
		answered := must(http.MethodGet, path, "")
		var pairs []pair
		if answered.status == http.StatusOK {
			Expect(json.Unmarshal([]byte(answered.body), &pairs)).To(Succeed())
		}
		return pairs
	}
	newSession := func(body string) string {
		GinkgoHelper()
		var created struct{ ID string }
		Expect(json.Unmarshal([]byte(must(http.MethodPut, "/v1/session/create", body).body), &created)).To(Succeed())
		return created.ID
	}

	DescribeTable("compare-and-swap",
		func(exists bool, method string, cas func(index uint64) string, want string) {
			var index uint64
			if exists {
				must(http.MethodPut, "/v1/kv/key", "old")
				index = read("/v1/kv/key")[0].ModifyIndex
			}
			Expect(must(method, "/v1/kv/key?cas="+cas(index), "new").body).To(Equal(want))
		},
		Entry("zero creates a key", false, http.MethodPut, fixed("0"), "true"),
		Entry("zero does not replace a key", true, http.MethodPut, fixed("0"), "false"),
		Entry("the right index replaces a key", true, http.MethodPut, exact, "true"),
		Entry("an older index does not", true, http.MethodPut, fixed("1"), "false"),
		Entry("an index never creates a key", false, http.MethodPut, fixed("7"), "false"),
		Entry("the right index deletes a key", true, http.MethodDelete, exact, "true"),
		Entry("an older index does not delete", true, http.MethodDelete, fixed("1"), "false"),
		Entry("zero does not delete", true, http.MethodDelete, fixed("0"), "false"),
		Entry("a key that is gone counts as deleted", false, http.MethodDelete, fixed("9"), "true"),
		Entry("text is refused", false, http.MethodPut, fixed("x"), "cas: strconv.ParseUint: parsing \"x\": invalid syntax"),
	)

	It("keeps indexes monotonic over writes and deletes", func() {
		var last uint64
		for round := range 5 {
			must(http.MethodPut, "/v1/kv/a/b", fmt.Sprint(round))
			index := must(http.MethodGet, "/v1/kv/a?recurse", "").index
			Expect(index).To(BeNumerically(">", last))
			must(http.MethodDelete, "/v1/kv/a/b", "")
			gone := must(http.MethodGet, "/v1/kv/a?recurse", "")
			Expect(gone.status).To(Equal(http.StatusNotFound))
			Expect(gone.index).To(BeNumerically(">", index))
			last = gone.index
		}
	})

	It("lists values, keys and keys up to a separator", func() {
		for _, key := range []string{"t/a/1", "t/a/2", "t/b", "u/c"} {
			must(http.MethodPut, "/v1/kv/"+key, "value of "+key)
		}
		Expect(read("/v1/kv/t/?recurse")).To(HaveLen(3))
		Expect(string(read("/v1/kv/t/b")[0].Value)).To(Equal("value of t/b"))
		Expect(must(http.MethodGet, "/v1/kv/t/b?raw", "").body).To(Equal("value of t/b"))
		Expect(must(http.MethodGet, "/v1/kv/t/?keys", "").body).To(Equal(`["t/a/1","t/a/2","t/b"]`))
		Expect(must(http.MethodGet, "/v1/kv/t/?keys&separator=/", "").body).To(Equal(`["t/a/","t/b"]`))
	})

	It("wakes a blocking query on a change under its prefix only", func() {
		must(http.MethodPut, "/v1/kv/p/x", "1")
		before := must(http.MethodGet, "/v1/kv/p/?recurse", "")
		woken := make(chan reply, 1)
		go func() {
			answered, _ := send(http.MethodGet, fmt.Sprintf("/v1/kv/p/?recurse&wait=30s&index=%d", before.index), "")
			woken <- answered
		}()
		Eventually(func() uint64 { return stand.Stats().Blocking }).Should(BeEquivalentTo(1))
		must(http.MethodPut, "/v1/kv/other", "1")
		Consistently(woken, 50*time.Millisecond).ShouldNot(Receive())
		must(http.MethodPut, "/v1/kv/p/y", "1")
		var after reply
		Eventually(woken).Should(Receive(&after))
		Expect(after.index).To(BeNumerically(">", before.index))
	})

	It("returns a blocking query unchanged once its wait is over", func() {
		must(http.MethodPut, "/v1/kv/p/x", "1")
		before := must(http.MethodGet, "/v1/kv/p/x", "")
		after := must(http.MethodGet, fmt.Sprintf("/v1/kv/p/x?wait=20ms&index=%d", before.index), "")
		Expect(after.index).To(Equal(before.index))
	})

	Describe("sessions", func() {
		It("gives a lock to one session, and lets only it release", func() {
			first, second := newSession(`{"TTL":"30s"}`), newSession(`{"TTL":"30s"}`)
			Expect(must(http.MethodPut, "/v1/kv/lock?acquire="+first, "a").body).To(Equal("true"))
			Expect(must(http.MethodPut, "/v1/kv/lock?acquire="+second, "b").body).To(Equal("false"))
			Expect(must(http.MethodPut, "/v1/kv/lock?release="+second, "b").body).To(Equal("false"))
			held := read("/v1/kv/lock")[0]
			Expect(held.Session).To(Equal(first))
			Expect(held.LockIndex).To(BeEquivalentTo(1))
			Expect(must(http.MethodPut, "/v1/kv/lock?release="+first, "a").body).To(Equal("true"))
			Expect(must(http.MethodPut, "/v1/kv/lock?acquire="+second, "b").body).To(Equal("true"))
			Expect(read("/v1/kv/lock")[0].LockIndex).To(BeEquivalentTo(2))
		})

		It("refuses an unknown session", func() {
			Expect(must(http.MethodPut, "/v1/kv/lock?acquire=none", "").status).To(Equal(http.StatusInternalServerError))
			Expect(must(http.MethodPut, "/v1/session/renew/none", "").status).To(Equal(http.StatusNotFound))
		})

		It("keeps a lock from others for the lock delay after its session ended", func() {
			first := newSession(`{"LockDelay":"10m"}`)
			must(http.MethodPut, "/v1/kv/lock?acquire="+first, "a")
			must(http.MethodPut, "/v1/session/destroy/"+first, "")
			Expect(read("/v1/kv/lock")[0].Session).To(BeEmpty())
			second := newSession(`{}`)
			Expect(must(http.MethodPut, "/v1/kv/lock?acquire="+second, "b").body).To(Equal("false"))
		})

		It("ends a session at its TTL, deletes its keys if so asked, and wakes watchers", func() {
			leased := newSession(`{"TTL":"1s","Behavior":"delete","LockDelay":"0s"}`)
			must(http.MethodPut, "/v1/kv/leased?acquire="+leased, "a")
			before := must(http.MethodGet, "/v1/kv/leased", "")
			after := must(http.MethodGet, fmt.Sprintf("/v1/kv/leased?wait=30s&index=%d", before.index), "")
			Expect(after.status).To(Equal(http.StatusNotFound))
			Expect(must(http.MethodPut, "/v1/session/renew/"+leased, "").status).To(Equal(http.StatusNotFound))
		})
	})

	Describe("faults", func() {
		It("answers 429 over the rate, and does not run what it refuses", func() {
			stand.SetFaults(labapi.StoreFaults{Rate: 0.001, Burst: 2})
			must(http.MethodPut, "/v1/kv/a", "1")
			must(http.MethodPut, "/v1/kv/b", "1")
			Expect(must(http.MethodPut, "/v1/kv/c", "1").status).To(Equal(http.StatusTooManyRequests))
			stand.SetFaults(labapi.StoreFaults{})
			Expect(read("/v1/kv/?recurse")).To(HaveLen(2))
		})

		It("commits a write and loses its reply, as often as told", func() {
			stand.SetFaults(labapi.StoreFaults{LoseReplies: 1})
			_, err := send(http.MethodPut, "/v1/kv/a?cas=0", "1")
			Expect(err).To(HaveOccurred())
			Expect(read("/v1/kv/a")).To(HaveLen(1))
			Expect(must(http.MethodPut, "/v1/kv/a", "2").body).To(Equal("true"))
		})

		DescribeTable("an outage commits nothing",
			func(mode labapi.OutageMode) {
				stand.SetFaults(labapi.StoreFaults{Outage: mode})
				ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
				defer cancel()
				request, err := http.NewRequestWithContext(ctx, http.MethodPut, server.URL+"/v1/kv/a", strings.NewReader("1"))
				Expect(err).NotTo(HaveOccurred())
				response, err := server.Client().Do(request)
				if err == nil {
					Expect(response.StatusCode).To(Equal(http.StatusInternalServerError))
					Expect(response.Body.Close()).To(Succeed())
				}
				stand.SetFaults(labapi.StoreFaults{})
				Expect(read("/v1/kv/a")).To(BeEmpty())
			},
			Entry("that refuses", labapi.OutageRefuse),
			Entry("that answers errors", labapi.OutageError),
			Entry("that hangs", labapi.OutageHang),
		)

		It("comes back older after a rollback, and wakes watchers to it", func() {
			must(http.MethodPut, "/v1/kv/a", "old")
			old := must(http.MethodGet, "/v1/kv/a", "").index
			must(http.MethodPut, "/v1/kv/a", "new")
			must(http.MethodPut, "/v1/kv/b", "new")
			newest := must(http.MethodGet, "/v1/kv/a", "").index
			woken := make(chan reply, 1)
			go func() {
				answered, _ := send(http.MethodGet, fmt.Sprintf("/v1/kv/a?wait=30s&index=%d", newest), "")
				woken <- answered
			}()
			Eventually(func() uint64 { return stand.Stats().Blocking }).Should(BeEquivalentTo(1))
			stand.Rollback(old)
			var after reply
			Eventually(woken).Should(Receive(&after))
			Expect(after.index).To(Equal(old))
			Expect(string(read("/v1/kv/a")[0].Value)).To(Equal("old"))
			Expect(read("/v1/kv/b")).To(BeEmpty())
		})
	})
})

// fixed gives the same index whatever the key has.
func fixed(index string) func(uint64) string { return func(uint64) string { return index } }

// exact gives the index of the key.
func exact(index uint64) string { return strconv.FormatUint(index, 10) }
