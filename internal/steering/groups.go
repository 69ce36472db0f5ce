package steering

import (
	"cmp"
	"slices"
	"time"
)

// distanceClass orders hosts: the own failure domain, then the own region, then other regions by delay.
type distanceClass uint8

const (
	ownDomain distanceClass = iota
	ownRegion
	otherRegion
)

// distance is the distance from this host to the hosts of one group. Regions with the same delay form one group.
type distance struct {
	class  distanceClass
	oneWay time.Duration
}

// group holds the hosts at one distance.
type group struct {
	distance
	hosts []*hostState
}

// groupsOf returns the hosts of a service, except this host, in groups ordered by distance.
func (p *Planner) groupsOf(service string) []*group {
	if groups, found := p.groups[service]; found {
		return groups
	}
	serving := p.domainsServing(service)
	byDistance := make(map[distance]*group)
	var groups []*group
	for _, h := range p.sortedHosts() {
		if !serving[h.domain] || !p.eligible(h.id) {
			continue
		}
		key := p.distanceTo(h.domain)
		g := byDistance[key]
		if g == nil {
			g = &group{distance: key}
			byDistance[key] = g
			groups = append(groups, g)
		}
		g.hosts = append(g.hosts, h)
	}
	slices.SortFunc(groups, func(a, b *group) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.oneWay, b.oneWay))
	})
	p.groups[service] = groups
	return groups
}

// domainsServing returns the failure domains with backend servers of the service.
func (p *Planner) domainsServing(service string) map[string]bool {
	serving := make(map[string]bool)
	for i := range p.snapshot.Document.BackendServers {
		b := &p.snapshot.Document.BackendServers[i]
		if b.Service == service {
			serving[b.FailureDomain] = true
		}
	}
	return serving
}

// eligible reports whether a host is another host that the policy in force lists and does not retire.
func (p *Planner) eligible(id string) bool {
	host := p.snapshot.Host(id)
	return id != p.self && host != nil && !host.Retired
}

// sortedHosts returns the known hosts ordered by id, so that a test run can be repeated from a seed.
func (p *Planner) sortedHosts() []*hostState {
	hosts := make([]*hostState, 0, len(p.hosts))
	for _, h := range p.hosts {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b *hostState) int { return cmp.Compare(a.id, b.id) })
	return hosts
}

func (p *Planner) distanceTo(domain string) distance {
	d := distance{class: otherRegion, oneWay: p.snapshot.OneWayDelay(p.domain, domain)}
	switch {
	case domain == p.domain:
		d.class = ownDomain
	case p.snapshot.Region(domain) == p.snapshot.Region(p.domain):
		d.class = ownRegion
	}
	return d
}
