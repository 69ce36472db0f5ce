package steering

import (
	"cmp"
	"slices"
	"time"
)

// class orders targets: the own failure domain, then the own region, then other regions by delay.
type class uint8

const (
	ownDomain class = iota
	ownRegion
	otherRegion
)

// distance is what the hosts of one group have in common. Regions at the same delay are one group.
type distance struct {
	class  class
	oneWay time.Duration
}

// group is the hosts of one distance.
type group struct {
	distance
	hosts []*hostState
}

// groupsOf returns the hosts of a service in order of distance, without this host.
func (p *Planner) groupsOf(service string) []*group {
	if groups, found := p.groups[service]; found {
		return groups
	}
	serving := p.domainsOf(service)
	byDistance := make(map[distance]*group)
	var groups []*group
	for _, h := range p.sortedHosts() {
		if !serving[h.domain] || !p.reachable(h.id) {
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

// domainsOf returns the failure domains with backend servers of the service.
func (p *Planner) domainsOf(service string) map[string]bool {
	serving := make(map[string]bool)
	for i := range p.snapshot.Document.BackendServers {
		b := &p.snapshot.Document.BackendServers[i]
		if b.Service == service {
			serving[b.FailureDomain] = true
		}
	}
	return serving
}

// reachable reports whether the policy in force lists the host and keeps it.
func (p *Planner) reachable(id string) bool {
	host := p.snapshot.Host(id)
	return id != p.self && host != nil && !host.Retired
}

// sortedHosts returns the known hosts by id, so that a run can be repeated from a seed.
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
