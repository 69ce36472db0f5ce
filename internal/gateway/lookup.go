package gateway

import (
	"maps"
	"math"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
)

const (
	// lookupTTL is the time for which callers may cache a response. Callers look up seldom, and a stopping host serves for longer than
	// this.
	lookupTTL = 2 * time.Second
	// minLookupHosts is the smallest number of hosts in a response if so many exist, so that a caller can use another one if the
	// first fails.
	minLookupHosts = 2
	// maxLookupHosts is the number of addresses that callers read.
	maxLookupHosts = 64
)

// Distances of hosts from a client. A host of another region has at least otherRegion; each home restriction that excludes the region
// adds one.
const (
	sameDomain = iota
	sameRegion
	otherRegion
)

// nearestHosts returns the addresses of the hosts that a client should use: those in its failure domain. If these are too few, it
// adds those in its region, and then those of other regions in which all requests for the host name may be handled. A client picks one at
// random, so farther hosts are included only if needed.
//
// Hosts of the remaining regions are returned only if there is no other host. Before them, the first of the reserves is used that has a
// host that is near enough: hosts that are not listed but may still or soon serve.
func nearestHosts(hosts map[string]*catalog.Host, reserves [][]*catalog.Host, query LookupQuery, homes homeLimits) []netip.AddrPort {
	distance := func(h *catalog.Host) int {
		switch {
		case h.FailureDomain == query.FailureDomain:
			return sameDomain
		case h.Region == query.Region:
			return sameRegion
		default:
			return otherRegion + homes.excluding(h.Region)
		}
	}
	var near [otherRegion + 1][]*catalog.Host
	// far holds the nearest of the hosts beyond otherRegion.
	var far []*catalog.Host
	farDistance := math.MaxInt
	for _, h := range hosts {
		switch d := distance(h); {
		case d <= otherRegion:
			near[d] = append(near[d], h)
		case d < farDistance:
			far, farDistance = append(far[:0], h), d
		case d == farDistance:
			far = append(far, h)
		}
	}
	var chosen []*catalog.Host
	for _, group := range near {
		if len(chosen) < minLookupHosts {
			chosen = append(chosen, group...)
		}
	}
	for _, reserve := range reserves {
		if len(chosen) == 0 {
			chosen = slices.DeleteFunc(slices.Clone(reserve), func(h *catalog.Host) bool { return distance(h) > otherRegion })
		}
	}
	if len(chosen) == 0 {
		chosen = far
	}
	slices.SortFunc(chosen, func(a, b *catalog.Host) int { return a.CallerAddress.Compare(b.CallerAddress) })
	addresses := make([]netip.AddrPort, 0, min(len(chosen), maxLookupHosts))
	for _, h := range chosen[:min(len(chosen), maxLookupHosts)] {
		addresses = append(addresses, h.CallerAddress)
	}
	return addresses
}

// lookupHosts returns the hosts that look-up responses may include, and the reserves of nearestHosts: this host, if it serves without being
// listed, and hosts that are stopping or being restarted.
func (g *Gateway) lookupHosts(view *catalog.View) (map[string]*catalog.Host, [][]*catalog.Host) {
	stopping := slices.Collect(maps.Values(view.Stopping))
	switch {
	case view.Hosts[g.self.ID] != nil:
		return view.Hosts, [][]*catalog.Host{stopping}
	case g.stopping.Load():
		if view.Stopping[g.self.ID] == nil {
			stopping = append(stopping, g.self)
		}
		return view.Hosts, [][]*catalog.Host{stopping}
	case len(view.Hosts) == 0:
		return map[string]*catalog.Host{g.self.ID: g.self}, nil
	case view.Configuration == nil:
		return view.Hosts, [][]*catalog.Host{stopping}
	default:
		return view.Hosts, [][]*catalog.Host{{g.self}, stopping}
	}
}

// serveLookup handles a client's look-up of host addresses.
func (g *Gateway) serveLookup(w http.ResponseWriter, r *http.Request) {
	query := g.dialect.Lookup(r)
	view := g.follower.View()
	hosts, reserves := g.lookupHosts(view)
	addresses := nearestHosts(hosts, reserves, query, g.homes.of(view.Configuration).limits(hostName(query.HostName)))
	if len(addresses) == 0 {
		g.log.Warn().Str("failure_domain", query.FailureDomain).Uint64("revision", uint64(view.Revision)).Msg("lookup_without_hosts")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := g.dialect.EncodeLookup(addresses, min(lookupTTL, g.settings.Bounds.LookupTTL()))
	if err != nil {
		g.log.Error().Err(err).Msg("lookup_failed")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	g.metrics.lookups.Inc(1)
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(body); err != nil {
		g.log.Info().Str("failure_domain", query.FailureDomain).Err(err).Msg("lookup_not_delivered")
	}
}

// serveReady handles the platform's readiness check.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.stopping.Load() || g.follower.View().Configuration == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
