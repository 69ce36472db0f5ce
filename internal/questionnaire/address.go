package questionnaire

import (
	"fmt"
	"net/netip"
	"strings"
)

const (
	defaultCallerPort = 7080
	defaultPeerPort   = 7081
	defaultAdminPort  = 7082

	// portsPerHost is the number of listening ports of an entry host: caller, peer and administration.
	portsPerHost = 3
	maxPort      = 65_535
	// maxRangeAddresses limits the size of an address range, so that a mistyped last address does not exhaust the memory.
	maxRangeAddresses = 65_536
)

// hostAddresses holds the addresses of the three listeners of an entry host.
type hostAddresses struct {
	caller, peer, admin netip.AddrPort
}

// parseRange returns the addresses of a range in the form "first-last", or a single address.
func parseRange(text string) ([]netip.Addr, error) {
	first, last, found := strings.Cut(text, "-")
	if !found {
		last = first
	}
	from, err := netip.ParseAddr(strings.TrimSpace(first))
	if err != nil {
		return nil, fmt.Errorf("want an IP address, or two joined by a hyphen")
	}
	to, err := netip.ParseAddr(strings.TrimSpace(last))
	if err != nil || to.BitLen() != from.BitLen() || to.Less(from) {
		return nil, fmt.Errorf("want a last address that is not below the first one")
	}
	var list []netip.Addr
	for a := from; a.IsValid() && !to.Less(a); a = a.Next() {
		if len(list) == maxRangeAddresses {
			return nil, fmt.Errorf("want at most %d addresses", maxRangeAddresses)
		}
		list = append(list, a)
	}
	return list, nil
}

// allocatePorts assigns an address and the given number of consecutive ports to each of count processes and returns the
// address with the first port of each process. It uses the addresses in turn, and the next ports once all addresses are in
// use, so that all processes have the same ports if there is an address for each of them.
func allocatePorts(ips []netip.Addr, start, count, ports int) ([]netip.AddrPort, error) {
	last := start + (count-1)/len(ips)*ports + ports - 1
	if start < 1 || last > maxPort {
		return nil, fmt.Errorf("want a first port from 1 to %d", maxPort-(last-start))
	}
	list := make([]netip.AddrPort, count)
	for i := range list {
		list[i] = netip.AddrPortFrom(ips[i%len(ips)], uint16(start+i/len(ips)*ports))
	}
	return list, nil
}

func (p Ports) withDefaults() Ports {
	if p.Caller == 0 {
		p.Caller = defaultCallerPort
	}
	if p.Peer == 0 {
		p.Peer = defaultPeerPort
	}
	if p.Admin == 0 {
		p.Admin = defaultAdminPort
	}
	return p
}

func (p Ports) hostAddressesAt(ip netip.Addr) hostAddresses {
	return hostAddresses{
		caller: netip.AddrPortFrom(ip, uint16(p.Caller)),
		peer:   netip.AddrPortFrom(ip, uint16(p.Peer)),
		admin:  netip.AddrPortFrom(ip, uint16(p.Admin)),
	}
}

func consecutivePorts(first netip.AddrPort) hostAddresses {
	return hostAddresses{
		caller: first,
		peer:   netip.AddrPortFrom(first.Addr(), first.Port()+1),
		admin:  netip.AddrPortFrom(first.Addr(), first.Port()+2),
	}
}
