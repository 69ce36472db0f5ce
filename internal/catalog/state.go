package catalog

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// lapseGrace is the time after the store's return for which entries that lapsed during its outage are trusted. The platform
// says that live backend servers are back within about two seconds.
const lapseGrace = 2200 * time.Millisecond

// ServerEntry is a backend server as this host knows it.
type ServerEntry struct {
	Server
	// ColdUntil is the local time until which the server is cold.
	ColdUntil time.Time
	// Revision is that of the store's entry.
	Revision Revision
	// lapsedUntil is set while the entry is missing from the store after an outage.
	lapsedUntil time.Time
}

// Lapsed reports whether the entry is missing from the store and only trusted for a short time.
func (s *ServerEntry) Lapsed() bool { return !s.lapsedUntil.IsZero() }

// View is an immutable picture of the state.
type View struct {
	Configuration *Configuration
	Servers       map[string]*ServerEntry
	// ByService holds the servers of each service in the order of ids.
	ByService map[string][]*ServerEntry
	// Evacuated holds the failure domains that get no requests.
	Evacuated map[string]bool
	Hosts     map[string]*Host
	Revision  Revision
}

// Effect is a change of what this host believes, for its log.
type Effect struct {
	// Event is the name of the log event.
	Event   string
	Subject string
	Detail  string
	// Revision is that of the entry that caused the change, or 0.
	Revision Revision
}

// State folds the changes of the store. It is not safe for concurrent use.
type State struct {
	configuration *Configuration
	// servers holds immutable entries, which views share.
	servers    map[string]*ServerEntry
	evacuated  map[string]bool
	hosts      map[string]*hostEntry
	revision   Revision
	regainedAt time.Time
	effects    []Effect
}

type hostEntry struct {
	host        *Host
	lapsedUntil time.Time
}

// NewState returns an empty state.
func NewState() *State {
	return &State{servers: map[string]*ServerEntry{}, evacuated: map[string]bool{}, hosts: map[string]*hostEntry{}}
}

// Regained says that the store answers again after an outage. Entries removed shortly after that may belong to live processes.
func (s *State) Regained(now time.Time) { s.regainedAt = now }

// Apply takes the changes of one batch, in the store's order.
func (s *State) Apply(changes []Change, at Revision, now time.Time) []Effect {
	s.effects = nil
	for i := range changes {
		s.apply(&changes[i], now)
	}
	s.revision = max(s.revision, at)
	return s.effects
}

// Resync takes a whole listing. Entries that it lacks are removed. It returns the changes since the revision known before, in the
// order of revisions, for hosts that follow this one; nil if they are not known.
func (s *State) Resync(list []Change, at Revision, now time.Time) ([]Effect, []Change) {
	s.effects = nil
	news := s.newsOf(list, at)
	seenServers, seenHosts, evacuated := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for i := range list {
		c := &list[i]
		switch {
		case c.Server != nil:
			seenServers[c.Server.ID] = true
		case c.Host != nil:
			seenHosts[c.Host.ID] = true
		case c.Evacuated != "":
			evacuated[c.Evacuated] = true
		}
		s.apply(c, now)
	}
	for _, id := range slices.Sorted(maps.Keys(s.servers)) {
		if !seenServers[id] {
			s.removeServer(id, at, now)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.hosts)) {
		if !seenHosts[id] {
			s.removeHost(id, at, now)
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(s.evacuated)) {
		if !evacuated[domain] {
			s.restore(domain, at, now)
		}
	}
	s.revision = max(s.revision, at)
	return s.effects, news
}

// newsOf returns how a listing differs from what is known. Entries without a revision come from a host that does not know theirs.
func (s *State) newsOf(list []Change, at Revision) []Change {
	if s.revision == 0 {
		return nil
	}
	news := []Change{}
	servers, hosts, evacuated := maps.Clone(s.servers), maps.Clone(s.hosts), maps.Clone(s.evacuated)
	for _, c := range list {
		known := true
		switch {
		case c.Revision == 0:
			return nil
		case c.Server != nil:
			_, known = servers[c.Server.ID]
			delete(servers, c.Server.ID)
		case c.Host != nil:
			_, known = hosts[c.Host.ID]
			delete(hosts, c.Host.ID)
		case c.Evacuated != "":
			known = evacuated[c.Evacuated]
			delete(evacuated, c.Evacuated)
		}
		if !known || c.Revision > s.revision {
			c.Revision = max(c.Revision, s.revision+1)
			news = append(news, c)
		}
	}
	for id := range servers {
		news = append(news, Change{Revision: at, ServerGone: id})
	}
	for id := range hosts {
		news = append(news, Change{Revision: at, HostGone: id})
	}
	for domain := range evacuated {
		news = append(news, Change{Revision: at, Restored: domain})
	}
	slices.SortStableFunc(news, func(a, b Change) int { return cmp.Compare(a.Revision, b.Revision) })
	return news
}

// Expire removes entries that lapsed during an outage and did not come back.
func (s *State) Expire(now time.Time) []Effect {
	s.effects = nil
	for _, id := range slices.Sorted(maps.Keys(s.servers)) {
		if e := s.servers[id]; e.Lapsed() && !now.Before(e.lapsedUntil) {
			delete(s.servers, id)
			s.note("server_gone", id, "its entry lapsed and did not come back", e.Revision)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.hosts)) {
		if e := s.hosts[id]; !e.lapsedUntil.IsZero() && !now.Before(e.lapsedUntil) {
			delete(s.hosts, id)
			s.note("host_gone", id, "its entry lapsed and did not come back", 0)
		}
	}
	return s.effects
}

// View returns a picture of the state. It shares the entries of servers, which are replaced and never changed.
func (s *State) View() *View {
	v := &View{
		Configuration: s.configuration,
		Servers:       make(map[string]*ServerEntry, len(s.servers)),
		ByService:     map[string][]*ServerEntry{},
		Evacuated:     maps.Clone(s.evacuated),
		Hosts:         make(map[string]*Host, len(s.hosts)),
		Revision:      s.revision,
	}
	for _, id := range slices.Sorted(maps.Keys(s.servers)) {
		entry := s.servers[id]
		v.Servers[id] = entry
		v.ByService[entry.Service] = append(v.ByService[entry.Service], entry)
	}
	for id, e := range s.hosts {
		v.Hosts[id] = e.host
	}
	return v
}

// Changes lists the entries that the store has as far as this host knows, for hosts that follow this one.
func (s *State) Changes(now time.Time) []Change {
	var list []Change
	if s.configuration != nil {
		list = append(list, Change{Configuration: s.configuration})
	}
	for _, id := range slices.Sorted(maps.Keys(s.servers)) {
		if e := s.servers[id]; !e.Lapsed() {
			server := e.Server
			server.ColdFor = max(0, e.ColdUntil.Sub(now))
			list = append(list, Change{Revision: e.Revision, Server: &server})
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(s.evacuated)) {
		list = append(list, Change{Evacuated: domain})
	}
	for _, id := range slices.Sorted(maps.Keys(s.hosts)) {
		if e := s.hosts[id]; e.lapsedUntil.IsZero() {
			list = append(list, Change{Host: e.host})
		}
	}
	return list
}

func (s *State) note(event, subject, detail string, revision Revision) {
	s.effects = append(s.effects, Effect{Event: event, Subject: subject, Detail: detail, Revision: revision})
}

func (s *State) apply(c *Change, now time.Time) {
	switch {
	case c.Invalid != "":
		s.note("entry_ignored", c.InvalidServer, c.Invalid, c.Revision)
		if c.InvalidServer != "" {
			s.removeServer(c.InvalidServer, c.Revision, now)
		}
	case c.Configuration != nil:
		s.configure(c.Configuration, c.Revision)
	case c.Server != nil:
		s.putServer(c.Server, c.Revision, now)
	case c.ServerGone != "":
		s.removeServer(c.ServerGone, c.Revision, now)
	case c.Evacuated != "":
		if !s.evacuated[c.Evacuated] {
			s.evacuated[c.Evacuated] = true
			s.note("domain_evacuated", c.Evacuated, "", c.Revision)
		}
	case c.Restored != "":
		s.restore(c.Restored, c.Revision, now)
	case c.Host != nil:
		s.putHost(c.Host, c.Revision)
	case c.HostGone != "":
		s.removeHost(c.HostGone, c.Revision, now)
	}
}

// configure takes a configuration unless it is older than the one in force.
func (s *State) configure(c *Configuration, revision Revision) {
	if s.configuration != nil && c.Version <= s.configuration.Version {
		if c.Version < s.configuration.Version {
			s.note("configuration_ignored", fmt.Sprint(c.Version), fmt.Sprintf("version %d is in force", s.configuration.Version), revision)
		}
		return
	}
	s.configuration = c
	s.note("configuration_in_force", fmt.Sprint(c.Version), fmt.Sprintf("host names %d, services %d", len(c.Routes), len(c.Services)), revision)
}

// putServer takes an entry unless it is older than the known one of the same id: entries of earlier incarnations and
// delayed heartbeats would bring a leaving server back.
func (s *State) putServer(server *Server, revision Revision, now time.Time) {
	known := s.servers[server.ID]
	if known != nil && (server.Incarnation < known.Incarnation || server.Incarnation == known.Incarnation && server.Sequence < known.Sequence) {
		s.note("entry_ignored", server.ID, fmt.Sprintf("sequence %d of incarnation %d is older than %d of %d", server.Sequence, server.Incarnation, known.Sequence, known.Incarnation), revision)
		return
	}
	entry := &ServerEntry{Server: *server, Revision: revision}
	switch {
	case known != nil && known.Revision == revision:
		entry.ColdUntil = known.ColdUntil
	case server.ColdFor > 0:
		entry.ColdUntil = now.Add(server.ColdFor)
	}
	s.servers[server.ID] = entry
	switch {
	case known == nil || known.Incarnation != server.Incarnation:
		s.note("server_added", server.ID, describe(server), revision)
	case known.Draining != server.Draining:
		s.note("server_state", server.ID, describe(server), revision)
	}
}

func describe(s *Server) string {
	state := "ready"
	if s.Draining {
		state = "draining"
	}
	return fmt.Sprintf("service %s, %s, failure domain %s, address %s, cold for %v", s.Service, state, s.FailureDomain, s.Address, s.ColdFor)
}

// removeServer forgets a server, or trusts it a little longer if its entry may have lapsed during an outage.
func (s *State) removeServer(id string, revision Revision, now time.Time) {
	known := s.servers[id]
	if known == nil || known.Lapsed() {
		return
	}
	if s.mayHaveLapsed(now) && !known.Draining {
		entry := *known
		entry.lapsedUntil = s.regainedAt.Add(lapseGrace)
		s.servers[id] = &entry
		s.note("server_lapsed", id, "the store was away; the entry is trusted for a short time", revision)
		return
	}
	delete(s.servers, id)
	s.note("server_gone", id, "", revision)
}

func (s *State) mayHaveLapsed(now time.Time) bool {
	return !s.regainedAt.IsZero() && now.Before(s.regainedAt.Add(lapseGrace))
}

// restore ends an evacuation. The servers of the domain may be cold without their entries saying so yet, so they are
// treated as cold for as long as their service needs after a start.
func (s *State) restore(domain string, revision Revision, now time.Time) {
	if !s.evacuated[domain] {
		return
	}
	delete(s.evacuated, domain)
	for id, e := range s.servers {
		if e.FailureDomain != domain || s.configuration == nil {
			continue
		}
		if service := s.configuration.Services[e.Service]; service != nil {
			entry := *e
			entry.ColdUntil = later(entry.ColdUntil, now.Add(service.ColdFor))
			s.servers[id] = &entry
		}
	}
	s.note("domain_restored", domain, "", revision)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s *State) putHost(h *Host, revision Revision) {
	known := s.hosts[h.ID]
	if known != nil && h.Incarnation < known.host.Incarnation {
		return
	}
	s.hosts[h.ID] = &hostEntry{host: h}
	if known == nil || known.host.Incarnation != h.Incarnation {
		s.note("host_added", h.ID, fmt.Sprintf("failure domain %s, address %s, incarnation %d", h.FailureDomain, h.CallerAddress, h.Incarnation), revision)
	}
}

func (s *State) removeHost(id string, revision Revision, now time.Time) {
	known := s.hosts[id]
	if known == nil || !known.lapsedUntil.IsZero() {
		return
	}
	if s.mayHaveLapsed(now) {
		known.lapsedUntil = s.regainedAt.Add(lapseGrace)
		return
	}
	delete(s.hosts, id)
	s.note("host_gone", id, "", revision)
}
