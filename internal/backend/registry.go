package backend

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/hostlist"
	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/policy"
)

// RegistryOptions configures a Registry.
type RegistryOptions struct {
	// Seed seeds the jitter of backoffs.
	Seed uint64
	// RoundRobin chooses backend servers by round robin, for baseline measurements.
	RoundRobin bool
}

// Registry decides which backend servers of this failure domain may take work. Its decisions depend only on its
// arguments and the seed; a lock makes it safe for concurrent use.
type Registry struct {
	options RegistryOptions

	mu         sync.Mutex
	rng        *rand.Rand
	servers    map[string]*serverState
	configured bool
	// roundRobinPosition is the position of RoundRobin by service.
	roundRobinPosition map[string]int
	// self and hosts determine which backend servers this host polls; see SetHosts.
	self  string
	hosts []string
}

// serverState is the known state of one backend server.
type serverState struct {
	server       *policy.BackendServer
	healthPath   string
	rampDuration time.Duration
	drain        drainState
	wasLeaving   bool
	ejection     ejection
	ramp         ramp
	// unhealthy is true while the health endpoint responds with a status other than 2xx and without a drain notice.
	unhealthy bool
	polledAt  time.Time
	// unreachableAt is the time of the last poll without a response.
	unreachableAt time.Time
	load          reportedLoad
	// suspectUntil is the time until which this host polls the backend server because a peer suspects it.
	suspectUntil time.Time
}

// NewRegistry returns a registry without backend servers.
func NewRegistry(options RegistryOptions) *Registry {
	return &Registry{
		options:            options,
		rng:                rand.New(rand.NewPCG(options.Seed, 2)),
		servers:            map[string]*serverState{},
		roundRobinPosition: map[string]int{},
	}
}

// Configure sets the backend servers of a failure domain from an accepted policy. Backend servers that a later call adds start on a
// ramp. Those of the first call do not, because they served requests before this process started.
func (r *Registry) Configure(snapshot *policy.Snapshot, failureDomain string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := map[string]bool{}
	for _, server := range snapshot.BackendServersIn(failureDomain, "") {
		known[server.ID] = true
		r.configureServer(server, snapshot, now)
	}
	for id := range r.servers {
		if !known[id] {
			delete(r.servers, id)
		}
	}
	r.configured = true
}

func (r *Registry) configureServer(server *policy.BackendServer, snapshot *policy.Snapshot, now time.Time) {
	service := snapshot.Service(server.Service)
	s, ok := r.servers[server.ID]
	if !ok {
		s = &serverState{}
		r.servers[server.ID] = s
	}
	s.server = server
	s.healthPath = service.HealthPath
	s.rampDuration = time.Duration(service.RampMs) * time.Millisecond
	s.drain.operator = snapshot.Drained(server.ID)
	if !ok && r.configured {
		s.startRamp(now)
	}
	s.updateLeaving(now)
}

func (s *serverState) startRamp(now time.Time) {
	s.ramp = ramp{start: now, duration: s.rampDuration}
}

// updateLeaving reports whether the backend server is leaving, and starts a ramp when it is back in use.
func (s *serverState) updateLeaving(now time.Time) bool {
	leaving := s.drain.leaving(now)
	if s.wasLeaving && !leaving {
		s.startRamp(now)
	}
	s.wasLeaving = leaving
	return leaving
}

// RecordNotice records information from one source on whether a backend server is leaving.
func (r *Registry) RecordNotice(id string, source Source, leaving bool, at ObservedInterval) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.servers[id]; s != nil {
		s.drain.recordSource(source, leaving, at)
		s.updateLeaving(at.ReceivedAt)
	}
}

// RecordHostList records the platform's host list. The state of a backend server that is missing from the list does not change: a
// new server may not be listed yet, and a leaving server remains leaving until it is listed as live.
func (r *Registry) RecordHostList(list hostlist.List, receivedAt time.Time) {
	at := ObservedInterval{SentAt: list.FetchedAt, ReceivedAt: receivedAt}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, s := range r.servers {
		state, listed := list.Hosts[id]
		if !listed {
			continue
		}
		s.drain.recordSource(HostList, state == hostlist.Leaving, at)
		s.updateLeaving(receivedAt)
	}
}

// Notices lists this host's own notices, sorted by backend server id. Heartbeats carry the list.
func (r *Registry) Notices() []membership.Notice {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []membership.Notice
	for _, id := range r.sortedIDs() {
		d := r.servers[id].drain
		if d.hasNotice {
			list = append(list, membership.Notice{BackendServer: id, Leaving: d.noticeLeaving, Sequence: d.noticeSequence})
		}
	}
	return list
}

// MergeNotices applies the notices of a peer's heartbeat.
func (r *Registry) MergeNotices(notices []membership.Notice, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range notices {
		if s := r.servers[n.BackendServer]; s != nil {
			s.drain.merge(n.Leaving, n.Sequence, now)
			s.updateLeaving(now)
		}
	}
}

// RecordAttempt records the result of an attempt.
func (r *Registry) RecordAttempt(id string, res Result) {
	completedAt := res.StartedAt.Add(res.Duration)
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[id]
	if s == nil {
		return
	}
	switch {
	case res.Draining:
		s.drain.recordSource(ResponseHeader, true, ObservedInterval{SentAt: res.StartedAt, ReceivedAt: completedAt})
	case res.Status != 0:
		s.drain.recordSource(ResponseHeader, false, ObservedInterval{SentAt: res.StartedAt, ReceivedAt: completedAt})
	}
	s.updateLeaving(completedAt)
	switch {
	case res.ServerFault:
		s.recordFailure(res.StartedAt, completedAt, r.rng)
	case res.Status != 0:
		s.recordSuccess(res.StartedAt, completedAt)
	}
}

func (s *serverState) recordFailure(sentAt, now time.Time, rng *rand.Rand) {
	s.ejection.recordFailure(sentAt, now, !s.ramp.done(now), rng)
}

func (s *serverState) recordSuccess(sentAt, now time.Time) {
	if s.ejection.recordSuccess(sentAt, s.ramp.done(now)) {
		s.startRamp(now)
	}
}

func (r *Registry) sortedIDs() []string {
	ids := make([]string, 0, len(r.servers))
	for id := range r.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
