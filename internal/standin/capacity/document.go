// Package capacity measures how processor time, memory and messages of an entry host grow with the deployment, and
// computes the figures at the target size from the slopes.
package capacity

import (
	"fmt"
	"net/netip"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/rank"
)

// shape describes a generated deployment.
type shape struct {
	regions, domains, hostsPerDomain, serversPerDomain, services, sites, blocks int
}

// serviceName is the n-th generated service.
func serviceName(n int) string { return fmt.Sprintf("service-%02d", n) }

func domainName(n int) string { return fmt.Sprintf("domain-%02d", n) }

func regionName(n int) string { return fmt.Sprintf("region-%d", n) }

// hostID sorts by domain and number, so the first two hosts of a failure domain are its delegates.
func hostID(domain, n int) string { return fmt.Sprintf("%s-entry-%02d", domainName(domain), n) }

// document generates the policy of a shape. Addresses are replaced when the deployment starts.
func document(s shape) *policy.Document {
	doc := &policy.Document{Deployment: "capacity"}
	for i := range s.regions {
		doc.Regions = append(doc.Regions, policy.Region{Name: regionName(i)})
		for j := range i + 1 {
			doc.Distances = append(doc.Distances, policy.Distance{A: regionName(i), B: regionName(j), OneWayMs: oneWay(i, j)})
		}
	}
	for i := range s.services {
		doc.Services = append(doc.Services, policy.Service{
			Name: serviceName(i), Team: "capacity",
			Routes: []policy.Route{{PathPrefix: "/", Rank: rank.Interactive, Repeatable: true}},
		})
	}
	for i := range s.domains {
		addDomain(doc, s, i)
	}
	for i := range s.sites {
		doc.Sites = append(doc.Sites, policy.Site{Name: fmt.Sprintf("site-%02d", i), FailureDomain: domainName(i % s.domains)})
	}
	for i := range s.blocks {
		doc.Blocks = append(doc.Blocks, block(i, s.sites))
	}
	return doc
}

// oneWay is the delay in milliseconds between two regions, or within one.
func oneWay(a, b int) float64 {
	if a == b {
		return 4
	}
	return 30
}

func addDomain(doc *policy.Document, s shape, i int) {
	doc.FailureDomains = append(doc.FailureDomains, policy.FailureDomain{Name: domainName(i), Region: regionName(i % s.regions)})
	for n := range s.hostsPerDomain {
		k := len(doc.Hosts)
		doc.Hosts = append(doc.Hosts, policy.Host{
			ID: hostID(i, n), FailureDomain: domainName(i),
			CallerAddress: address(1, k), PeerAddress: address(2, k), AdminAddress: address(3, k),
		})
	}
	for n := range s.serversPerDomain {
		k := len(doc.BackendServers)
		doc.BackendServers = append(doc.BackendServers, policy.BackendServer{
			ID: fmt.Sprintf("%s-server-%03d", domainName(i), n), Service: serviceName(n % s.services),
			FailureDomain: domainName(i), Address: address(4, k), Slots: 9,
		})
	}
}

// address is an address for documents that no process binds.
func address(kind, n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(kind), byte(n >> 8), byte(n)}), 7080)
}

// block returns the n-th /24 with one or two preferred sites.
func block(n, sites int) policy.Block {
	prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(20 + n>>16), byte(n >> 8), byte(n), 0}), 24)
	names := []string{fmt.Sprintf("site-%02d", n%sites)}
	if second := (n / sites * 5) % sites; n%2 == 0 && second != n%sites {
		names = append(names, fmt.Sprintf("site-%02d", second))
	}
	return policy.Block{Prefix: prefix, Sites: names}
}
