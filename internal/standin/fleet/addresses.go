package fleet

import (
	"fmt"
	"net/netip"
	"os"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/standin/network"
)

// First value of the second octet of the loopback addresses of each kind of process.
const (
	hostOctet    = 16
	relayOctet   = 32
	backendOctet = 48
	// octetsOfKind is the number of values of a kind, of which a process that starts deployments uses one.
	octetsOfKind = 16
)

// Addresses of a kind fill the last octet and then blocks of the third, of which a process that starts deployments has its own.
const (
	addressesOfBlock = 250
	blocksOfFleet    = 4
	fleetsOfOctet    = 60
)

// loopback returns an address of its own for the n-th process of a kind, so that links are told by IP address. Processes that start
// deployments at the same time have addresses of their own, or one would take a port that another has chosen for its host.
func loopback(kind byte, n int) netip.Addr {
	pid := os.Getpid()
	second := kind + byte(pid%octetsOfKind)
	third := byte(pid/octetsOfKind%fleetsOfOctet*blocksOfFleet + n/addressesOfBlock)
	return netip.AddrFrom4([4]byte{127, second, third, byte(1 + n%addressesOfBlock)})
}

// freePort returns a port that is free at an address.
func freePort(ip netip.Addr) (netip.AddrPort, error) {
	ports, err := network.FreePorts(ip, 1)
	if err != nil {
		return netip.AddrPort{}, err
	}
	return ports[0], nil
}

// place gives every process of a policy addresses on loopback. The peer addresses in the policy are those of the relay;
// real holds the ones that the hosts bind.
func place(doc *policy.Document) (real map[string]netip.AddrPort, err error) {
	real = map[string]netip.AddrPort{}
	for i := range doc.Hosts {
		h := &doc.Hosts[i]
		ports, err := network.FreePorts(loopback(hostOctet, i), 3)
		if err != nil {
			return nil, fmt.Errorf("addresses of host %s: %w", h.ID, err)
		}
		h.CallerAddress, h.PeerAddress, h.AdminAddress = ports[0], ports[1], ports[2]
		real[h.ID] = h.PeerAddress
		if h.PeerAddress, err = freePort(loopback(relayOctet, i)); err != nil {
			return nil, fmt.Errorf("relay address of host %s: %w", h.ID, err)
		}
	}
	for i := range doc.BackendServers {
		b := &doc.BackendServers[i]
		if b.Address, err = freePort(loopback(backendOctet, i)); err != nil {
			return nil, fmt.Errorf("address of backend server %s: %w", b.ID, err)
		}
	}
	return real, nil
}
