package lookup_test

import (
	"net/netip"
	"testing"

	"github.com/foxtailtack/foxtailtack/internal/lookup"
	"github.com/foxtailtack/foxtailtack/internal/policy"
)

// weightShares returns the share of the total weight that each failure domain and region gets.
func weightShares(response *lookup.Response) (domains, regions map[string]float64) {
	domains, regions = map[string]float64{}, map[string]float64{}
	total := 0
	for _, h := range response.Hosts {
		total += h.Weight
	}
	for _, h := range response.Hosts {
		domains[h.FailureDomain] += float64(h.Weight) / float64(total)
		regions[h.Region] += float64(h.Weight) / float64(total)
	}
	return domains, regions
}

// Guards against a wrong overflow share and against overflow to another region. Callers of a full failure domain must be sent
// to the other failure domain of its region in the given share. Work may go to another region only with a grant.
func TestOverflowStaysInRegion(t *testing.T) {
	doc := deployment(deploymentSize{regions: 2, domains: 4, sites: 4, hosts: 8, blocks: 4})
	snapshot, err := policy.Compile(doc, 1, "c1")
	if err != nil {
		t.Fatal(err)
	}
	table, err := lookup.Compile(snapshot, "domain-0")
	if err != nil {
		t.Fatal(err)
	}
	resolver := lookup.NewResolver("h000")
	resolver.SetTable(table)
	view := allServingView(doc, 3)
	view.overflow = map[string]float64{"domain-0": 0.25}
	response, failure := resolver.Resolve("catalogue", netip.Addr{}, view, start)
	if failure != nil {
		t.Fatal(failure)
	}
	domains, regions := weightShares(response)
	if got := domains["domain-2"]; got < 0.24 || got > 0.26 {
		t.Errorf("the other failure domain of the region gets %.3f of the weight, want 0.25: %+v", got, response.Hosts)
	}
	if got := regions["region-0"]; got != 1 {
		t.Errorf("the region of the full failure domain gets %.3f of the weight, want 1", got)
	}
}
