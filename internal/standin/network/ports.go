package network

import (
	"net"
	"net/netip"
)

// FreePorts returns ports that are free at an IP address of this machine. The kernel chooses them, and all are held until the last is
// chosen, so that none is chosen twice. They are free again until a process binds them: nothing else may use the IP address.
func FreePorts(ip netip.Addr, count int) ([]netip.AddrPort, error) {
	ports := make([]netip.AddrPort, 0, count)
	for range count {
		listener, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).AddrPort())
	}
	return ports, nil
}
