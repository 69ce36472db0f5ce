package catalog

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// missedMargin is added before the time up to which all changes were received. Hosts see a change at different times, up to seconds
	// apart.
	missedMargin = 5 * time.Second
	// removalLag is added after a period in which removals were missed. A host records the removal of a server up to a grace period after
	// the store made it.
	removalLag = 5 * time.Second
	// maxSupersedingBytes bounds the superseding entries of a Departures, whose strings other writers may choose.
	maxSupersedingBytes = 128 << 10
	// serverBytes is the size of a Server without its strings.
	serverBytes = 96
	// firstSequences is the number of heartbeats with which a server counts as one that has just started.
	firstSequences = 3
	// defaultReturnHold is the time for which returned servers are held if SetHeartbeat is not called.
	defaultReturnHold = 6 * time.Second
	// heartbeatsUntilRemoval is the number of heartbeats without which the platform removes the entry of a server.
	heartbeatsUntilRemoval = 3
)

// Removal is the latest heartbeat that a host knows of a server that was removed from the store.
type Removal struct {
	ID          string
	Incarnation Incarnation
	Sequence    uint64
	// Ago is the time since the removal.
	Ago time.Duration
}

// Departures is what a host knows about servers that have left or are leaving and that the store does not show, for hosts that have
// missed it.
type Departures struct {
	// Revision is the revision of the host's state.
	Revision Revision
	Removed  []Removal
	// Superseding lists servers whose entry in the store is older than the one that the host knows.
	Superseding []Server
	// Missed is the period in which the host itself may have missed removals.
	Missed Period
}

// beginListing records that a complete listing is applied next. since is the time up to which all changes were received. The listing shows
// neither the servers that were removed since then nor their latest heartbeats.
func (s *State) beginListing(since time.Time, at Revision, now time.Time) {
	missed := timeRange{since.Add(-missedMargin), now}
	if s.revision == 0 {
		missed.from = now.Add(-departedTTL)
		s.firstListedAt = now
	}
	s.missed = s.missed.hull(missed)
	s.listedAt = max(s.listedAt, at)
}

// missedRemovals returns the period in which removals may have been missed. Removals that would no longer be remembered do not count.
func (s *State) missedRemovals(now time.Time) timeRange {
	return s.missed.intersection(timeRange{now.Add(-departedTTL), now})
}

// departures returns what this host knows about a period in which another host may have missed removals.
func (s *State) departures(asked Period, now time.Time) Departures {
	wanted := asked.before(now)
	missed := s.missedRemovals(now)
	if discarded := s.departed.discardedUntil; !discarded.IsZero() {
		missed = missed.hull(timeRange{now.Add(-departedTTL), discarded.Add(1)})
	}
	d := Departures{Revision: s.revision, Missed: missed.ago(now)}
	for _, r := range s.departed.between(wanted.from, wanted.to.Add(removalLag)) {
		d.Removed = append(d.Removed, Removal{r.id, r.incarnation, r.sequence, now.Sub(r.removedAt)})
	}
	size := 0
	for _, id := range slices.Sorted(maps.Keys(s.servers)) {
		e := s.servers[id]
		if e.Lapsed() && e.Incarnation != 0 {
			d.Removed = append(d.Removed, Removal{e.ID, e.Incarnation, e.Sequence, 0})
		}
		if !e.supersedes || e.Lapsed() {
			continue
		}
		if size += serverBytes + len(e.ID) + len(e.Service) + len(e.FailureDomain) + len(e.Software); size > maxSupersedingBytes {
			break
		}
		d.Superseding = append(d.Superseding, e.Server)
	}
	return d
}

// learnDepartures applies what another host knows about servers that have left. The period of missed removals is shortened to the part
// that the other host has missed too, unless its state is older than the latest listing.
func (s *State) learnDepartures(d Departures, now time.Time) []Event {
	s.events = nil
	removed := make([]departedServer, 0, min(len(d.Removed), maxDeparted))
	for _, r := range d.Removed {
		removal := departedServer{heartbeat{r.Incarnation, r.Sequence}, r.ID, now.Add(-max(0, r.Ago))}
		removed = append(removed, removal)
		if known := s.servers[r.ID]; known != nil && r.Incarnation != 0 && !known.heartbeat().isAfter(removal.heartbeat) {
			s.addEvent("removal_learned", r.ID, fmt.Sprintf("sequence %d of incarnation %d is not later than %d of %d, after which the server was removed", known.Sequence, known.Incarnation, r.Sequence, r.Incarnation), known.Revision)
			s.removeServer(r.ID, known.Revision, now)
		}
	}
	s.departed.merge(removed, now)
	for i := range d.Superseding {
		server := &d.Superseding[i]
		if known := s.servers[server.ID]; known != nil && server.heartbeat().isAfter(known.heartbeat()) {
			s.putServer(server, known.Revision, now)
			s.markSuperseding(server.ID)
		}
	}
	if d.Revision >= s.listedAt {
		s.missed = s.missed.intersection(d.Missed.before(now))
	}
	if s.missedRemovals(now).isEmpty() {
		for _, id := range slices.Sorted(maps.Keys(s.servers)) {
			if e := s.servers[id]; e.isHeld() {
				s.releaseServer(e)
			}
		}
	}
	return s.events
}

// markSuperseding records that the store's entry of a server is older than the known one.
func (s *State) markSuperseding(id string) {
	entry := *s.servers[id]
	entry.supersedes = true
	s.servers[id] = &entry
}

// mayHaveLeft reports whether a server that is new to this host may have left before this host began to follow the store: its entry
// appears although the server was started before, and no other host has reported whether the server was removed. The entry is then either
// a late heartbeat or that of a server that was unresponsive. Entries that return after an outage of the store belong to live servers.
func (s *State) mayHaveLeft(server *Server, now time.Time) bool {
	return s.revision > 0 && server.Incarnation != 0 && int64(server.Incarnation) < s.firstListedAt.UnixMilli() && server.Sequence > firstSequences &&
		!s.missedRemovals(now).isEmpty() && !now.Before(s.lapseEnd(lapseGrace))
}

// releaseServer ends the hold of a server.
func (s *State) releaseServer(e *ServerEntry) {
	entry := *e
	entry.heldUntil = time.Time{}
	s.servers[e.ID] = &entry
	s.addEvent("server_released", e.ID, describeServer(&e.Server), e.Revision)
}

// usable returns the servers of a service that are not held, or all of them if each is held.
func usable(servers []*ServerEntry) []*ServerEntry {
	if !slices.ContainsFunc(servers, (*ServerEntry).isHeld) {
		return servers
	}
	if free := slices.DeleteFunc(slices.Clone(servers), (*ServerEntry).isHeld); len(free) > 0 {
		return free
	}
	return servers
}

// SetHeartbeat sets the interval between two heartbeats of a backend server. It must be called before Run.
func (f *Follower) SetHeartbeat(interval time.Duration) {
	// The removal takes up to one more interval to arrive.
	f.state.returnHold = (heartbeatsUntilRemoval + 1) * interval
}

// MissedRemovals returns the period in which this host may have missed removals of servers, empty if there is none, and the revision of
// its latest complete listing.
func (f *Follower) MissedRemovals() (Period, Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	return f.state.missedRemovals(now).ago(now), f.state.listedAt
}

// Departures returns what this host knows about servers that have left, for a host that may have missed removals in a period.
func (f *Follower) Departures(missed Period) Departures {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.departures(missed, f.now())
}

// LearnDepartures applies what another host knows about servers that have left.
func (f *Follower) LearnDepartures(d Departures) {
	f.update(func(now time.Time) ([]Event, []Change) { return f.state.learnDepartures(d, now), nil })
}
