package topology

import (
	"net/netip"
	"time"

	"github.com/bramblemast/bramblemast/pkg/target"
)

// firstZoneOctet is the third octet of the loopback addresses of the first
// zone; the next zone has the next octet.
const firstZoneOctet = 10

// ZoneNetwork returns the loopback network of a zone, 127.0.<10+i>.0/24 for
// zone i. A process that sends from an address in it counts as being in that
// zone; its connections get the latency of the zone. It is the zero Prefix if
// the zone is unknown.
func (d *Deployment) ZoneNetwork(zone target.Zone) netip.Prefix {
	for index, candidate := range d.Zones() {
		if candidate == zone {
			address := netip.AddrFrom4([4]byte{127, 0, byte(firstZoneOctet + index), 0})
			return netip.PrefixFrom(address, 24)
		}
	}
	return netip.Prefix{}
}

// NodeAddress returns the address from which node number index of a zone sends;
// there are 254 of them.
func (d *Deployment) NodeAddress(zone target.Zone, index int) netip.Addr {
	octets := d.ZoneNetwork(zone).Addr().As4()
	octets[3] = byte(1 + index%254)
	return netip.AddrFrom4(octets)
}

// CallerZone returns the zone that an address belongs to; empty if none.
func (d *Deployment) CallerZone(caller netip.Addr) target.Zone {
	zones := d.Zones()
	if !caller.Unmap().Is4() {
		return ""
	}
	octets := caller.Unmap().As4()
	index := int(octets[2]) - firstZoneOctet
	if octets[0] != 127 || octets[1] != 0 || index < 0 || index >= len(zones) {
		return ""
	}
	return zones[index]
}

// OneWayFrom returns the delay from a caller's address to a zone; zero for a
// caller outside every zone.
func (d *Deployment) OneWayFrom(caller netip.Addr, to target.Zone) time.Duration {
	from := d.CallerZone(caller)
	if from == "" {
		return 0
	}
	return d.OneWay(from, to).Std()
}
