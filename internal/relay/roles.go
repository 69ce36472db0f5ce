// Package relay lets hosts follow the platform's store through each other. On large deployments a few hosts of each failure
// domain read the store and the others follow those; a host that the store refuses follows any host that it reaches.
package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
)

const (
	// directHosts is the number of hosts up to which each of them reads the store itself. The store bills each call, and a
	// change costs one call on each host that reads it; on small deployments that is a hundredth of the work's worth.
	directHosts = 24
	// readers is the number of hosts of a failure domain that read the store on large deployments. A second one takes over
	// without delay when the first fails.
	readers = 1
	// standbys is the number of further hosts that are asked when the readers do not answer.
	standbys = 1
)

// readerOrder returns the hosts of a failure domain in the order in which they read the store. All hosts of the domain
// compute the same order, and the loss of a host moves no other one.
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

// reads reports whether a host reads the store itself.
func reads(view *catalog.View, self *catalog.Host) bool {
	if len(view.Hosts) <= directHosts {
		return true
	}
	order := readerOrder(view.Hosts, self.FailureDomain)
	return slices.ContainsFunc(order[:min(readers, len(order))], func(h *catalog.Host) bool { return h.ID == self.ID })
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
		list = append(list, readerOrder(hosts, domain)[:readers]...)
	}
	return list
}

// sources returns the hosts that this host follows, the first one preferred. It is empty if this host reads the store.
func sources(view *catalog.View, self *catalog.Host, failed func(host string) bool) []*catalog.Host {
	if reads(view, self) {
		return nil
	}
	var list []*catalog.Host
	for i, h := range readerOrder(view.Hosts, self.FailureDomain) {
		if i < readers+standbys && h.ID != self.ID && !failed(h.ID) {
			list = append(list, h)
		}
	}
	return list
}
