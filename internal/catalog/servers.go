package catalog

import (
	"fmt"
	"time"
)

// putServer stores an entry unless it is older than the known one of the same id, or not later than the last one before the server was
// removed. Entries of earlier incarnations and delayed heartbeats would make a draining or stopped server available again.
func (s *State) putServer(server *Server, revision Revision, now time.Time) {
	if removed, ok := s.departed.latest(server.ID); ok && !server.heartbeat().isAfter(removed.heartbeat) {
		s.addEvent("entry_ignored", server.ID, fmt.Sprintf("sequence %d of incarnation %d is not later than %d of %d, after which the server was removed", server.Sequence, server.Incarnation, removed.sequence, removed.incarnation), revision)
		return
	}
	known := s.servers[server.ID]
	if known != nil && known.heartbeat().isAfter(server.heartbeat()) {
		s.addEvent("entry_ignored", server.ID, fmt.Sprintf("sequence %d of incarnation %d is older than %d of %d", server.Sequence, server.Incarnation, known.Sequence, known.Incarnation), revision)
		s.markSuperseding(server.ID)
		return
	}
	entry := &ServerEntry{Server: *server, Revision: revision}
	switch {
	case known != nil && (known.Revision == revision || isCopy(known, server, revision)):
		entry.ColdUntil = known.ColdUntil
	case server.ColdFor > 0:
		entry.ColdUntil = now.Add(server.ColdFor)
	}
	switch {
	case known != nil && known.Incarnation == server.Incarnation:
		entry.heldUntil = known.heldUntil
	case known == nil && s.mayHaveLeft(server, now):
		entry.heldUntil = now.Add(s.returnHold)
	}
	s.servers[server.ID] = entry
	switch {
	case known == nil && entry.isHeld():
		s.addEvent("server_held", server.ID, describeServer(server), revision)
	case known == nil || known.Incarnation != server.Incarnation:
		s.addEvent("server_added", server.ID, describeServer(server), revision)
	case known.Draining != server.Draining:
		s.addEvent("server_state", server.ID, describeServer(server), revision)
	}
}

// isCopy reports whether an entry of a later era is the known heartbeat, which the restored copy has too. Its cold time has been running
// since the heartbeat was first received.
func isCopy(known *ServerEntry, server *Server, revision Revision) bool {
	return revision.Era() > known.Revision.Era() && server.Incarnation == known.Incarnation && server.Sequence == known.Sequence
}

func describeServer(s *Server) string {
	state := "ready"
	if s.Draining {
		state = "draining"
	}
	return fmt.Sprintf("service %s, %s, failure domain %s, address %s, cold for %v", s.Service, state, s.FailureDomain, s.Address, s.ColdFor)
}

// removeServer removes a server, or marks its entry as lapsed if the lease may have expired during an outage or was lost in a
// restoration. A draining server is removed at once.
func (s *State) removeServer(id string, revision Revision, now time.Time) {
	known := s.servers[id]
	if known == nil || known.Lapsed() {
		return
	}
	if end := s.lapseEnd(lapseGrace); now.Before(end) && !known.Draining {
		entry := *known
		entry.lapseEnd = end
		s.servers[id] = &entry
		s.addEvent("server_lapsed", id, "the store was unavailable or restored; the entry is kept for a grace period", revision)
		return
	}
	s.dropServer(known, now)
	s.addEvent("server_gone", id, "", revision)
}

// dropServer deletes the entry of a server and remembers its latest heartbeat.
func (s *State) dropServer(entry *ServerEntry, now time.Time) {
	delete(s.servers, entry.ID)
	s.departed.add(&entry.Server, now)
}
