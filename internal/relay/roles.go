// Package relay distributes changes of the platform's store between hosts. On large deployments a few hosts of each failure domain
// read the store and the others follow these readers. A host whose calls the store rejects follows any host that it can reach.
package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
)

const (
	// maxDirectHosts is the number of hosts up to which each of them reads the store itself. The store charges for each call, and a
	// change costs one call by each host that reads the store. On small deployments that is a hundredth of the work's worth.
	maxDirectHosts = 24
	// readersPerDomain is the number of hosts of a failure domain that read the store on large deployments. If one fails, the
	// next host takes over without delay.
	readersPerDomain = 1
	// standbysPerDomain is the number of further hosts that are called when the readers don't respond.
	standbysPerDomain = 1
)

// readerOrder returns the hosts of a failure domain in the order in which they become readers of the store. All hosts of the domain
// compute the same order, and the loss of a host does not change the order of the others.
func readerOrder(hosts map[string]*catalog.Host, domain string) []*catalog.Host {
	var own []*catalog.Host
	for _, h := range hosts {
		if h.FailureDomain == domain {
			own = append(own, h)
		}
	}
	slices.SortFunc(own, func(a, b *catalog.Host) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	return own
}

// isReader reports whether a host is selected to read the store itself.
func isReader(view *catalog.View, self *catalog.Host) bool {
	if len(view.Hosts) <= maxDirectHosts {
		return true
	}
	order := readerOrder(view.Hosts, self.FailureDomain)
	return slices.ContainsFunc(order[:min(readersPerDomain, len(order))], func(h *catalog.Host) bool { return h.ID == self.ID })
}

// otherReaders returns the hosts of the other failure domains that read the store.
func otherReaders(view *catalog.View, self *catalog.Host) []*catalog.Host {
	byDomain := map[string]map[string]*catalog.Host{}
	for id, h := range view.Hosts {
		if h.FailureDomain == self.FailureDomain {
			continue
		}
		if byDomain[h.FailureDomain] == nil {
			byDomain[h.FailureDomain] = map[string]*catalog.Host{}
		}
		byDomain[h.FailureDomain][id] = h
	}
	var list []*catalog.Host
	for domain, hosts := range byDomain {
		list = append(list, readerOrder(hosts, domain)[:readersPerDomain]...)
	}
	return list
}

// sources returns the hosts that this host follows, in order of preference. It is empty if this host reads the store.
func sources(view *catalog.View, self *catalog.Host, failed func(host string) bool) []*catalog.Host {
	if isReader(view, self) {
		return nil
	}
	var list []*catalog.Host
	for i, h := range readerOrder(view.Hosts, self.FailureDomain) {
		if i < readersPerDomain+standbysPerDomain && h.ID != self.ID && !failed(h.ID) {
			list = append(list, h)
		}
	}
	return list
}
