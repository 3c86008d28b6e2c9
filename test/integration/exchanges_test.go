package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/api"
	"github.com/bramblemast/bramblemast/internal/lab/load"
	"github.com/bramblemast/bramblemast/internal/lab/oracle"
	"github.com/bramblemast/bramblemast/pkg/outcome"
)

// exchangeLog keeps every exchange of an installation's loads and passes it on
// to the oracle. It is safe for concurrent use.
type exchangeLog struct {
	oracle *oracle.Oracle
	// mutex guards exchanges.
	mutex     sync.Mutex
	exchanges []*load.Exchange
}

// Observe implements load.Observer.
func (l *exchangeLog) Observe(exchange *load.Exchange) {
	l.oracle.Observe(exchange)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.exchanges = append(l.exchanges, exchange)
}

// all returns the exchanges so far.
func (l *exchangeLog) all() []*load.Exchange {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]*load.Exchange(nil), l.exchanges...)
}

// cutOff returns the exchanges that a node may have seen and that ended
// without an answer or a problem.
func (l *exchangeLog) cutOff() []*load.Exchange {
	var cut []*load.Exchange
	for _, exchange := range l.all() {
		if exchange.Err != nil && !exchange.NothingSent {
			cut = append(cut, exchange)
		}
	}
	return cut
}

// outcomes counts the exchanges by outcome and reason, for reports.
func (l *exchangeLog) outcomes() string {
	counts := make(map[string]int)
	for _, exchange := range l.all() {
		counts[strings.TrimRight(fmt.Sprintf("%s %s", exchange.Outcome(), exchange.Reason()), " ")]++
	}
	return fmt.Sprint(counts)
}

// caller sends single requests, as a caller without a load generator does.
type caller struct {
	http  *http.Client
	count int
}

func newCaller() *caller {
	one := &caller{http: &http.Client{Timeout: startTimeout}}
	DeferCleanup(one.http.CloseIdleConnections)
	return one
}

// order returns the body of a tint order.
func order(key string) api.QueryRequest {
	return api.QueryRequest{Tenant: orders.Tenant, Template: orders.Template, Key: key, Payload: json.RawMessage(`{"tint":"ochre"}`)}
}

// send asks one node once. What came of it is in the exchange.
func (c *caller) send(ctx context.Context, at *node, key string, body api.QueryRequest) *load.Exchange {
	c.count++
	request := &load.Request{Number: c.count, Load: &orders, Body: body, IdempotencyKey: key}
	exchange := &load.Exchange{Request: request, Attempt: 1, RequestID: fmt.Sprintf("single-%d", c.count), Target: at.callers, Sent: time.Now()}
	exchange.Err = c.roundTrip(ctx, exchange)
	exchange.Finished = time.Now()
	return exchange
}

func (c *caller) roundTrip(ctx context.Context, exchange *load.Exchange) error {
	encoded, err := json.Marshal(exchange.Request.Body)
	if err != nil {
		return err
	}
	message, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+exchange.Target+api.QueryPath, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	message.Header.Set("Content-Type", "application/json")
	message.Header.Set(api.HeaderRequestID, exchange.RequestID)
	message.Header.Set(api.HeaderIdempotencyKey, exchange.Request.IdempotencyKey)
	message.GetBody = nil // net/http must not repeat the request by itself
	response, err := c.http.Do(message)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	exchange.Status = response.StatusCode
	if response.StatusCode == http.StatusOK {
		return json.NewDecoder(response.Body).Decode(&exchange.Answer)
	}
	return json.NewDecoder(response.Body).Decode(&exchange.Problem)
}

// expectRefusedAtOnce checks that a request was not run, long before its
// deadline, with a time to retry.
func expectRefusedAtOnce(exchange *load.Exchange, within time.Duration) {
	GinkgoHelper()
	Expect(exchange.Err).NotTo(HaveOccurred())
	Expect(exchange.Status).To(Equal(http.StatusServiceUnavailable))
	Expect(exchange.Problem.Outcome).To(Equal(outcome.NotRun))
	Expect(exchange.Problem.RetryAfterMS).To(BeNumerically(">", 0))
	Expect(exchange.Finished.Sub(exchange.Sent)).To(BeNumerically("<", within))
}
