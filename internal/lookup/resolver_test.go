package lookup_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/gorilla/mux"

	"github.com/foxtailtack/foxtailtack/internal/lookup"
	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// Guards against a cached response that is used after its liveness generation. Callers would be sent to a leaving host until
// the process restarts.
func TestLeavingHostInvalidatesCachedResponses(t *testing.T) {
	doc := deployment(deploymentSize{regions: 2, domains: 2, sites: 2, hosts: 4, blocks: 8})
	resolver, view := newResolver(t, doc, "domain-0"), allServingView(doc, 3)
	first := resolve(t, resolver, "192.0.2.1", view, start).Hosts[0].ID
	leaving := servingHost(3)
	leaving.State = membership.Leaving
	view.set(first, leaving)
	for _, h := range resolve(t, resolver, "192.0.2.1", view, start).Hosts {
		if h.ID == first {
			t.Fatalf("%s is leaving and still in the response", first)
		}
	}
}

// Guards against building a response for each look-up, and against cached responses that never pick up a damped weight,
// which does not increase the generation.
func TestCachedResponseExpiresAfterMaxAge(t *testing.T) {
	doc := deployment(deploymentSize{regions: 1, domains: 1, sites: 1, hosts: 2})
	resolver, view := newResolver(t, doc, "domain-0"), allServingView(doc, 4)
	before := resolve(t, resolver, "192.0.2.1", view, start)
	damped := servingHost(4)
	damped.Weight = 0.25
	view.hosts["h001"] = damped
	if again := resolve(t, resolver, "192.0.2.1", view, start.Add(time.Second)); again != before {
		t.Fatal("the response was rebuilt within a generation")
	}
	later := resolve(t, resolver, "192.0.2.1", view, start.Add(3*time.Second))
	if got := hostWeights(later); got["h000"] != 400 || got["h001"] != 100 {
		t.Fatalf("weights are %v, want 400 and 100", got)
	}
}

func hostWeights(response *lookup.Response) map[string]int {
	list := map[string]int{}
	for _, h := range response.Hosts {
		list[h.ID] = h.Weight
	}
	return list
}

// Guards against a response whose hosts are all in one failure domain or region. If that one were lost, callers would have no
// usable host.
func TestResponseSpansFailureDomainsAndRegions(t *testing.T) {
	doc := deployment(deploymentSize{regions: 3, domains: 6, sites: 12, hosts: 120, blocks: 64})
	resolver, view := newResolver(t, doc, "domain-0"), allServingView(doc, 3)
	for i := range 64 {
		got := resolve(t, resolver, fmt.Sprintf("20.0.%d.1", i), view, start)
		domains, regions := map[string]bool{}, map[string]bool{}
		for _, h := range got.Hosts {
			domains[h.FailureDomain] = true
			regions[h.Region] = true
		}
		if len(domains) < 2 || len(regions) < 2 {
			t.Fatalf("hosts of block %d are in failure domains %v and regions %v", i, domains, regions)
		}
	}
}

// Guards against concentrating the callers of a large site on the few hosts that fit into a response. Resolvers on different
// hosts must select different hosts, so that callers are distributed in proportion to usable slots.
func TestLargeSiteIsDistributedByUsableSlots(t *testing.T) {
	doc := deployment(deploymentSize{regions: 1, domains: 1, sites: 1, hosts: 12})
	built, view := compileTable(t, doc, "domain-0"), allServingView(doc, 3)
	for i := range 4 {
		view.set(fmt.Sprintf("h%03d", i), servingHost(9))
	}
	shares := map[string]float64{}
	const resolverCount = 2000
	for i := range resolverCount {
		resolver := lookup.NewResolver(fmt.Sprintf("answering-%d", i))
		resolver.SetTable(built)
		got := resolve(t, resolver, "192.0.2.1", view, start)
		total := 0
		for _, h := range got.Hosts {
			total += h.Weight
		}
		for _, h := range got.Hosts {
			shares[h.ID] += float64(h.Weight) / float64(total) / resolverCount
		}
	}
	// 4 hosts with 9 slots and 8 with 3 slots share 60 slots.
	for id, got := range shares {
		want := 3.0 / 60
		if id < "h004" {
			want = 9.0 / 60
		}
		if got < want*0.85 || got > want*1.15 {
			t.Errorf("%s gets %.3f of first attempts, want about %.3f", id, got, want)
		}
	}
	if len(shares) != 12 {
		t.Errorf("%d of 12 hosts appear in a response, want all", len(shares))
	}
}

// Guards against order indexes that overflow at 65,536. Blocks would be steered by the site order of another block.
func TestCompileRejectsTooManyOrders(t *testing.T) {
	doc := deployment(deploymentSize{regions: 1, domains: 1, sites: 300, hosts: 1})
	for i := range lookup.MaxOrders + 1 {
		doc.Blocks = append(doc.Blocks, policy.Block{
			Prefix: netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(20 + i>>16), byte(i >> 8), byte(i), 0}), 24),
			Sites:  []string{fmt.Sprintf("site-%d", i%300), fmt.Sprintf("site-%d", i/300)},
		})
	}
	if _, err := lookup.Compile(compile(t, doc), "domain-0"); err == nil || !strings.Contains(err.Error(), "65536th") {
		t.Fatalf("got %v, want an error for the 65536th order", err)
	}
	doc.Blocks = doc.Blocks[:lookup.MaxOrders]
	if built := compileTable(t, doc, "domain-0"); built.Orders() != lookup.MaxOrders+1 {
		t.Fatalf("%d orders, want %d and the default one", built.Orders(), lookup.MaxOrders)
	}
}

// Guards against reusing the block index of the previous version although the sites have other indexes in the new version.
func TestRecompileRebuildsBlockIndexWhenSitesOrBlocksChange(t *testing.T) {
	before := deployment(deploymentSize{regions: 2, domains: 4, sites: 6, hosts: 12, blocks: 40})
	previous := compileTable(t, before, "domain-0")
	after := deployment(deploymentSize{regions: 2, domains: 4, sites: 6, hosts: 12, blocks: 40})
	after.Sites[0], after.Sites[5] = after.Sites[5], after.Sites[0]
	after.Blocks[3].Sites = []string{"site-4"}
	after.Hosts[0].Retired = true
	snapshot := compile(t, after)
	changed, err := lookup.Recompile(previous, snapshot, "domain-0")
	if err != nil {
		t.Fatal(err)
	}
	for i := range 40 {
		client := after.Blocks[i].Prefix.Addr().Next()
		_, sites := changed.SitesOf(client)
		if sites[0] != after.Blocks[i].Sites[0] {
			t.Fatalf("block %d starts with %s, want %s", i, sites[0], after.Blocks[i].Sites[0])
		}
	}
}

// Compares the exact JSON that callers parse. Guards against changed field names and against failures without a code or
// status.
func TestHandler(t *testing.T) {
	doc := deployment(deploymentSize{regions: 2, domains: 2, sites: 2, hosts: 3, blocks: 3})
	resolver, view := lookup.NewResolver("h000"), allServingView(doc, 3)
	router := mux.NewRouter()
	lookup.Register(router, resolver, view)
	datadriven.RunTest(t, "testdata/handler", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "table":
			resolver.SetTable(compileTable(t, doc, "domain-0"))
			return "ok"
		case "state":
			return setStates(view, d)
		}
		request := httptest.NewRequest(http.MethodGet, strings.TrimSpace(d.Input), nil)
		request.RemoteAddr = "20.0.1.9:40000"
		recorder := httptest.NewRecorder()
		router.ServeHTTP(recorder, request)
		header := recorder.Header()
		return fmt.Sprintf("%d\nFoxtailtack-Result: %s\nRetry-After: %s\n%s\n", recorder.Code, header.Get("Foxtailtack-Result"),
			header.Get("Retry-After"), strings.TrimSpace(recorder.Body.String()))
	})
}

func setStates(view *fakeView, d *datadriven.TestData) string {
	states := map[string]membership.State{"joining": membership.Joining, "serving": membership.Serving, "leaving": membership.Leaving}
	for _, arg := range d.CmdArgs {
		host := servingHost(3)
		host.State = states[arg.Vals[0]]
		view.set(arg.Key, host)
	}
	return "ok"
}

// Guards against cached responses that are used after their policy has been replaced. Callers would get addresses of the
// previous version until the liveness changes.
func TestSetTableInvalidatesCachedResponses(t *testing.T) {
	doc := deployment(deploymentSize{regions: 1, domains: 1, sites: 1, hosts: 2})
	resolver, view := newResolver(t, doc, "domain-0"), allServingView(doc, 3)
	resolve(t, resolver, "192.0.2.1", view, start)
	doc.Hosts[1].Retired = true
	resolver.SetTable(compileTable(t, doc, "domain-0"))
	if got := resolve(t, resolver, "192.0.2.1", view, start); len(got.Hosts) != 1 {
		t.Fatalf("the response has %d hosts, want 1", len(got.Hosts))
	}
}

// Guards against treating an IPv4 client of an IPv6 listener, whose address is IPv4-mapped, as a client without a block.
func TestIPv4MappedAddressMatchesIPv4Block(t *testing.T) {
	doc := deployment(deploymentSize{regions: 2, domains: 2, sites: 2, hosts: 2, blocks: 8})
	resolver, view := newResolver(t, doc, "domain-0"), allServingView(doc, 3)
	plain := resolve(t, resolver, "20.0.1.1", view, start)
	mapped := resolve(t, resolver, "::ffff:20.0.1.1", view, start)
	if plain.Hosts[0].ID != mapped.Hosts[0].ID {
		t.Fatalf("first hosts differ: %s and %s", plain.Hosts[0].ID, mapped.Hosts[0].ID)
	}
}

// Guards against a cache that grows with arbitrary service names from callers.
func TestResolveRejectsUnknownService(t *testing.T) {
	doc := deployment(deploymentSize{regions: 1, domains: 1, sites: 1, hosts: 1})
	resolver := newResolver(t, doc, "domain-0")
	_, failure := resolver.Resolve("other", netip.Addr{}, allServingView(doc, 1), start)
	if failure == nil || failure.Code != result.UnknownService {
		t.Fatalf("got %v, want UnknownService", failure)
	}
}
