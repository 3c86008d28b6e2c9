package edge

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	wire "github.com/bramblemast/bramblemast/api/limits"
	"github.com/bramblemast/bramblemast/pkg/quota"
	"github.com/bramblemast/bramblemast/pkg/route"
)

// minListInterval is the minimum time between two snapshots of all limits, because requests of
// tenants wait while one is made. Requests for the page within it get the last snapshot.
const minListInterval = 200 * time.Millisecond

// listCache holds the last snapshot of all limits. Snapshots are made on request only, so that they
// cost nothing while nobody uses the page.
type listCache struct {
	// mutex guards the fields below, and is held while any snapshot is made: requests of tenants wait
	// for one snapshot at most, however many callers the page has at once.
	mutex sync.Mutex
	// message was made at madeAt and is immutable.
	message *wire.Node
	madeAt  time.Time
}

// serveLimits answers GET wire.Path with what the node knows of the limits of tenants.
func (n *Node) serveLimits(writer http.ResponseWriter, request *http.Request) {
	if n.limits == nil {
		http.Error(writer, "limits of tenants are not held by this node", http.StatusNotFound)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(writer).Encode(n.limits.message(request.URL.Query().Get(wire.ParameterTenant))); err != nil {
		n.logger.Debug("cannot send limits page", "error", err.Error())
	}
}

// message returns the page for one tenant, or for all tenants if the name is empty.
func (l *limits) message(tenant string) *wire.Node {
	l.list.mutex.Lock()
	defer l.list.mutex.Unlock()
	if tenant != "" {
		return l.encode(tenant)
	}
	if l.list.message == nil || time.Since(l.list.madeAt) >= minListInterval {
		l.list.message, l.list.madeAt = l.encode(""), time.Now()
	}
	return l.list.message
}

// encode makes a snapshot of the limits of one tenant or of all, and returns the message for it.
func (l *limits) encode(tenant string) *wire.Node {
	snapshot := l.limiter.Snapshot(tenant)
	message := &wire.Node{
		Node: snapshot.Node, Zone: snapshot.Zone, At: snapshot.At, CountedSince: snapshot.StartedAt,
		Nodes: snapshot.Nodes, Silent: snapshot.Silent, SilentCount: snapshot.SilentCount,
		Coordinated: make([]wire.Coordinated, 0, len(snapshot.Coordinated)), CoordinatedLeftOut: snapshot.CoordinatedLeftOut,
		Served: make([]wire.Served, 0, len(snapshot.Served)), ServedLeftOut: snapshot.ServedLeftOut,
	}
	if table := l.node.state.Table(); table != nil {
		message.ConfigurationVersion = table.Version
	}
	for _, coordinated := range snapshot.Coordinated {
		message.Coordinated = append(message.Coordinated, encodeCoordinated(coordinated))
	}
	for _, served := range snapshot.Served {
		message.Served = append(message.Served, encodeServed(served, snapshot))
	}
	return message
}

// encodeLimit returns the message for a limit.
func encodeLimit(limit route.RateLimit) wire.Limit {
	return wire.Limit{PerSecond: limit.PerSecond, Burst: limit.Burst}
}

// encodeCoordinated returns the message for a tenant that the node coordinates.
func encodeCoordinated(tenant quota.CoordinatedTenant) wire.Coordinated {
	encoded := wire.Coordinated{
		Tenant: tenant.Tenant, Limit: encodeLimit(tenant.Limit), First: tenant.IsFirst,
		AskedPerSecond: tenant.RequestsPerSecond, Share: tenant.Share, Level: tenant.Tokens,
		KeptBackPerSecond: tenant.ReservedPerSecond, Reporting: tenant.Reporting, Reporters: tenant.Reporters,
	}
	if !tenant.AtLimitSince.IsZero() {
		encoded.AtLimitSince = &tenant.AtLimitSince
	}
	return encoded
}

// encodeServed returns the message for a tenant whose requests the node has received.
func encodeServed(tenant quota.ServedTenant, snapshot quota.Snapshot) wire.Served {
	encoded := wire.Served{Tenant: tenant.Tenant, Limit: encodeLimit(tenant.Limit), Idle: tenant.IsIdle, Admitted: tenant.Admitted}
	for reason, count := range tenant.Refused {
		if encoded.Refused == nil {
			encoded.Refused = make(map[string]uint64, len(tenant.Refused))
		}
		encoded.Refused[reason.String()] = count
	}
	if tenant.IsIdle {
		return encoded
	}
	encoded.DecidedBy, encoded.Coordinator = tenant.Mode.String(), tenant.Coordinator
	encoded.Share, encoded.ShareOld = tenant.Share, tenant.IsShareStale
	encoded.EntitledPerSecond = tenant.EntitledPerSecond
	if window := snapshot.Window.Seconds(); window > 0 {
		encoded.AdmittedPerSecond = tenant.AdmittedInWindow / window
	}
	if !tenant.ShareReceivedAt.IsZero() {
		age := snapshot.At.Sub(tenant.ShareReceivedAt).Milliseconds()
		encoded.ShareAgeMS = &age
	}
	return encoded
}
