package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"testing"

	"github.com/rs/zerolog"

	"github.com/foxtailtack/foxtailtack/internal/bodies"
	"github.com/foxtailtack/foxtailtack/internal/catalog"
)

// A client whose region has too few hosts must not be sent to a region from which its requests have to go on to their home region.
func TestLookupPrefersHomeRegions(t *testing.T) {
	hosts := map[string]*catalog.Host{}
	add := func(id, region string) {
		hosts[id] = &catalog.Host{ID: id, FailureDomain: region + "1", Region: region, CallerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(len(hosts))}), 80)}
	}
	add("own", "a")
	add("far", "b")
	add("home", "c")
	add("home-2", "c")
	homes := newHomeIndex(&catalog.Configuration{Routes: map[string][]*catalog.Route{"h": {{Homes: []string{"c"}}, {}}}})
	query := LookupQuery{FailureDomain: "a2", Region: "a"}
	got := nearestHosts(hosts, nil, query, homes.limits("h"))
	if len(got) != 3 || slices.Contains(got, hosts["far"].CallerAddress) {
		t.Errorf("got %v, want the hosts in the regions a and c", got)
	}
	if got := nearestHosts(hosts, nil, query, homes.limits("other")); len(got) != 4 {
		t.Errorf("without home regions: got %v, want all hosts", got)
	}
	delete(hosts, "own")
	delete(hosts, "home")
	if got := nearestHosts(hosts, nil, query, homes.limits("h")); len(got) != 1 || got[0] != hosts["home-2"].CallerAddress {
		t.Errorf("with one host in the home region: got %v, want this one only", got)
	}
}

type keyDialect struct {
	Dialect
	info RequestInfo
}

func (d keyDialect) Request(*http.Request) RequestInfo { return d.info }

// Requests that will be refused must not use the memory and the concurrency that is meant for those that run.
func TestOnlyAuthenticatedRequestsRunPipelined(t *testing.T) {
	key := catalog.KeyDigest{1}
	c := &catalog.Configuration{Version: 1, KeysRequired: true, Customers: map[string]*catalog.Customer{"x": {Name: "x"}}, Keys: map[catalog.KeyDigest]string{key: "x"},
		Routes: map[string][]*catalog.Route{"h": {{Prefix: "/unusable", Idempotent: true, Public: true, Unusable: "x"}, {Prefix: "/open", Idempotent: true, Public: true}, {Prefix: "/", Idempotent: true}}}}
	g := &Gateway{follower: catalog.NewFollower(nil, zerolog.Nop()), bodies: bodies.NewBudget(1 << 20)}
	g.follower.ReceiveConfiguration(c)
	for _, test := range []struct {
		path string
		info RequestInfo
		want bool
	}{
		{"/", RequestInfo{Key: key, HasKey: true}, true}, {"/", RequestInfo{}, false}, {"/", RequestInfo{HasKey: true}, false},
		{"/open", RequestInfo{}, true}, {"/unusable", RequestInfo{Key: key, HasKey: true}, false},
	} {
		g.dialect = keyDialect{info: test.info}
		if got := g.mayRunPipelined(httptest.NewRequestWithContext(context.Background(), "GET", "http://h"+test.path, nil)); got != test.want {
			t.Errorf("%s with %+v: %v, want %v", test.path, test.info, got, test.want)
		}
	}
	// Another host has announced a configuration that may have the key.
	if view := g.follower.View(); !g.mayBeOutdated(&catalog.View{Configuration: view.Configuration, Announced: 2}, g.startedAt) {
		t.Error("a configuration is not outdated although a later one was announced")
	}
}
