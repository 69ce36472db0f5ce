package backend

import "time"

// Health is the result of one poll of a health endpoint.
type Health struct {
	// Reached is true if an HTTP response was received.
	Reached bool
	// Healthy is true for a status of 2xx.
	Healthy bool
	// Draining is true if the response says that the backend server is leaving.
	Draining bool
	At       ObservedInterval
}

// RecordHealth records the result of a poll. The result of a poll that was sent before the latest recorded one is ignored, unless
// it says that the backend server is leaving.
func (r *Registry) RecordHealth(id string, h Health) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[id]
	if s == nil || h.At.SentAt.Before(s.polledAt) && !h.Draining {
		return
	}
	s.polledAt = later(s.polledAt, h.At.SentAt)
	if !h.Reached {
		s.unreachableAt = later(s.unreachableAt, h.At.ReceivedAt)
		s.recordFailure(h.At.SentAt, h.At.ReceivedAt, r.rng)
		return
	}
	s.recordSuccess(h.At.SentAt, h.At.ReceivedAt)
	s.unhealthy = !h.Healthy && !h.Draining
	s.recordHealthNotice(h)
	s.updateLeaving(h.At.ReceivedAt)
}

// headerNoticeTTL is the time after which a notice from a response header expires if the health endpoint reports a healthy server.
// A leaving backend server gets no request whose response could clear the notice, and a false notice must not keep the server out of
// use forever.
const headerNoticeTTL = time.Minute

// recordHealthNotice updates the drain state from a poll. A health endpoint may be stale, so a healthy response alone does not clear
// the source ResponseHeader: since that notice, the process must have been unreachable or leaving according to its health endpoint,
// or headerNoticeTTL must have passed.
func (s *serverState) recordHealthNotice(h Health) {
	if h.Draining {
		s.drain.recordSource(HealthEndpoint, true, h.At)
		return
	}
	if !h.Healthy {
		return
	}
	cameBack := s.drain.sources[HealthEndpoint].leaving
	s.drain.recordSource(HealthEndpoint, false, h.At)
	headerNoticeAt := s.drain.sources[ResponseHeader].validAt
	if cameBack || s.unreachableAt.After(headerNoticeAt) || h.At.SentAt.Sub(headerNoticeAt) >= headerNoticeTTL {
		s.drain.recordSource(ResponseHeader, false, h.At)
	}
}

// Target is a health endpoint to poll.
type Target struct {
	ID string
	// HealthURL and LoadURL are absolute.
	HealthURL string
	LoadURL   string
}

// Targets lists the health endpoints that this host polls at now, sorted by backend server id.
func (r *Registry) Targets(now time.Time) []Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Target
	for _, id := range r.sortedIDs() {
		if !r.shouldPoll(id, now) {
			continue
		}
		s := r.servers[id]
		base := "http://" + s.server.Address.String()
		list = append(list, Target{ID: id, HealthURL: base + s.healthPath, LoadURL: base + loadPath})
	}
	return list
}
