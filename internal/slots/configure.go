package slots

import (
	"slices"
	"strings"
	"time"
)

// SetConfig sets the hosts of the failure domain, including this host and retired hosts, and its backend servers. Slots
// in use that are no longer configured stay in use until they are released.
func (t *Tracker) SetConfig(hosts []string, backends []Backend, now time.Time) {
	t.refresh(now)
	changed := t.setHosts(hosts, now)
	t.listed = slices.Contains(hosts, t.self)
	t.updateEligible(now)
	t.setServers(backends, changed)
	t.setServices(backends)
	t.invalidate()
}

// SetRetired sets whether the configuration marks this host as retired. It must be called before SetConfig. A retired host
// does not complete a join, but a host that is ready stays ready. A new host is added as retired, and the mark is removed
// once every host of the failure domain has the version that lists it. Before that, a peer may not know the new host and
// would not stop using its slots.
func (t *Tracker) SetRetired(retired bool, now time.Time) {
	t.retired = retired
	t.updateEligible(now)
}

// updateEligible recomputes whether this host may complete a join. A host that becomes eligible starts a new join, because
// its information about peers may come from a time when the peers did not know this host.
func (t *Tracker) updateEligible(now time.Time) {
	wasEligible := t.eligible
	t.eligible = t.listed && !t.retired
	if !t.listed {
		t.ready = false
	}
	if t.eligible && !wasEligible && !t.ready {
		t.startJoin(now)
	}
}

// setHosts replaces the peers and reports whether their list changed. A peer that was removed and is listed again has no
// earlier state.
func (t *Tracker) setHosts(hosts []string, now time.Time) bool {
	ids := slices.Clone(hosts)
	slices.Sort(ids)
	ids = slices.Compact(ids)
	ids = slices.DeleteFunc(ids, func(id string) bool { return id == t.self })
	same := slices.EqualFunc(ids, t.peers, func(id string, p *peer) bool { return id == p.id })
	if same {
		return false
	}
	oldPeers := t.peersByID
	t.peersByID = make(map[string]*peer, len(ids))
	t.peers = make([]*peer, 0, len(ids))
	for _, id := range ids {
		p := oldPeers[id]
		if p == nil {
			p = &peer{id: id, assumedAliveAt: now}
		}
		t.peersByID[id] = p
		t.peers = append(t.peers, p)
	}
	t.gone = newHostSet(len(ids))
	return true
}

// setServers updates the backend servers to the configuration. It recomputes home tables only if the hosts or the number
// of slots changed.
func (t *Tracker) setServers(backends []Backend, hostsChanged bool) {
	listed := make(map[string]bool, len(backends))
	for _, b := range backends {
		listed[b.ID] = true
		s := t.servers[b.ID]
		if s == nil {
			s = &server{id: b.ID}
			t.servers[b.ID] = s
		}
		if hostsChanged || s.configuredSlots != b.Slots {
			s.resize(b.Slots)
			s.home = newHomeTable(&t.weigher, b.ID, b.Slots, t.self, t.peers)
		}
	}
	for id, s := range t.servers {
		if listed[id] {
			continue
		}
		s.resize(0)
		if s.inUse == 0 {
			delete(t.servers, id)
		}
	}
}

// setServices groups the backend servers by service. The slots in use of a removed backend server still count for its
// last service.
func (t *Tracker) setServices(backends []Backend) {
	oldServices := t.services
	t.services = make(map[string]*service, len(oldServices))
	for _, s := range t.servers {
		s.position = -1
	}
	sorted := slices.Clone(backends)
	slices.SortFunc(sorted, func(a, b Backend) int { return strings.Compare(a.ID, b.ID) })
	for _, b := range sorted {
		t.addServer(t.servers[b.ID], t.ensureService(b.Service))
	}
	for name, old := range oldServices {
		for _, s := range old.servers {
			if s.position < 0 && s.inUse > 0 {
				t.addServer(s, t.ensureService(name))
			}
		}
	}
}

// ensureService returns the service with the name and creates it if needed.
func (t *Tracker) ensureService(name string) *service {
	svc := t.services[name]
	if svc == nil {
		svc = &service{}
		t.services[name] = svc
	}
	return svc
}

// addServer adds a backend server to a service.
func (t *Tracker) addServer(s *server, svc *service) {
	s.svc = svc
	s.position = len(svc.servers)
	svc.servers = append(svc.servers, s)
	svc.availability = append(svc.availability, Availability{BackendServer: s.id})
	svc.inUse += s.inUse
}
