package lookup_test

import (
	"net/netip"
	"testing"

	"github.com/foxtailtack/foxtailtack/internal/lookup"
	"github.com/foxtailtack/foxtailtack/internal/membership"
)

// Guards against an explanation that omits a host or gives a reason other than the one behind the response. An operator would
// look for the fault in the wrong place.
func TestExplainGivesReasonForEachHost(t *testing.T) {
	doc := deployment(deploymentSize{regions: 1, domains: 1, sites: 1, hosts: 14})
	doc.Hosts[1].Retired = true
	resolver, view := newResolver(t, doc, "domain-0"), allServingView(doc, 3)
	view.set("h002", lookup.HostView{State: membership.Leaving, Reachable: true, Usable: 3, Weight: 1})
	view.set("h003", lookup.HostView{State: membership.Serving, Usable: 3, Weight: 1})
	view.set("h004", lookup.HostView{State: membership.Joining, Reachable: true})
	view.set("h005", servingHost(0))
	e, failure := resolver.Explain("catalogue", netip.MustParseAddr("192.0.2.1"), view, start)
	if failure != nil {
		t.Fatal(failure)
	}
	want := map[string]string{
		"h001": "retired", "h002": "leaving", "h003": "not reachable", "h004": "joining", "h005": "no usable slots",
	}
	named, full := 0, 0
	for _, h := range e.Hosts {
		if reason, ok := want[h.ID]; ok {
			if h.Named || h.Reason != reason {
				t.Errorf("%+v, want reason %q", h, reason)
			}
			continue
		}
		if h.Named && h.Weight == 300 && h.Reason == "nearest site with usable slots" {
			named++
		}
		if !h.Named && h.Reason == "the answer is full" {
			full++
		}
	}
	if len(e.Hosts) != 14 || named != 6 || full != 3 {
		t.Errorf("%d hosts, %d named, %d omitted from a full response, want 14, 6 and 3", len(e.Hosts), named, full)
	}
}

// Guards against an explanation that presents configured hosts as serving although no host is known to serve.
func TestExplainReportsConfiguredHostsWhenNoHostServes(t *testing.T) {
	doc := deployment(deploymentSize{regions: 1, domains: 1, sites: 1, hosts: 1})
	resolver := newResolver(t, doc, "domain-0")
	e, failure := resolver.Explain("catalogue", netip.MustParseAddr("192.0.2.1"), &fakeView{}, start)
	if failure != nil || e.Block != "" || !e.Hosts[0].Named || e.Hosts[0].Reason != "no host serves, so hosts of the policy are named" {
		t.Fatalf("%+v, %v", e, failure)
	}
}
