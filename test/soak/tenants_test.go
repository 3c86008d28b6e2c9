package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/platform/platformtest"
)

// Tenants of the soak. The keys of the standing ones are in every configuration; the roving
// tenant's come and go with each version, so that series of versions, restarts and faults all
// meet changes of keys.
const (
	standingTenants = 2
	rovingTenant    = "roving"
	// rovingLives is the number of versions that hold a key.
	rovingLives = 2
	// rovingEvery is the pause between two requests with keys of the roving tenant.
	rovingEvery = 25 * time.Millisecond
	// rovingStream is the number of their source of randomness, beyond those of the callers, which are
	// counted from 0.
	rovingStream = 7919
	// neverKey is in no configuration, forgedTenant stands where clients name themselves.
	neverKey     = "key-never"
	forgedTenant = "forged"
)

// standingTenant returns the name of a tenant whose key never changes.
func standingTenant(number int) string { return fmt.Sprint("standing-", number%standingTenants) }

// standingKey returns the key of a tenant that has one in every configuration.
func standingKey(tenant string) string { return "key-of-" + tenant }

// rovingKey returns the key that a version adds.
func rovingKey(version int) string { return fmt.Sprint("key-", version) }

// tenantsOf returns the tenants of a version.
func tenantsOf(version int) []platformtest.Tenant {
	var tenants []platformtest.Tenant
	for number := range standingTenants {
		name := standingTenant(number)
		tenants = append(tenants, platformtest.NewTenant(name, standingKey(name)))
	}
	var keys []string
	for each := version - rovingLives + 1; each <= version; each++ {
		keys = append(keys, rovingKey(each))
	}
	return append(append(tenants, platformtest.NewTenant(rovingTenant, keys...)), limitedTenants()...)
}

// newClient returns a client with a key, which names itself falsely.
func newClient(address, key string) *platformtest.Client {
	client := platformtest.NewClient(address).WithKey(key)
	client.Header.Set("Tenant", forgedTenant)
	return client
}

// keyed is what a caller with a key that comes and goes has got.
type keyed struct {
	reply
	// Version added the key; zero for one that is in no version.
	Version int
}

// rove sends requests with keys of the newest and of older versions to all nodes until ctx ends.
func (d *deployment) rove(ctx context.Context, seed uint64) *sync.WaitGroup {
	running := &sync.WaitGroup{}
	random := rand.New(rand.NewPCG(seed, rovingStream))
	running.Go(func() {
		for count := 0; ctx.Err() == nil; count++ {
			chosen := d.running[random.IntN(len(d.running))]
			version := max(0, d.history.newest().Number-random.IntN(3*rovingLives))
			running.Go(func() { d.askWith(ctx, chosen, version, fmt.Sprint("k", count)) })
			sleep(ctx, rovingEvery)
		}
	})
	return running
}

// askWith sends a request with the key that a version added, or with one of no configuration for version
// 0, and checks what can be checked at once.
func (d *deployment) askWith(ctx context.Context, chosen *node, version int, id string) {
	key := rovingKey(version)
	if version == 0 {
		key = neverKey
	}
	found, answer := d.lookUp(ctx, chosen, key, id)
	got := keyed{Version: version, reply: found}
	if chosen.currentLife() != got.Life {
		got.Life = -1
	}
	d.history.tookKeyed(got)
	if err := d.judge(got.reply, answer); err != nil {
		d.history.violated("%s with the key of version %d at %s: %v", id, version, chosen.name, err)
	}
}

// tookKeyed notes what a caller with a key that comes and goes has got.
func (h *history) tookKeyed(got keyed) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.keyed = append(h.keyed, got)
}

// judgeTenants checks what servers were told of callers, and what callers with keys have got.
func (d *deployment) judgeTenants(arrivals []arrival, timed bool) {
	for _, each := range d.all() {
		if seen := each.RequestsWithKey(); seen > 0 {
			d.history.violated("%d requests reached %s with a key", seen, each.ID)
		}
	}
	broken := append(checkNamed(arrivals, append(d.history.limited, d.history.replies...)), checkStanding(d.history.replies)...)
	broken = append(broken, checkRoving(d.history.keyed)...)
	if timed {
		broken = append(broken, d.checkRovingTimes()...)
	}
	for _, each := range broken {
		d.history.violated("%s", each)
	}
	statuses := make(map[int]int)
	for _, got := range d.history.keyed {
		statuses[got.Status]++
	}
	d.t.Logf("%d requests with keys that come and go, by status: %v", len(d.history.keyed), statuses)
}

// checkNamed checks that each request reached servers under its tenant's name alone.
func checkNamed(arrivals []arrival, replies []reply) []string {
	tenants := make(map[string]string, len(replies))
	for _, got := range replies {
		tenants[got.ID] = got.Tenant
	}
	var broken []string
	for _, each := range arrivals {
		want, isStanding := tenants[each.ID]
		if !isStanding {
			// Requests with keys that come and go, and deadly ones, have ids of their own kind.
			want = rovingTenant
			if each.ID[0] == 'd' {
				want = standingTenant(0)
			}
		}
		if len(each.Tenants) != 1 || each.Tenants[0] != want {
			broken = append(broken, fmt.Sprintf("%s reached %s as of %q, not of %q", each.ID, each.Server, each.Tenants, want))
		}
	}
	return broken
}

// checkStanding checks that a key that is in every configuration is never refused.
func checkStanding(replies []reply) []string {
	var broken []string
	for _, got := range replies {
		if got.Status == http.StatusUnauthorized {
			broken = append(broken, fmt.Sprintf("%s of %s was refused with 401 at %s", got.ID, got.Tenant, got.Node))
		}
	}
	return broken
}

// checkRoving checks that a key of no configuration is never served, and that a life of a node
// never goes back behind a version whose key it served or did no longer serve.
func checkRoving(replies []keyed) []string {
	type life struct {
		node   string
		number int
	}
	// least are what a life is known to have had in force, and since when.
	type known struct {
		version int
		since   time.Time
	}
	least := make(map[life][]known)
	var broken []string
	for _, got := range replies {
		if got.Status == http.StatusOK && got.Version == 0 {
			broken = append(broken, fmt.Sprintf("%s was served with a key of no configuration", got.ID))
		}
		if got.Status == http.StatusOK && got.Version > 0 {
			at := life{got.Node, got.Life}
			least[at] = append(least[at], known{got.Version, got.Ended})
		}
	}
	for _, got := range replies {
		if got.Status != http.StatusOK || got.Life < 0 {
			continue
		}
		for _, before := range least[life{got.Node, got.Life}] {
			if got.Version+rovingLives-1 < before.version && before.since.Before(got.Sent) {
				broken = append(broken, fmt.Sprintf("%s/%d served version %d and then a key that only %d had", got.Node, got.Life, before.version, got.Version))
				break
			}
		}
	}
	return broken
}

// checkRovingTimes checks that a removed key is refused and a new one served after the bound.
func (d *deployment) checkRovingTimes() []string {
	var broken []string
	for _, got := range d.history.keyed {
		if got.Version == 0 {
			continue
		}
		isInTouch := d.history.calm(got.Sent.Add(-contactBound), got.Ended)
		addedAt, _ := d.history.takenAt(got.Version)
		removedAt, isRemoved := d.history.takenAt(got.Version + rovingLives)
		isLong := got.Sent.Sub(removedAt) > d.configBound+arrivalSlack
		if got.Status == http.StatusOK && isRemoved && isInTouch && isLong {
			broken = append(broken, fmt.Sprintf("%s was served at %s with a key that was removed %s before", got.ID, got.Node, got.Sent.Sub(removedAt)))
		}
		if got.Status == http.StatusOK && isRemoved && d.isServedLapsed(got, removedAt) {
			broken = append(broken, fmt.Sprintf("%s was served at %s with a key that lapsed %s before", got.ID, got.Node, got.Sent.Sub(removedAt)))
		}
		isNew := got.Sent.Sub(addedAt) > d.configBound+arrivalSlack
		isHeld := !isRemoved || got.Ended.Before(removedAt)
		if got.Status == http.StatusUnauthorized && isHeld && isNew && isInTouch {
			broken = append(broken, fmt.Sprintf("%s was refused with 401 at %s with a key that was added %s before", got.ID, got.Node, got.Sent.Sub(addedAt)))
		}
	}
	return broken
}

// isServedLapsed reports whether a key was served later than strict revocation allows,
// whatever was broken. A store whose watches hear nothing says that nothing was removed.
func (d *deployment) isServedLapsed(got keyed, removedAt time.Time) bool {
	isLong := d.revokeBound > 0 && got.Sent.Sub(removedAt) > d.revokeBound+arrivalSlack
	return isLong && !d.history.was(storeSilent, removedAt.Add(-contactBound), got.Ended)
}

// takenAt returns when the store took a version, and whether it has.
func (h *history) takenAt(version int) (time.Time, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if version > len(h.versions) {
		return time.Time{}, false
	}
	return h.versions[version-1].At, true
}

// TestBrokenKeysAreFound: the checks of keys find what they are for.
func TestBrokenKeysAreFound(t *testing.T) {
	g := NewWithT(t)
	named := []reply{{ID: "r", Tenant: "standing-1"}}
	for id, tenants := range map[string][]string{"r": {"standing-1"}, "k7": {rovingTenant}, "d0x1": {"standing-0"}} {
		g.Expect(checkNamed([]arrival{{ID: id, Tenants: tenants}}, named)).To(BeEmpty())
		for _, wrong := range [][]string{nil, {forgedTenant}, append([]string{forgedTenant}, tenants...)} {
			g.Expect(checkNamed([]arrival{{ID: id, Tenants: wrong}}, named)).To(HaveLen(1))
		}
	}
	g.Expect(checkStanding([]reply{{ID: "r", Status: 401}, {ID: "s", Status: 503}})).To(HaveLen(1))

	now := time.Now()
	at := func(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }
	served := func(version, sent int) keyed {
		return keyed{Version: version, reply: reply{ID: "k", Node: "n", Status: 200, Sent: at(sent), Ended: at(sent)}}
	}
	g.Expect(checkRoving([]keyed{served(0, 0)})).To(HaveLen(1))
	g.Expect(checkRoving([]keyed{served(5, 0), served(4, 1), served(6, 2)})).To(BeEmpty())
	g.Expect(checkRoving([]keyed{served(5, 0), served(3, 1)})).To(HaveLen(1))

	tested := &deployment{shape: shape{configBound: 3 * time.Second}, history: newHistory()}
	for number := range 4 {
		tested.history.versions = append(tested.history.versions, version{Number: number + 1, At: at(10 * number)})
	}
	found := func(status, version, sent int) []string {
		got := served(version, sent)
		got.Status = status
		tested.history.keyed = []keyed{got}
		return tested.checkRovingTimes()
	}
	g.Expect(found(200, 1, 24)).To(HaveLen(1), "version 3 removed it at 20")
	g.Expect(found(200, 1, 22)).To(BeEmpty())
	g.Expect(found(401, 2, 14)).To(HaveLen(1), "version 2 added it at 10")
	g.Expect(found(401, 2, 12)).To(BeEmpty())
	g.Expect(found(401, 2, 31)).To(BeEmpty())
	tested.history.past = []interval{{Begin: at(18), End: at(23)}}
	g.Expect(found(200, 1, 24)).To(BeEmpty(), "something was broken")
	tested.revokeBound = 3 * time.Second
	g.Expect(found(200, 1, 24)).To(HaveLen(1), "which is no excuse where keys lapse")
	tested.history.past[0].What = storeSilent
	g.Expect(found(200, 1, 24)).To(BeEmpty())
}
