package entry

import (
	"net/netip"
	"time"
)

// resolve returns the peer address of a host by its id, or of a bootstrap peer by its address.
func (e *Entry) resolve(host string) (netip.AddrPort, time.Duration, bool) {
	if snapshot := e.config.Snapshot(); snapshot != nil {
		if h := snapshot.Host(host); h != nil {
			return h.PeerAddress, snapshot.OneWayDelay(e.settings.FailureDomain, h.FailureDomain), true
		}
	}
	address, err := netip.ParseAddrPort(host)
	return address, 0, err == nil
}
