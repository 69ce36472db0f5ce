package lookup_test

import (
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/lookup"
	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/policy"
)

var start = time.Date(2026, 12, 4, 3, 0, 0, 0, time.UTC)

// deploymentSize holds the number of objects in a generated deployment.
type deploymentSize struct{ regions, domains, sites, hosts, blocks int }

// deployment generates a document. It assigns failure domains to regions, sites to failure domains and hosts to sites, each
// round-robin.
func deployment(n deploymentSize) *policy.Document {
	doc := &policy.Document{Deployment: "generated"}
	for i := range n.regions {
		doc.Regions = append(doc.Regions, policy.Region{Name: fmt.Sprintf("region-%d", i)})
		doc.Distances = append(doc.Distances, policy.Distance{A: fmt.Sprintf("region-%d", i), B: fmt.Sprintf("region-%d", i), OneWayMs: 4})
		for j := range i {
			doc.Distances = append(doc.Distances, policy.Distance{A: fmt.Sprintf("region-%d", i), B: fmt.Sprintf("region-%d", j), OneWayMs: float64(20 + 10*(i-j))})
		}
	}
	for i := range n.domains {
		doc.FailureDomains = append(doc.FailureDomains, policy.FailureDomain{Name: fmt.Sprintf("domain-%d", i), Region: fmt.Sprintf("region-%d", i%n.regions)})
	}
	for i := range n.sites {
		doc.Sites = append(doc.Sites, policy.Site{Name: fmt.Sprintf("site-%d", i), FailureDomain: fmt.Sprintf("domain-%d", i%n.domains)})
	}
	for i := range n.hosts {
		doc.Hosts = append(doc.Hosts, generatedHost(i, n))
	}
	doc.Services = []policy.Service{{Name: "catalogue", Team: "spares", Routes: []policy.Route{{PathPrefix: "/"}}}}
	for i := range n.domains {
		doc.BackendServers = append(doc.BackendServers, policy.BackendServer{
			ID: fmt.Sprintf("b%d", i), Service: "catalogue", FailureDomain: fmt.Sprintf("domain-%d", i), Address: address(3, i), Slots: 3,
		})
	}
	for i := range n.blocks {
		doc.Blocks = append(doc.Blocks, generatedBlock(i, n))
	}
	return doc
}

func generatedHost(i int, n deploymentSize) policy.Host {
	site := i % n.sites
	return policy.Host{
		ID:            fmt.Sprintf("h%03d", i),
		FailureDomain: fmt.Sprintf("domain-%d", site%n.domains),
		Site:          fmt.Sprintf("site-%d", site),
		CallerAddress: address(0, i),
		PeerAddress:   address(1, i),
		AdminAddress:  address(2, i),
	}
}

// generatedBlock returns an IPv4 /24, or an IPv6 /48 for every eighth block, with one or two preferred sites.
func generatedBlock(i int, n deploymentSize) policy.Block {
	prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(20 + i>>16), byte(i >> 8), byte(i), 0}), 24)
	if i%8 == 7 {
		prefix = netip.PrefixFrom(netip.AddrFrom16([16]byte{0x20, 0x01, 0x0d, byte(i >> 16), byte(i >> 8), byte(i)}), 48)
	}
	sites := []string{fmt.Sprintf("site-%d", (i*7919)%n.sites)}
	if i%2 == 0 {
		sites = append(sites, fmt.Sprintf("site-%d", (i/n.sites*5+i)%n.sites))
	}
	if len(sites) == 2 && sites[0] == sites[1] {
		sites = sites[:1]
	}
	return policy.Block{Prefix: prefix, Sites: sites}
}

func address(kind, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(kind), byte(i >> 8), byte(i)}), 7000)
}

func compile(t testing.TB, doc *policy.Document) *policy.Snapshot {
	t.Helper()
	snapshot, err := policy.Compile(doc, 7, "change")
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

func compileTable(t testing.TB, doc *policy.Document, domain string) *lookup.Table {
	t.Helper()
	built, err := lookup.Compile(compile(t, doc), domain)
	if err != nil {
		t.Fatal(err)
	}
	return built
}

// fakeView is a View with host states set by the test. A host that is not set has the zero HostView.
type fakeView struct {
	overflow   map[string]float64
	generation atomic.Uint64
	hosts      map[string]lookup.HostView
}

func (v *fakeView) Generation() uint64                      { return v.generation.Load() }
func (v *fakeView) Host(id, service string) lookup.HostView { return v.hosts[id] }

func (v *fakeView) Overflow(domain, _ string) float64 { return v.overflow[domain] }

func (v *fakeView) set(id string, host lookup.HostView) {
	v.hosts[id] = host
	v.generation.Add(1)
}

// allServingView returns a view in which each host of a document is serving with the same number of slots.
func allServingView(doc *policy.Document, usable int) *fakeView {
	v := &fakeView{hosts: map[string]lookup.HostView{}}
	for _, h := range doc.Hosts {
		v.set(h.ID, servingHost(usable))
	}
	return v
}

func servingHost(usable int) lookup.HostView {
	return lookup.HostView{State: membership.Serving, Incarnation: 1, Reachable: true, Usable: usable, Weight: 1}
}

func newResolver(t testing.TB, doc *policy.Document, domain string) *lookup.Resolver {
	t.Helper()
	resolver := lookup.NewResolver("h000")
	resolver.SetTable(compileTable(t, doc, domain))
	return resolver
}

func resolve(t testing.TB, resolver *lookup.Resolver, client string, view lookup.View, now time.Time) *lookup.Response {
	t.Helper()
	got, failure := resolver.Resolve("catalogue", netip.MustParseAddr(client), view, now)
	if failure != nil {
		t.Fatal(failure)
	}
	return got
}
