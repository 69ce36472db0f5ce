package backend

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// pollersPerServer is the number of entry hosts that poll a backend server in its normal state. With two, one poller
	// remains after the loss of the other, until the peers detect the loss.
	pollersPerServer = 2
	// suspectTTL is the time for which this host polls a backend server after a peer reported it as suspect. In a failure
	// domain of 27 hosts a host sends its heartbeat to 8 peers each second, so a few seconds pass between two heartbeats of the
	// same peer.
	suspectTTL = 5 * time.Second
)

// SetHosts sets the reachable entry hosts of the failure domain, including this one, among which the polls are divided. Until
// the first call, this host polls every backend server.
func (r *Registry) SetHosts(self string, reachable []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self = self
	r.hosts = append(r.hosts[:0], reachable...)
}

// RecordPeerSuspects records the backend servers that a peer suspects. This host then polls them itself, so that it ejects a
// failed server as early as a host that polls it all the time.
func (r *Registry) RecordPeerSuspects(ids []string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		if s := r.servers[id]; s != nil {
			s.suspectUntil = now.Add(suspectTTL)
		}
	}
}

// Suspects lists the backend servers whose failures this host observed itself, sorted by id. Heartbeats carry the list.
func (r *Registry) Suspects() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id, s := range r.servers {
		if s.failing() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// failing reports whether this host's own polls or attempts fail.
func (s *serverState) failing() bool {
	return s.ejection.ejected || s.ejection.failures > 0 || s.unhealthy
}

// polledByAllHosts reports whether every host polls the backend server, because it is not in its normal state or may leave that
// state soon. Each host that knows of a drain or made an ejection must observe the server's return itself.
func (s *serverState) polledByAllHosts(now time.Time) bool {
	leaving := s.drain.sourcesLeaving() || s.drain.peerLeaving(now)
	return leaving || s.failing() || now.Before(s.suspectUntil) || !s.ramp.done(now)
}

// shouldPoll reports whether this host polls a backend server at now.
func (r *Registry) shouldPoll(id string, now time.Time) bool {
	return r.servers[id].polledByAllHosts(now) || isAssignedPoller(id, r.self, r.hosts)
}

// isAssignedPoller reports whether self is one of the first pollersPerServer hosts in the rendezvous hashing order of a backend
// server.
func isAssignedPoller(server, self string, hosts []string) bool {
	own := rendezvousWeight(server, self)
	higher := 0
	for _, host := range hosts {
		if w := rendezvousWeight(server, host); w > own || w == own && host < self {
			higher++
		}
	}
	return higher < pollersPerServer
}

func rendezvousWeight(server, host string) uint64 {
	return xxhash.Sum64String(server + "\x00" + host)
}
