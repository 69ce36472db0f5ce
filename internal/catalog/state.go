package catalog

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// lapseGrace is the time after a recovery of the store for which entries that it removed are kept, because their leases may have
// expired during the outage. According to the platform, live backend servers write their entries again within about two seconds.
const lapseGrace = 2200 * time.Millisecond

// defaultHostGrace is the grace period of hosts in a new era if SetHostGrace is not called.
const defaultHostGrace = lapseGrace

// ServerEntry is this host's known state of a backend server.
type ServerEntry struct {
	Server
	// ColdUntil is the local time until which the server is cold.
	ColdUntil time.Time
	// Revision is the revision of the entry in the store.
	Revision Revision
	// lapseEnd is set while the entry is lapsed: missing from the store after an outage or a restoration. It is the time at which the
	// entry is removed.
	lapseEnd time.Time
	// heldUntil is set while the server may have left before this host began to follow the store. It gets no requests until then if its
	// service has other servers.
	heldUntil time.Time
	// supersedes is true if the store has an older entry of the server.
	supersedes bool
}

// isHeld reports whether the server may have left before this host began to follow the store.
func (s *ServerEntry) isHeld() bool { return !s.heldUntil.IsZero() }

// Lapsed reports whether the entry is missing from the store after an outage or a restoration and kept only for a grace period.
func (s *ServerEntry) Lapsed() bool { return !s.lapseEnd.IsZero() }

// View is an immutable snapshot of a State.
type View struct {
	Configuration *Configuration
	// Announced is the highest version that other hosts have announced. If it is above that of Configuration, the configuration has not
	// arrived yet.
	Announced Version
	Servers   map[string]*ServerEntry
	// ByService holds the servers of each service, ordered by id.
	ByService map[string][]*ServerEntry
	// Evacuated holds the failure domains that must not receive requests.
	Evacuated map[string]bool
	Hosts     map[string]*Host
	// Stopping holds hosts that have announced a planned stop and may still serve or be restarted soon. They are not in Hosts.
	Stopping map[string]*Host
	Revision Revision
}

// Event is a change of the known state, for the log of this host.
type Event struct {
	// Type is the name of the log event.
	Type    string
	Subject string
	Detail  string
	// Revision is the revision of the entry that caused the change, or 0.
	Revision Revision
}

// State is the known state of the deployment, built by applying the changes of the store. It is not safe for concurrent use.
type State struct {
	configuration *Configuration
	announced     Version
	// servers holds the entries by id. Views share them, so they are replaced and never modified.
	servers  map[string]*ServerEntry
	departed departedServers
	// missed is the period in which removals of servers may have been missed; listedAt is the revision of the latest complete listing.
	missed   timeRange
	listedAt Revision
	// firstListedAt is the time of the first complete listing.
	firstListedAt time.Time
	// returnHold is the time for which a server is held that may have left.
	returnHold time.Duration
	// evacuated holds the evacuated failure domains. The value is the time at which an evacuation that is missing from the restored
	// store ends, zero if it is not missing.
	evacuated map[string]time.Time
	hosts     map[string]*hostRecord
	// stopping holds the hosts that have announced a planned stop.
	stopping         map[string]stoppingHost
	stopGrace        time.Duration
	revision         Revision
	storeRecoveredAt time.Time
	// storeRestoredAt is the time at which a later era of the store was seen, zero before the first.
	storeRestoredAt time.Time
	hostGrace       time.Duration
	events          []Event
}

type hostRecord struct {
	host     *Host
	lapseEnd time.Time
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		servers: map[string]*ServerEntry{}, evacuated: map[string]time.Time{}, hosts: map[string]*hostRecord{}, stopping: map[string]stoppingHost{},
		hostGrace: defaultHostGrace, stopGrace: defaultStopGrace, returnHold: defaultReturnHold,
	}
}

// StoreRecovered records that the store is available again after an outage. Entries that are removed shortly afterwards may
// belong to live processes.
func (s *State) StoreRecovered(now time.Time) { s.storeRecoveredAt = now }

// Apply applies the changes of a batch, in the order of the store, and returns the events to log.
func (s *State) Apply(changes []Change, at Revision, now time.Time) []Event {
	s.events = nil
	s.enterEra(at, now)
	for i := range changes {
		s.apply(&changes[i], now)
	}
	s.revision = max(s.revision, at)
	return s.events
}

// Resync applies a complete listing and removes the entries that are missing from it. It returns the events to log and the
// changes since the previous revision, ordered by revision, for hosts that follow this one. The changes are nil if they are
// unknown.
func (s *State) Resync(list []Change, at Revision, now time.Time) ([]Event, []Change) {
	s.events = nil
	diff := s.diffListing(list, at)
	s.enterEra(at, now)
	// A listing has the configuration, or announces it again.
	s.announced = 0
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
			s.missEvacuation(domain, at, now)
		}
	}
	s.revision = max(s.revision, at)
	return s.events, diff
}

// enterEra starts the grace periods if a revision belongs to a later era than the known state: the store was restored from an older
// copy, and what is missing from that copy is written again by its owners.
func (s *State) enterEra(at Revision, now time.Time) {
	if s.revision == 0 || at.Era() <= s.revision.Era() {
		return
	}
	s.storeRestoredAt = now
	// A process whose entry was missing before notices the restoration no earlier than the others.
	for id, e := range s.servers {
		if e.Lapsed() {
			entry := *e
			entry.lapseEnd = now.Add(lapseGrace)
			s.servers[id] = &entry
		}
	}
	for _, e := range s.hosts {
		if !e.lapseEnd.IsZero() {
			e.lapseEnd = now.Add(s.hostGrace)
		}
	}
	for domain, end := range s.evacuated {
		if !end.IsZero() {
			s.evacuated[domain] = now.Add(lapseGrace)
		}
	}
}

// diffListing returns the differences between a listing and the known state, ordered by revision. It returns nil if the state is
// empty or an entry has no revision; such entries come from a host that does not know their revision.
func (s *State) diffListing(list []Change, at Revision) []Change {
	if s.revision == 0 {
		return nil
	}
	diff := []Change{}
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
			_, known = evacuated[c.Evacuated]
			delete(evacuated, c.Evacuated)
		}
		if !known || c.Revision > s.revision {
			c.Revision = max(c.Revision, s.revision+1)
			diff = append(diff, c)
		}
	}
	for id := range servers {
		diff = append(diff, Change{Revision: at, ServerGone: id})
	}
	for id := range hosts {
		diff = append(diff, Change{Revision: at, HostGone: id})
	}
	for domain := range evacuated {
		diff = append(diff, Change{Revision: at, Restored: domain})
	}
	slices.SortStableFunc(diff, func(a, b Change) int { return cmp.Compare(a.Revision, b.Revision) })
	return diff
}

// Expire removes lapsed entries whose grace period has expired.
func (s *State) Expire(now time.Time) []Event {
	s.events = nil
	for _, id := range slices.Sorted(maps.Keys(s.servers)) {
		switch e := s.servers[id]; {
		case e.Lapsed() && !now.Before(e.lapseEnd):
			s.dropServer(e, now)
			s.addEvent("server_gone", id, "the entry lapsed and was not written again", e.Revision)
		case e.isHeld() && !now.Before(e.heldUntil):
			s.releaseServer(e)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.hosts)) {
		if e := s.hosts[id]; !e.lapseEnd.IsZero() && !now.Before(e.lapseEnd) {
			delete(s.hosts, id)
			s.addEvent("host_gone", id, "the entry lapsed and was not written again", 0)
		}
	}
	s.expireStoppingHosts(now)
	for _, domain := range slices.Sorted(maps.Keys(s.evacuated)) {
		if end := s.evacuated[domain]; !end.IsZero() && !now.Before(end) {
			s.evacuated[domain] = time.Time{}
			s.restore(domain, 0, now)
		}
	}
	return s.events
}

// View returns a snapshot of the state. It shares the server entries, which are replaced and never modified.
func (s *State) View() *View {
	v := &View{
		Configuration: s.configuration,
		Announced:     s.announced,
		Servers:       make(map[string]*ServerEntry, len(s.servers)),
		ByService:     map[string][]*ServerEntry{},
		Evacuated:     make(map[string]bool, len(s.evacuated)),
		Hosts:         make(map[string]*Host, len(s.hosts)),
		Stopping:      make(map[string]*Host, len(s.stopping)),
		Revision:      s.revision,
	}
	for _, id := range slices.Sorted(maps.Keys(s.servers)) {
		entry := s.servers[id]
		v.Servers[id] = entry
		v.ByService[entry.Service] = append(v.ByService[entry.Service], entry)
	}
	for service, servers := range v.ByService {
		v.ByService[service] = usable(servers)
	}
	for domain := range s.evacuated {
		v.Evacuated[domain] = true
	}
	for id, e := range s.hosts {
		v.Hosts[id] = e.host
	}
	for id, e := range s.stopping {
		v.Stopping[id] = e.host
	}
	return v
}

// Changes returns the entries that the store has according to the known state, for hosts that follow this one. Lapsed entries are
// left out.
func (s *State) Changes(now time.Time) []Change {
	var list []Change
	if s.configuration != nil {
		list = append(list, Change{Configuration: s.configuration})
	}
	if s.lacksConfiguration() {
		list = append(list, Change{Announced: s.announced})
	}
	for _, id := range slices.Sorted(maps.Keys(s.servers)) {
		if e := s.servers[id]; !e.Lapsed() {
			server := e.Server
			server.ColdFor = max(0, e.ColdUntil.Sub(now))
			list = append(list, Change{Revision: e.Revision, Server: &server})
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(s.evacuated)) {
		if s.evacuated[domain].IsZero() {
			list = append(list, Change{Evacuated: domain})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.hosts)) {
		if e := s.hosts[id]; e.lapseEnd.IsZero() {
			list = append(list, Change{Host: e.host})
		}
	}
	return list
}

func (s *State) addEvent(event, subject, detail string, revision Revision) {
	s.events = append(s.events, Event{Type: event, Subject: subject, Detail: detail, Revision: revision})
}

func (s *State) apply(c *Change, now time.Time) {
	switch {
	case c.Invalid != "":
		s.addEvent("entry_ignored", c.InvalidServer, c.Invalid, c.Revision)
		if c.InvalidServer != "" {
			s.removeServer(c.InvalidServer, c.Revision, now)
		}
	case c.Configuration != nil:
		s.configure(c.Configuration, c.Revision)
	case c.Announced > 0:
		s.announce(c.Announced, c.Revision)
	case c.Server != nil:
		s.putServer(c.Server, c.Revision, now)
	case c.ServerGone != "":
		s.removeServer(c.ServerGone, c.Revision, now)
	case c.Evacuated != "":
		if _, known := s.evacuated[c.Evacuated]; !known {
			s.addEvent("domain_evacuated", c.Evacuated, "", c.Revision)
		}
		s.evacuated[c.Evacuated] = time.Time{}
	case c.Restored != "":
		s.restore(c.Restored, c.Revision, now)
	case c.Host != nil:
		s.putHost(c.Host, c.Revision, now)
	case c.HostGone != "":
		s.removeHost(c.HostGone, c.Revision, now)
	}
}

// announce records that a configuration exists that was not handed out.
func (s *State) announce(version Version, revision Revision) {
	s.announced = max(s.announced, version)
	if s.lacksConfiguration() && version == s.announced {
		s.addEvent("configuration_announced", fmt.Sprint(version), "", revision)
	}
}

// lacksConfiguration reports whether a later configuration than the one in force was announced.
func (s *State) lacksConfiguration() bool {
	return s.announced > 0 && (s.configuration == nil || s.announced > s.configuration.Version)
}

// configure puts a configuration in force, unless its version is not above the one in force.
func (s *State) configure(c *Configuration, revision Revision) {
	if s.configuration != nil && c.Version <= s.configuration.Version {
		if c.Version < s.configuration.Version {
			s.addEvent("configuration_ignored", fmt.Sprint(c.Version), fmt.Sprintf("version %d is in force", s.configuration.Version), revision)
		}
		return
	}
	s.configuration = c
	s.addEvent("configuration_in_force", fmt.Sprint(c.Version), fmt.Sprintf("host names %d, services %d", len(c.Routes), len(c.Services)), revision)
	for _, issue := range c.Issues {
		s.addEvent("configuration_part_ignored", fmt.Sprint(c.Version), issue, revision)
	}
}

// lapseEnd returns the end of the grace period of missing entries, a time in the past if there is none. restoreGrace is the length of
// the period after a restoration.
func (s *State) lapseEnd(restoreGrace time.Duration) time.Time {
	var end time.Time
	if !s.storeRecoveredAt.IsZero() {
		end = s.storeRecoveredAt.Add(lapseGrace)
	}
	if !s.storeRestoredAt.IsZero() {
		end = later(end, s.storeRestoredAt.Add(restoreGrace))
	}
	return end
}

// missEvacuation ends an evacuation that is missing from a listing. After a restoration it is kept for a grace period.
func (s *State) missEvacuation(domain string, revision Revision, now time.Time) {
	end := s.storeRestoredAt.Add(lapseGrace)
	if s.evacuated[domain].IsZero() && !s.storeRestoredAt.IsZero() && now.Before(end) {
		s.evacuated[domain] = end
		s.addEvent("evacuation_lapsed", domain, "the store was restored; the evacuation is kept for a grace period", revision)
		return
	}
	s.restore(domain, revision, now)
}

// restore ends the evacuation of a failure domain, unless it is kept for a grace period. Its servers may be cold before their entries
// report it, so they are treated as cold for the cold time that their service has after a start.
func (s *State) restore(domain string, revision Revision, now time.Time) {
	if end, known := s.evacuated[domain]; !known || !end.IsZero() {
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
	s.addEvent("domain_restored", domain, "", revision)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
