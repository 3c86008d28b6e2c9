package httpbackend

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/backend/backendpb"
	"github.com/bramblemast/bramblemast/pkg/keyspace"
	"github.com/bramblemast/bramblemast/pkg/target"
)

// benchRecords makes an answer of about 512 bytes.
const benchRecords = 16

func benchHandler() http.Handler {
	result := &backendpb.SubResult{Matches: 100, ScoreSum: 1000}
	for number := range benchRecords {
		result.Records = append(result.Records, &backendpb.Record{
			Key: fmt.Sprintf("group1/item%010d", number), Score: int64(number),
		})
	}
	body, err := result.MarshalVT()
	if err != nil {
		panic(err)
	}
	checksum, length := Checksum(body), strconv.Itoa(len(body))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		header := w.Header()
		for _, name := range []string{backend.HeaderRequestID, backend.HeaderVersion, backend.HeaderRange} {
			header[name] = r.Header[name]
		}
		header.Set(backend.HeaderChecksum, checksum)
		header.Set("Content-Length", length)
		_, _ = w.Write(body)
	})
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkBatch sends batches of sub-requests to as many connections of one
// loopback server in this process, so that the figures are of client and
// server together. It reports time, processor time and allocations for one
// sub-request.
func BenchmarkBatch(b *testing.B) {
	server := httptest.NewServer(benchHandler())
	defer server.Close()
	address := target.ServerID(strings.TrimPrefix(server.URL, "http://"))
	for _, batch := range []int{4, 25, 220} {
		b.Run(strconv.Itoa(batch), func(b *testing.B) {
			client := New(Options{Connections: func(target.ServerID) int { return batch }})
			defer client.Close()
			sendBatch(b, client, address, batch)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			spent := processorTime()
			for b.Loop() {
				sendBatch(b, client, address, batch)
			}
			spent = processorTime() - spent
			runtime.ReadMemStats(&after)
			count := float64(b.N * batch)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/count, "ns/sub")
			b.ReportMetric(float64(spent.Nanoseconds())/count, "cpu-ns/sub")
			b.ReportMetric(float64(after.Mallocs-before.Mallocs)/count, "allocs/sub")
			b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/count, "B/sub")
		})
	}
}

func sendBatch(b *testing.B, client *Client, server target.ServerID, batch int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var running sync.WaitGroup
	for attempt := range uint32(batch) {
		running.Go(func() {
			_, err := client.Do(ctx, &backend.Request{
				RequestID: "0123456789abcdef", Attempt: attempt, Tenant: "tenant", Query: "group1/", Limit: benchRecords,
				Target: target.Target{Server: server, Version: 7, Range: keyspace.Full},
			})
			if err != nil {
				b.Error(err)
			}
		})
	}
	running.Wait()
}

// BenchmarkOwnWork measures what this package adds to net/http: building the
// request, checking and decoding the answer.
func BenchmarkOwnWork(b *testing.B) {
	recorder := httptest.NewRecorder()
	request := &backend.Request{
		RequestID: "0123456789abcdef", Attempt: 1, Tenant: "tenant", Query: "group1/", Limit: benchRecords,
		Target: target.Target{Server: "127.0.0.1:80", Version: 7, Range: keyspace.Full},
	}
	client := New(Options{})
	pool, err := client.pools.get(request.Target.Server)
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	const identity = "0123456789abcdef/1"
	body, err := client.options.Codec.EncodeQuery(request)
	if err != nil {
		b.Fatal(err)
	}
	benchHandler().ServeHTTP(recorder, client.newQuery(ctx, pool, request, identity, body))
	whole := recorder.Result()
	payload := recorder.Body.String()
	b.ReportAllocs()
	for b.Loop() {
		sent, err := client.options.Codec.EncodeQuery(request)
		if err != nil {
			b.Fatal(err)
		}
		client.newQuery(ctx, pool, request, identity, sent)
		answer := *whole
		answer.Body = &stringBody{strings.NewReader(payload)}
		if _, err := client.receive(ctx, request.Target.Server, request, identity, &answer); err != nil {
			b.Fatal(err)
		}
	}
}

type stringBody struct{ *strings.Reader }

func (*stringBody) Close() error { return nil }
