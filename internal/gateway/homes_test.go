package gateway

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
)

func lookupHost(id, region string) *catalog.Host {
	number := byte(len(id))
	for _, c := range id {
		number = number*31 + byte(c)
	}
	return &catalog.Host{ID: id, FailureDomain: region + "1", Region: region, CallerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, number}), 80)}
}

func hostsByID(list ...*catalog.Host) map[string]*catalog.Host {
	hosts := map[string]*catalog.Host{}
	for _, h := range list {
		hosts[h.ID] = h
	}
	return hosts
}

func addresses(hosts ...*catalog.Host) []netip.AddrPort {
	list := []netip.AddrPort{}
	for _, h := range hosts {
		list = append(list, h.CallerAddress)
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	return list
}

// restrictedConfiguration has routes with one home, with two, with and without homes, and a customer with a home.
func restrictedConfiguration() *catalog.Configuration {
	return &catalog.Configuration{
		KeysRequired: true,
		Customers:    map[string]*catalog.Customer{"free": {}, "bound": {Homes: []string{"a"}}},
		Routes: map[string][]*catalog.Route{
			"a":        {{Homes: []string{"a"}, Public: true}},
			"c":        {{Homes: []string{"c"}, Public: true}, {Public: true}},
			"c-or-d":   {{Homes: []string{"c", "d"}, Public: true}, {Homes: []string{"d"}, Public: true}},
			"open":     {{Public: true}},
			"customer": {{}},
		},
	}
}

// Clients pick one of the returned hosts at random. Guards against a response that adds hosts of all other regions because few hosts are
// near: bodies of requests with home regions were sent there, one in eight while one of two hosts of a region restarted, and nine of ten in
// a region with a single host.
func TestLookupLeavesOutRegionsThatRequestsMustNotReach(t *testing.T) {
	a, b, b2, c, c2, d := lookupHost("a", "a"), lookupHost("b", "b"), lookupHost("b-2", "b"), lookupHost("c", "c"), lookupHost("c-2", "c"), lookupHost("d", "d")
	index := newHomeIndex(restrictedConfiguration())
	for _, test := range []struct {
		name, hostName, region string
		hosts, want            []*catalog.Host
	}{
		{"one host in the region of client and home", "a", "a", []*catalog.Host{a, b, b2, c}, []*catalog.Host{a}},
		{"one host in the client's region, homes elsewhere", "c", "a", []*catalog.Host{a, b, c, c2}, []*catalog.Host{a, c, c2}},
		{"no host in the client's region, one in the home", "c", "a", []*catalog.Host{b, b2, c}, []*catalog.Host{c}},
		{"a region that some routes exclude", "c-or-d", "a", []*catalog.Host{a, b, c, d}, []*catalog.Host{a, d}},
		{"only regions that some routes exclude", "c-or-d", "a", []*catalog.Host{b, b2, c}, []*catalog.Host{c}},
		{"no host in the client's region or a home", "c", "a", []*catalog.Host{b, b2, d}, []*catalog.Host{b, b2, d}},
		{"a customer's home", "customer", "a", []*catalog.Host{a, b, b2}, []*catalog.Host{a}},
		{"a customer's home, client elsewhere", "customer", "b", []*catalog.Host{a, b, c}, []*catalog.Host{b, a}},
		{"routes that need no key of a customer", "open", "a", []*catalog.Host{a, b, c}, []*catalog.Host{a, b, c}},
		{"an unknown host name", "other", "a", []*catalog.Host{a, b, c}, []*catalog.Host{a, b, c}},
	} {
		got := nearestHosts(hostsByID(test.hosts...), nil, LookupQuery{FailureDomain: test.region + "2", Region: test.region}, index.limits(test.hostName))
		if want := addresses(test.want...); !slices.Equal(got, want) {
			t.Errorf("%s: got %v, want %v", test.name, got, want)
		}
	}
	if got := nearestHosts(hostsByID(a, b, c), nil, LookupQuery{FailureDomain: "a2", Region: "a"}, (*homeIndex)(nil).limits("a")); !slices.Equal(got, addresses(a)) {
		t.Errorf("a host without a configuration: got %v, want the host of the client's region", got)
	}
}

// Whatever hosts, homes and reserves there are, a client must get a host if there is one, and one of a region that excludes some of its
// requests only if no other host is left.
func TestLookupExcludesRegionsOnlyWhileOtherHostsExist(t *testing.T) {
	regions := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) (list []*catalog.Host) {
			for i := range rapid.IntRange(0, 4).Draw(t, label) {
				list = append(list, lookupHost(fmt.Sprint(label, i), regions.Draw(t, "region")))
			}
			return list
		}
		hosts, reserves := draw("host"), [][]*catalog.Host{draw("reserve"), draw("stopping")}
		limit := &homeLimit{}
		for range rapid.IntRange(0, 3).Draw(t, "routes") {
			limit.add(rapid.SliceOfN(regions, 0, 3).Draw(t, "homes"))
		}
		homes := homeLimits{limit}
		got := nearestHosts(hostsByID(hosts...), reserves, LookupQuery{FailureDomain: "a1", Region: "a"}, homes)
		isAllowed := func(h *catalog.Host) bool { return h.Region == "a" || homes.excluding(h.Region) == 0 }
		returned := func(h *catalog.Host) bool { return slices.Contains(got, h.CallerAddress) }
		all := slices.Concat(hosts, reserves[0], reserves[1])
		if len(got) == 0 && (len(hosts) > 0 || slices.ContainsFunc(all, isAllowed)) {
			t.Fatal("no host was returned")
		}
		if slices.ContainsFunc(all, isAllowed) && slices.ContainsFunc(all, func(h *catalog.Host) bool { return returned(h) && !isAllowed(h) }) {
			t.Fatalf("got %v, although there are hosts in other regions", got)
		}
		if slices.ContainsFunc(hosts, isAllowed) && slices.ContainsFunc(slices.Concat(reserves...), returned) {
			t.Fatalf("got %v with reserves, although listed hosts can be used", got)
		}
	})
}

// The host that is asked may be missing from its own list: its lease has expired while it was cut off from the store, or it is stopping.
// Guards against a response that directs the callers of its region elsewhere.
func TestHostIsReserveOfItsRegionWhileNotListed(t *testing.T) {
	self, far, far2, restarting := lookupHost("self", "a"), lookupHost("far", "b"), lookupHost("far-2", "b"), lookupHost("restarting", "a")
	c := restrictedConfiguration()
	for _, test := range []struct {
		name     string
		stopping bool
		view     *catalog.View
		want     []*catalog.Host
	}{
		{"cut off", false, &catalog.View{Configuration: c, Hosts: hostsByID(far, far2), Stopping: hostsByID(restarting)}, []*catalog.Host{self}},
		{"stopping", true, &catalog.View{Configuration: c, Hosts: hostsByID(far, far2)}, []*catalog.Host{self}},
		{"stopping, with another one", true, &catalog.View{Configuration: c, Hosts: hostsByID(far, lookupHost("near", "a"))}, []*catalog.Host{lookupHost("near", "a")}},
		{"stopping, without others", true, &catalog.View{Configuration: c}, []*catalog.Host{self}},
		{"without others", false, &catalog.View{}, []*catalog.Host{self}},
		{"without a configuration", false, &catalog.View{Hosts: hostsByID(far, far2)}, []*catalog.Host{far, far2}},
		{"another one of the region restarts", false, &catalog.View{Configuration: c, Hosts: hostsByID(self, far), Stopping: hostsByID(restarting)}, []*catalog.Host{self}},
	} {
		g := &Gateway{self: self, follower: catalog.NewFollower(nil, zerolog.Nop())}
		g.stopping.Store(test.stopping)
		hosts, reserves := g.lookupHosts(test.view)
		got := nearestHosts(hosts, reserves, LookupQuery{FailureDomain: "a2", Region: "a"}, g.homes.of(test.view.Configuration).limits("a"))
		if want := addresses(test.want...); !slices.Equal(got, want) {
			t.Errorf("%s: got %v, want %v", test.name, got, want)
		}
	}
}
