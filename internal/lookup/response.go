package lookup

import (
	"net/netip"
	"slices"

	"github.com/foxtailtack/foxtailtack/internal/policy"
)

// Limits of a response.
const (
	// MaxHosts is the largest number of hosts in a response.
	MaxHosts = 6
	// maxNearestHosts limits the hosts of the nearest site while other sites have hosts, so that the response is still
	// usable if the failure domain of the nearest site is lost.
	maxNearestHosts = 4
)

// Response is the response to a look-up.
type Response struct {
	Version policy.Version `json:"version"`
	// TTLMs is the time in milliseconds for which the caller may cache the response.
	TTLMs int `json:"ttl_ms"`
	// Hosts are in the order in which a caller uses them after a failure.
	Hosts []Host `json:"hosts"`
}

// Host is an entry host in a response.
type Host struct {
	ID            string         `json:"id"`
	Address       netip.AddrPort `json:"address"`
	FailureDomain string         `json:"failure_domain"`
	Region        string         `json:"region"`
	// Weight is the host's share of first attempts relative to the other hosts. A host with weight 0 is used only after
	// other hosts failed.
	Weight int `json:"weight"`
}

// builder builds the response for one service and site order.
type builder struct {
	table   *Table
	service *policy.Service
	order   uint16
	// candidatesAt returns the hosts of a site that accept callers, highest score first.
	candidatesAt func(site uint16) []candidate
	// isLeaving reports whether a host has announced that it is stopping.
	isLeaving func(id string) bool
	// overflowShare returns the share of a failure domain's callers that goes to the other failure domains of its region.
	overflowShare func(failureDomain string) float64
}

// build returns the response. The response has no hosts only if every host is retired or leaving.
func (b *builder) build() *Response {
	hosts := b.servingHosts()
	if len(hosts) == 0 {
		hosts = b.configuredHosts()
	}
	return &Response{Version: b.table.snapshot.Version, TTLMs: b.service.LookupTTLMs, Hosts: hosts}
}

// servingHosts lists the serving hosts, site by site. Only the nearest site with usable slots has weights above 0. If its
// failure domain overflows, hosts in the region's other failure domains have weights above 0 too.
func (b *builder) servingHosts() []Host {
	var nearest, others []candidate
	for _, site := range b.table.sites(b.order) {
		list := b.candidatesAt(site)
		if nearest == nil && hasWeight(list) {
			nearest = list
			continue
		}
		for _, c := range list {
			c.weight = 0
			others = append(others, c)
		}
		if b.hasEnoughHosts(nearest, others) {
			break
		}
	}
	if nearest == nil {
		return b.withEqualWeights(others)
	}
	nearest = nearest[:min(len(nearest), max(maxNearestHosts, MaxHosts-len(others)))]
	others = b.selectFallbacks(nearest[0].host, others, MaxHosts-len(nearest))
	b.applyOverflow(nearest, others)
	return b.responseHosts(slices.Concat(nearest, others))
}

// hasEnoughHosts reports whether further sites cannot change the response. This is so if the hosts fill the response and
// the last one is in another region, because selectFallbacks needs no host beyond that one.
func (b *builder) hasEnoughHosts(nearest, others []candidate) bool {
	if len(nearest) == 0 || len(others) < MaxHosts {
		return false
	}
	region := b.table.snapshot.Region
	return region(nearest[0].host.FailureDomain) != region(others[len(others)-1].host.FailureDomain)
}

// selectFallbacks selects count hosts of further sites and keeps their order. The selection includes a host in another
// failure domain and a host in another region if there are any, because a whole failure domain or region can be lost.
func (b *builder) selectFallbacks(nearest *policy.Host, others []candidate, count int) []candidate {
	region := b.table.snapshot.Region
	otherDomain := slices.IndexFunc(others, func(c candidate) bool { return c.host.FailureDomain != nearest.FailureDomain })
	otherRegion := slices.IndexFunc(others, func(c candidate) bool {
		return region(c.host.FailureDomain) != region(nearest.FailureDomain)
	})
	var selected []int
	for _, i := range []int{otherDomain, otherRegion} {
		if i >= 0 && !slices.Contains(selected, i) {
			selected = append(selected, i)
		}
	}
	for i := 0; i < len(others) && len(selected) < count; i++ {
		if !slices.Contains(selected, i) {
			selected = append(selected, i)
		}
	}
	slices.Sort(selected)
	list := make([]candidate, len(selected))
	for i, index := range selected {
		list[i] = others[index]
	}
	return list
}

// configuredHosts lists hosts of the policy for a process that knows no serving host. The process may be partitioned from
// all other hosts, so it also lists hosts that are unreachable from here.
func (b *builder) configuredHosts() []Host {
	var list []candidate
	for _, site := range b.table.sites(b.order) {
		for _, h := range b.table.hostsAt[site] {
			if !b.isLeaving(h.ID) {
				list = append(list, candidate{host: h})
			}
		}
	}
	return b.withEqualWeights(list)
}

// withEqualWeights gives each host weight 1, because none of the listed hosts has a weight.
func (b *builder) withEqualWeights(list []candidate) []Host {
	hosts := b.responseHosts(list)
	for i := range hosts {
		hosts[i].Weight = 1
	}
	return hosts
}

func (b *builder) responseHosts(list []candidate) []Host {
	hosts := make([]Host, 0, MaxHosts)
	for _, c := range list[:min(len(list), MaxHosts)] {
		hosts = append(hosts, Host{
			ID:            c.host.ID,
			Address:       c.host.CallerAddress,
			FailureDomain: c.host.FailureDomain,
			Region:        b.table.snapshot.Region(c.host.FailureDomain),
			Weight:        c.weight,
		})
	}
	return hosts
}

func hasWeight(list []candidate) bool {
	return slices.ContainsFunc(list, func(c candidate) bool { return c.weight > 0 })
}
