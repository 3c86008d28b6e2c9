package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/bramblemast/bramblemast/platform/platformtest"
)

// Traffic of the soak.
const (
	callers        = 6
	callerPause    = 15 * time.Millisecond
	callerDeadline = 2 * time.Second
	// leavesEarly is the share of requests whose caller leaves after a moment.
	leavesEarly = 0.03
)

// traffic sends requests to all nodes until ctx ends.
func (d *deployment) traffic(ctx context.Context, seed uint64) *sync.WaitGroup {
	running := &sync.WaitGroup{}
	for number := range callers {
		random := rand.New(rand.NewPCG(seed, uint64(number)))
		own := &caller{tenant: standingTenant(number)}
		if number%2 == 1 {
			own.kept = make(map[*node]*platformtest.Client)
		}
		running.Go(func() {
			defer own.close()
			for count := 0; ctx.Err() == nil; count++ {
				d.call(ctx, own, random, fmt.Sprintf("r%dx%d", number, count))
				time.Sleep(callerPause)
			}
		})
	}
	return running
}

// caller is who sends requests, one at a time. It opens a connection for each, or keeps one
// to each node for as long as the node's process lives.
type caller struct {
	// kept are the clients with kept connections; nil for none.
	kept map[*node]*platformtest.Client
	// tenant is whose key it has.
	tenant string
}

func (c *caller) client(to *node) *platformtest.Client {
	if known := c.kept[to]; known != nil {
		return known
	}
	created := newClient(to.clients, standingKey(c.tenant))
	created.HTTP.Transport = &http.Transport{DisableCompression: true, DisableKeepAlives: c.kept == nil}
	if c.kept != nil {
		c.kept[to] = created
	}
	return created
}

func (c *caller) close() {
	for _, each := range c.kept {
		each.HTTP.CloseIdleConnections()
	}
}

// call sends one request to a node and checks what can be checked at once.
func (d *deployment) call(ctx context.Context, from *caller, random *rand.Rand, id string) {
	chosen := d.running[random.IntN(len(d.running))]
	method, path := d.draw(random)
	got := reply{ID: id, Node: chosen.name, Life: chosen.currentLife(), Path: path, Sent: time.Now(), Repeated: path != "/orders/"}
	limited, cancel := context.WithTimeout(ctx, callerDeadline+time.Second)
	defer cancel()
	if random.Float64() < leavesEarly {
		limited, cancel = context.WithTimeout(limited, time.Duration(random.IntN(10))*time.Millisecond)
		defer cancel()
	}
	got.IsKept, got.Tenant = from.kept != nil, from.tenant
	answer, err := from.client(chosen).Do(limited, method, host, path, id, "", callerDeadline)
	got.Ended, got.Status, got.HasWait = time.Now(), answer.Status, answer.Header.Get("Retry-After") != ""
	if err != nil {
		got.Status, got.Failure = 0, err.Error()
		if isCutOff(err) {
			got.Failure = failureCutOff
		}
	}
	if chosen.currentLife() != got.Life {
		got.Life = -1
	}
	d.history.took(got)
	if err := d.judge(got, answer); err != nil {
		d.history.violated("%s %s at %s: %v", id, path, chosen.name, err)
	}
}

// lookUp sends one request of the route to a single service over a connection of its own, and returns
// what its caller saw.
func (d *deployment) lookUp(ctx context.Context, chosen *node, key, id string) (reply, platformtest.Answer) {
	got := reply{ID: id, Node: chosen.name, Life: chosen.currentLife(), Path: "/lookup/", Sent: time.Now(), Repeated: true}
	limited, cancel := context.WithTimeout(ctx, callerDeadline+time.Second)
	defer cancel()
	client := newClient(chosen.clients, key)
	defer client.HTTP.CloseIdleConnections()
	answer, err := client.Do(limited, http.MethodGet, host, got.Path, id, "", callerDeadline)
	got.Ended, got.Status, got.HasWait = time.Now(), answer.Status, answer.Header.Get("Retry-After") != ""
	if err != nil {
		got.Status, got.Failure = 0, err.Error()
	}
	return got, answer
}

// failureCutOff is a connection that ended without an answer after the request
// was sent.
const failureCutOff = "cut off"

func isCutOff(err error) bool { return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) }

// draw returns the next request: mostly gathered ones.
func (d *deployment) draw(random *rand.Rand) (method, path string) {
	switch drawn := random.IntN(10); {
	case drawn < 5:
		return http.MethodGet, "/tally/"
	case drawn < 7:
		return http.MethodGet, "/lookup/"
	case drawn < 9:
		return http.MethodPost, "/orders/"
	}
	newest := d.history.newest().Number
	return http.MethodGet, fmt.Sprintf(versionPath, max(1, newest-random.IntN(3)))
}

// judge checks one answer by itself.
func (d *deployment) judge(got reply, answer platformtest.Answer) error {
	switch {
	case got.Failure != "":
		return nil
	case isRefusal(got.Status) && !got.HasWait:
		return fmt.Errorf("refused with %d and no time to retry", got.Status)
	case got.Status == 200 && strings.HasPrefix(got.Path, "/tally/"):
		return checkGathered(got.ID, answer, d.known(), d.history.shardSets())
	case got.Status == 200:
		return checkSingle(got.ID, answer, d.known())
	}
	return nil
}
