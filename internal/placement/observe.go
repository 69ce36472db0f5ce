package placement

import "time"

// AttemptResult describes how an attempt ended.
type AttemptResult struct {
	// ConnectTime is the time taken to open a connection, zero if none was opened.
	ConnectTime time.Duration
	// Duration is the time from the start to the end of the attempt.
	Duration time.Duration
	// Completed is true if the server ran the request and its complete response arrived.
	Completed bool
	// Shed is true if the server rejected the request without running it.
	Shed bool
	// Failed is true if the attempt counts as a failure of the server.
	Failed bool
	// Requests is the number of requests at the server according to the response. HasRequests is false if it has no such report.
	Requests    int
	HasRequests bool
	// Speed is the time that work takes on the server's machine according to the response, where 1 is normal; zero if the response does
	// not state it.
	Speed float64
	// Notice is what the server reported about itself, nil if it did not respond.
	Notice *Notice
}

// StartAttempt records that the request of a decision is sent. It returns false if the rate limit of a server has been reached since
// the decision.
func (t *Table) StartAttempt(d *Decision, now time.Time) bool {
	if now.Before(d.Server.ColdUntil) {
		service := t.service(d.Server.Service)
		if service == nil || !d.server.cold.take(t.coldRate(d.Server, service), now) {
			return false
		}
	}
	if d.server.notice.limited {
		l := t.limiterOf(d.server, now)
		if l.tokens < urgentTokens {
			return false
		}
		l.tokens--
	}
	d.server.load.ownRequests++
	t.shareLimiter.record(t.regions[d.Server.FailureDomain], now)
	return true
}

// MaySend reports whether the request of a decision may still be sent. Until a connection is open, which takes up to half a second, the
// server may have left, may have been evacuated, or may have rejected other requests for some time.
func (t *Table) MaySend(d *Decision, r *Request, now time.Time) bool {
	entry := t.view.Servers[d.Server.ID]
	if entry == nil || entry.Incarnation != d.Server.Incarnation || !t.isAllowed(r, entry) {
		return false
	}
	return !d.server.notice.leaving && !now.Before(d.server.notice.unavailableUntil)
}

// EndAttempt records the result of the attempt of a decision. It returns what changed about the server.
func (t *Table) EndAttempt(d *Decision, r *Request, o *AttemptResult, now time.Time) []ServerChange {
	s := d.server
	s.load.ownRequests--
	if o.HasRequests {
		s.ownReport = ownReport{max(0, o.Requests), o.Speed, now}
		t.reportSpeed(s, o.Speed, now)
		t.shared.add(s)
		t.averageLoadFor(d.Server).report(s.load.report(o.Requests, now)/float64(s.entry.Slots), now)
	}
	if o.ConnectTime > 0 {
		t.ObserveRoundTrip(d.Server.FailureDomain, o.ConnectTime)
	}
	if o.Completed {
		t.observeServiceTime(s, r, d, o, now)
	}
	var changes []ServerChange
	if o.Notice != nil {
		before := s.notice
		changes = s.notice.observe(o.Notice, now.Add(-o.Duration), now)
		if s.notice.limited && !before.limited {
			s.limiter = rateLimiter{updated: now}
		}
		if s.notice.leaving && !before.leaving {
			clear(t.capacities)
			t.shareLimiter.lastLoss = now
		}
	}
	switch {
	case o.Failed, o.Shed && t.HasFreeSlot(d, now):
		if s.ejection.recordFailure(now) {
			t.shareLimiter.lastLoss = now
			changes = append(changes, ServerChange{Event: eventServerEjected, For: s.ejection.length})
		}
	case o.Completed:
		s.ejection.recordSuccess()
	}
	return changes
}

// observeServiceTime updates the service times of the route, the slowness of the server and the objects that it keeps warm.
func (t *Table) observeServiceTime(s *server, r *Request, d *Decision, o *AttemptResult, now time.Time) {
	run := max(time.Millisecond, o.Duration-t.roundTrip(d.Server.FailureDomain)-o.ConnectTime).Seconds()
	wasWarm := s.isWarm(r.Object, now)
	if r.Route.Sticky {
		s.remember(r.Object, now)
	}
	if o.Speed >= minSpeed {
		run /= min(o.Speed, maxSpeed)
	}
	times := t.times(r.Route, r.Service)
	if queue := queueFactor(d.Load, s.entry.Slots); queue > 1 {
		// The time in the queue is unknown, so the response says nothing about the slowness of the server. It is still used for the
		// service times until there are enough of them: a host that starts while all servers are full gets no other responses, and
		// would otherwise never reject requests that cannot meet their deadline.
		if !t.hasTimes(r) {
			times.add(run / queue)
		}
		return
	}
	if wasWarm || d.Warm {
		s.slowness.observe(run/t.serviceTime(r, true), now)
	}
	times.add(run)
}
