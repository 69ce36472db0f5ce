package lookup_test

import (
	"fmt"
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"github.com/foxtailtack/foxtailtack/internal/lookup"
	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/policy"
)

// drawAddress draws bytes from four values only, so that drawn prefixes nest and often contain drawn clients.
func drawAddress(t *rapid.T, label string) netip.Addr {
	bits := rapid.SliceOfN(rapid.SampledFrom([]byte{0, 1, 128, 255}), 4, 4).Draw(t, label)
	if rapid.Bool().Draw(t, label+" IPv6") {
		return netip.AddrFrom16([16]byte{0x20, 0x01, bits[0], bits[1], bits[2], bits[3]})
	}
	return netip.AddrFrom4([4]byte(bits))
}

func drawBlocks(t *rapid.T, sites int) []policy.Block {
	var blocks []policy.Block
	seen := map[netip.Prefix]bool{}
	for range rapid.IntRange(0, 20).Draw(t, "blocks") {
		address := drawAddress(t, "prefix")
		prefix, _ := address.Prefix(rapid.IntRange(0, min(48, address.BitLen())).Draw(t, "bits"))
		if seen[prefix] {
			continue
		}
		seen[prefix] = true
		order := rapid.Permutation([]int{0, 1, 2, 3, 4, 5}[:sites]).Draw(t, "order")
		var names []string
		for _, s := range order[:rapid.IntRange(1, sites).Draw(t, "preferred")] {
			names = append(names, fmt.Sprintf("site-%d", s))
		}
		blocks = append(blocks, policy.Block{Prefix: prefix, Sites: names})
	}
	return blocks
}

// longestMatch is the reference implementation: a linear scan for the longest prefix that contains the client.
func longestMatch(blocks []policy.Block, client netip.Addr) *policy.Block {
	var best *policy.Block
	for i := range blocks {
		if blocks[i].Prefix.Contains(client) && (best == nil || blocks[i].Prefix.Bits() > best.Prefix.Bits()) {
			best = &blocks[i]
		}
	}
	return best
}

// Guards against steering clients by a shorter prefix, by the order of the blocks in the document, or by a site order that
// omits sites. A client of a more specific block would be sent to a distant site.
func TestLongestPrefixDeterminesSiteOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc := deployment(deploymentSize{regions: 2, domains: 4, sites: 6, hosts: 6})
		doc.Blocks = drawBlocks(t, 6)
		snapshot, err := policy.Compile(doc, 1, "c")
		if err != nil {
			t.Fatal(err)
		}
		built, err := lookup.Compile(snapshot, "domain-1")
		if err != nil {
			t.Fatal(err)
		}
		client := drawAddress(t, "client")
		block, sites := built.SitesOf(client)
		want := longestMatch(doc.Blocks, client)
		preferred := []string{"site-1", "site-5"}
		if want != nil {
			preferred = want.Sites
			if block != want.Prefix {
				t.Fatalf("block of %s is %s, want %s", client, block, want.Prefix)
			}
		} else if block.IsValid() {
			t.Fatalf("client %s has block %s, want none", client, block)
		}
		checkOrder(t, sites, preferred, 6)
		resolver := lookup.NewResolver("h000")
		resolver.SetTable(built)
		got, failure := resolver.Resolve("catalogue", client, allServingView(doc, 3), start)
		if failure != nil || snapshot.Host(got.Hosts[0].ID).Site != preferred[0] {
			t.Fatalf("first host is %+v (%v), want one at %s", got, failure, preferred[0])
		}
	})
}

func checkOrder(t *rapid.T, sites, preferred []string, total int) {
	distinct := map[string]bool{}
	for _, s := range sites {
		distinct[s] = true
	}
	if len(sites) != total || len(distinct) != total {
		t.Fatalf("order %v, want each of %d sites once", sites, total)
	}
	for i, want := range preferred {
		if sites[i] != want {
			t.Fatalf("order %v, want it to start with %v", sites, preferred)
		}
	}
}

func drawHostView(t *rapid.T) lookup.HostView {
	return lookup.HostView{
		State:     rapid.SampledFrom([]membership.State{membership.Joining, membership.Serving, membership.Leaving}).Draw(t, "state"),
		Reachable: rapid.Bool().Draw(t, "reachable"),
		Usable:    rapid.IntRange(0, 4).Draw(t, "usable"),
		Weight:    rapid.SampledFrom([]float64{0, 0.001, 0.5, 1}).Draw(t, "weight"),
	}
}

// Guards against an empty response, which leaves a caller without an entry host, and against sending callers to a host that is
// about to close its listener. The view changes several times, so that stale cached responses are detected too.
func TestResponsesContainOnlyHostsThatAcceptCallers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc := deployment(deploymentSize{regions: 2, domains: 4, sites: 5, hosts: rapid.IntRange(1, 14).Draw(t, "hosts"), blocks: 30})
		for i := range doc.Hosts {
			doc.Hosts[i].Retired = rapid.IntRange(0, 5).Draw(t, "retired") == 0
		}
		snapshot, err := policy.Compile(doc, 1, "c")
		if err != nil {
			t.Fatal(err)
		}
		built, err := lookup.Compile(snapshot, "domain-1")
		if err != nil {
			t.Fatal(err)
		}
		resolver := lookup.NewResolver("h000")
		resolver.SetTable(built)
		view := &fakeView{hosts: map[string]lookup.HostView{}}
		for range 4 {
			for _, h := range doc.Hosts {
				if rapid.Bool().Draw(t, "changes") {
					view.set(h.ID, drawHostView(t))
				}
			}
			client := netip.AddrFrom4([4]byte{20, 0, byte(rapid.IntRange(0, 40).Draw(t, "client")), 1})
			got, failure := resolver.Resolve("catalogue", client, view, start)
			checkResponse(t, snapshot, view, got, failure)
		}
	})
}

func checkResponse(t *rapid.T, snapshot *policy.Snapshot, view *fakeView, got *lookup.Response, failure error) {
	serving, possible := 0, 0
	for _, h := range snapshot.Document.Hosts {
		v := view.hosts[h.ID]
		if h.Retired || v.State == membership.Leaving {
			continue
		}
		possible++
		if v.State == membership.Serving && v.Reachable {
			serving++
		}
	}
	if possible == 0 {
		if got != nil {
			t.Fatalf("each host is leaving or retired, got %+v", got)
		}
		return
	}
	if got == nil {
		t.Fatalf("%d hosts are possible, got failure %v", possible, failure)
	}
	if want := min(max(serving, 1), lookup.MaxHosts); len(got.Hosts) < want || len(got.Hosts) > lookup.MaxHosts {
		t.Fatalf("%d hosts serve and the response has %d, want at least %d and at most %d", serving, len(got.Hosts), want, lookup.MaxHosts)
	}
	checkEachHost(t, snapshot, view, got, serving)
}

func checkEachHost(t *rapid.T, snapshot *policy.Snapshot, view *fakeView, got *lookup.Response, serving int) {
	seen := map[string]bool{}
	total := 0
	for _, h := range got.Hosts {
		v := view.hosts[h.ID]
		if snapshot.Host(h.ID).Retired || v.State == membership.Leaving {
			t.Fatalf("response contains %s, which is leaving or retired", h.ID)
		}
		if serving > 0 && (v.State != membership.Serving || !v.Reachable) {
			t.Fatalf("response contains %s in state %d (reachable %v) although %d hosts serve", h.ID, v.State, v.Reachable, serving)
		}
		if seen[h.ID] {
			t.Fatalf("response contains %s twice", h.ID)
		}
		seen[h.ID] = true
		total += h.Weight
	}
	if total == 0 {
		t.Fatalf("no host has a weight: %+v", got.Hosts)
	}
}
