package fleet

import (
	"net/netip"

	"github.com/foxtailtack/foxtailtack/internal/standin/network"
)

// storePlace stands for the platform in the rule of cuts.
const storePlace = "store"

// startRelay puts the relay in front of each host's peer address, and one in front of the store for each failure domain.
func (f *Fleet) startRelay() error {
	f.Relay = network.New(f.link)
	for _, h := range f.Document.Hosts {
		if _, err := f.Relay.Listen(h.PeerAddress, f.real[h.ID], netip.Addr{}); err != nil {
			return err
		}
	}
	f.domainOf[f.platform.Addr()] = storePlace
	for i, d := range f.Document.FailureDomains {
		source := loopback(relayOctet, 210+i)
		f.domainOf[source] = d.Name
		address, err := freePort(source)
		if err != nil {
			return err
		}
		if _, err := f.Relay.Listen(address, f.platform, source); err != nil {
			return err
		}
		f.stores[d.Name] = address
	}
	return nil
}

// link gives the delay between two hosts as the policy describes it, and applies cuts.
func (f *Fleet) link(source, destination netip.Addr) network.Link {
	from, to := f.domainOf[source], f.domainOf[destination]
	f.mu.Lock()
	cut := f.cut
	f.mu.Unlock()
	link := network.Link{}
	if cut != nil && cut(from, to) {
		link.Silent, link.Refused = true, true
	}
	if !f.Options.NoDelays {
		link.Delay = f.snapshot.OneWayDelay(f.place(from), f.place(to))
	}
	return link
}

// place maps the store to a failure domain of its region.
func (f *Fleet) place(domain string) string {
	if domain != storePlace {
		return domain
	}
	for _, d := range f.Document.FailureDomains {
		if d.Region == f.Options.StoreRegion {
			return d.Name
		}
	}
	return domain
}

// Cut cuts the links between places for which the rule is true; nil heals all. Places are failure domains and "store".
func (f *Fleet) Cut(rule func(from, to string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = rule
}

// Isolate cuts a failure domain from all others and from the store.
func (f *Fleet) Isolate(domain string) {
	f.Cut(func(from, to string) bool { return (from == domain) != (to == domain) })
}
