package lookup

import (
	"net/netip"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// Explanation describes how the response to a look-up was determined.
type Explanation struct {
	Service string     `json:"service"`
	Client  netip.Addr `json:"client"`
	// Block is the prefix of the client's block, or empty for a client without a block.
	Block string `json:"block"`
	// Sites are in the site order of the client.
	Sites []string `json:"sites"`
	// Hosts lists all hosts in the order of their sites.
	Hosts []ExplainedHost `json:"hosts"`
	// Response is the current response to the look-up.
	Response *Response `json:"answer"`
}

// ExplainedHost gives the reason why a host is in the response or not.
type ExplainedHost struct {
	ID     string `json:"id"`
	Site   string `json:"site"`
	Usable int    `json:"usable"`
	// Named is true if the host is in the response.
	Named bool `json:"named"`
	// Weight is the host's weight in the response, or 0.
	Weight int    `json:"weight"`
	Reason string `json:"reason"`
}

// Explain returns the response to a look-up and the reason for each host. It fails like Resolve.
func (r *Resolver) Explain(service string, client netip.Addr, view View, now time.Time) (*Explanation, *result.Failure) {
	response, failure := r.Resolve(service, client, view, now)
	if failure != nil {
		return nil, failure
	}
	table := r.table.Load()
	block, sites := table.SitesOf(client)
	e := &Explanation{Service: service, Client: client, Sites: sites, Response: response}
	if block.IsValid() {
		e.Block = block.String()
	}
	weights := make(map[string]int, len(response.Hosts))
	for _, h := range response.Hosts {
		weights[h.ID] = h.Weight
	}
	for _, site := range sites {
		for i := range table.snapshot.Document.Hosts {
			if h := &table.snapshot.Document.Hosts[i]; h.Site == site {
				e.Hosts = append(e.Hosts, explainHost(h, view.Host(h.ID, service), weights))
			}
		}
	}
	return e, nil
}

func explainHost(h *policy.Host, v HostView, weights map[string]int) ExplainedHost {
	weight, named := weights[h.ID]
	return ExplainedHost{ID: h.ID, Site: h.Site, Usable: v.Usable, Named: named, Weight: weight, Reason: hostReason(h, v, named, weight)}
}

func hostReason(h *policy.Host, v HostView, named bool, weight int) string {
	switch {
	case h.Retired:
		return "retired"
	case v.State == membership.Leaving:
		return "leaving"
	case named && !v.acceptsCallers():
		return "no host serves, so hosts of the policy are named"
	case !v.Reachable:
		return "not reachable"
	case v.State != membership.Serving:
		return "joining"
	case named && weight > 0:
		return "nearest site with usable slots"
	case named:
		return "for use after a failure of the others"
	case v.Usable == 0:
		return "no usable slots"
	default:
		return "the answer is full"
	}
}
