package quota_test

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/bramblemast/bramblemast/pkg/peer"
)

var errRefused = errors.New("connection refused")

// refusingTransport is the transport of a node that cannot open connections to some addresses.
type refusingTransport struct {
	peer.Transport
	deployment *deployment
}

// Call implements peer.Transport.
func (r refusingTransport) Call(ctx context.Context, address peer.Address, kind peer.Kind, request, reply proto.Message) error {
	r.deployment.mutex.Lock()
	isRefused := r.deployment.refusing[address]
	r.deployment.mutex.Unlock()
	if isRefused {
		return errRefused
	}
	return r.Transport.Call(ctx, address, kind, request, reply)
}

// setRefusing makes a node refuse all incoming connections, as with a full accept queue, while the
// connections that it opens itself work; or makes it accept them again.
func (d *deployment) setRefusing(node int, isRefusing bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.refusing[peer.Address(d.nodes[node].name)] = isRefusing
}

// TestTheSumHoldsWhileACoordinatorReachesOthersAndNobodyReachesIt guards against granting the limit
// twice: the coordinator receives half of the requests of a tenant at twelve times its usual rate
// and could grant the whole limit to them, while the other nodes report to a stand-in.
func TestTheSumHoldsWhileACoordinatorReachesOthersAndNobodyReachesIt(t *testing.T) {
	for tenant, limit := range tenants() {
		for _, lead := range []time.Duration{3 * time.Second, 0} {
			t.Run(tenant+", "+lead.String()+" ahead", func(t *testing.T) {
				t.Parallel()
				highest, after := 0, 0
				simulate(t, 67, tenants(), func(d *deployment) {
					coordinator := d.coordinatorOf(tenant)
					weighted := func(perSecond float64) load {
						traffic := d.even(tenant, perSecond)
						traffic.weights[coordinator] = 1
						return traffic
					}
					usual := limit.PerSecond / 1.6
					d.run(6*time.Second, weighted(usual))
					d.run(lead, weighted(12*usual))
					d.setRefusing(coordinator, true)
					d.run(12*time.Second, weighted(12*usual))
					d.setRefusing(coordinator, false)
					healed := d.elapsed()
					d.run(8*time.Second, weighted(12*usual))
					highest = d.maxInWindow(tenant)
					after = d.admittedBetween(tenant, healed+3*time.Second, healed+8*time.Second)
				})
				t.Logf("at most %d in 5 s, allowed %.0f; %.2f of the limit in the last 5 s", highest, allowedInWindow(limit), float64(after)/(5*limit.PerSecond))
				g := NewWithT(t)
				g.Expect(float64(highest)).To(BeNumerically("<=", allowedInWindow(limit)))
				g.Expect(float64(after)).To(BeNumerically(">=", 0.9*5*limit.PerSecond))
			})
		}
	}
}
