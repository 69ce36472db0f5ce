package placement

import "time"

// Observation is the end of an attempt.
type Observation struct {
	// Connect is the time that the opening of a connection took, zero if none was opened.
	Connect time.Duration
	// Took is the time from the start of the attempt to its end.
	Took time.Duration
	// Answered is true if the server ran the request and answered it whole.
	Answered bool
	// Shed is true if the server refused the request without running it.
	Shed bool
	// Failed is true if the end speaks against the server.
	Failed bool
	// Requests is the number of requests at the server that the answer reported; HasRequests is false if it reported none.
	Requests    int
	HasRequests bool
}

// Started notes that the request of a decision is sent. It returns false if the limit of a cold server was used up meanwhile.
func (t *Table) Started(d *Decision, now time.Time) bool {
	if now.Before(d.Server.ColdUntil) {
		service := t.service(d.Server.Service)
		if service == nil || !d.server.cold.take(t.coldRate(d.Server, service), now) {
			return false
		}
	}
	d.server.load.own++
	t.drift.ran(t.regions[d.Server.FailureDomain], now)
	return true
}

// Ended notes the end of the attempt of a decision. It returns true if the server is ejected by it.
func (t *Table) Ended(d *Decision, r *Request, o *Observation, now time.Time) bool {
	s := d.server
	s.load.own--
	if o.HasRequests {
		t.usualFor(d.Server).report(s.load.report(o.Requests, now)/float64(s.entry.Slots), now)
	}
	if o.Connect > 0 {
		t.ObserveRoundTrip(d.Server.FailureDomain, o.Connect)
	}
	if o.Answered {
		t.observeRun(s, r, d, o, now)
	}
	switch {
	case o.Failed, o.Shed && t.HasRoom(d, now):
		ejected := s.ejection.failed(now)
		if ejected {
			t.drift.disturbed = now
		}
		return ejected
	case o.Answered:
		s.ejection.succeeded()
	}
	return false
}

// observeRun learns service times, the server's speed and which objects it keeps warm.
func (t *Table) observeRun(s *server, r *Request, d *Decision, o *Observation, now time.Time) {
	run := max(time.Millisecond, o.Took-t.roundTrip(d.Server.FailureDomain)-o.Connect).Seconds()
	wasWarm := s.isWarm(r.Object, now)
	if r.Route.Sticky {
		s.remember(r.Object, now)
	}
	times := t.times(r.Route, r.Service)
	if queue := queueFactor(d.Load, s.entry.Slots); queue > 1 {
		// The time in the queue is not known, so the answer tells nothing about the server's speed. A host that starts while all
		// servers are full gets no other answers, and would never reject what must be late.
		if !t.knows(r) {
			times.add(run / queue)
		}
		return
	}
	if wasWarm || d.Warm {
		s.slowness.observe(run/t.serviceTime(r, true), now)
	}
	times.add(run)
}
