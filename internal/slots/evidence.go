package slots

import (
	"time"

	"github.com/foxtailtack/foxtailtack/internal/membership"
)

// peer is the known state of another host of the failure domain.
type peer struct {
	id string
	// incarnation is the highest incarnation from which a message was received, 0 before the first message.
	incarnation membership.Incarnation
	// assumedAliveAt is the latest time at which the peer must be assumed alive: when its last message was received,
	// when it was added to the configuration, or when this host started its join as the current incarnation. The
	// start of the join counts because an earlier incarnation of this host may have acknowledged a join of the peer,
	// and this incarnation has no record of that.
	assumedAliveAt time.Time

	// absentListAt is the fetch time of the latest host list that confirms the peer absent, or zero without such a list.
	absentListAt time.Time
	// requestsDoneAt is the time by which the requests of the absent peer have ended at the backend servers.
	requestsDoneAt time.Time

	// departedIncarnation is the highest incarnation that sent a departure notice.
	departedIncarnation membership.Incarnation
	// departureValidUntil is the time until which the departure notice alone confirms the peer gone.
	departureValidUntil time.Time
	// ticket is the latest ticket issued to the peer, and ticketAt its time of issue.
	ticket   Ticket
	ticketAt time.Time

	// predecessorGone is true if the peer was confirmed gone when the first message of its current incarnation was
	// received.
	predecessorGone bool
	// joinConfirmed is true once the join of this host no longer waits for the peer: the peer has acknowledged it or
	// is confirmed gone.
	joinConfirmed bool
}

// gone reports whether the peer is confirmed gone at now.
func (p *peer) gone(now time.Time, opts Options) bool {
	if now.Before(p.departureValidUntil) {
		return true
	}
	return p.hasCurrentAbsence(now, opts) && !now.Before(p.requestsDoneAt)
}

// hasCurrentAbsence reports whether the latest list that confirms the peer absent is less than EvidenceMaxAge old.
func (p *peer) hasCurrentAbsence(now time.Time, opts Options) bool {
	return !p.absentListAt.IsZero() && now.Before(p.absentListAt.Add(opts.EvidenceMaxAge))
}

// nextChange returns the earliest time after now at which the result of gone may change without a new message or list,
// and false if there is none.
func (p *peer) nextChange(now time.Time, opts Options) (time.Time, bool) {
	var next time.Time
	for _, at := range [...]time.Time{p.departureValidUntil, p.requestsDoneAt, p.absentListAt.Add(opts.EvidenceMaxAge)} {
		if at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next, !next.IsZero()
}

// recordMessage records a message sent by the given incarnation of the peer. It reports whether the message shows that
// the peer is alive. A message of a replaced or departed incarnation arrived late and says nothing about the current state.
func (p *peer) recordMessage(incarnation membership.Incarnation, now time.Time, opts Options) bool {
	if incarnation < p.incarnation || incarnation <= p.departedIncarnation {
		return false
	}
	if incarnation > p.incarnation {
		p.predecessorGone = p.gone(now, opts)
		p.incarnation = incarnation
		p.joinConfirmed = false
	}
	p.assumeAlive(now)
	return true
}

// assumeAlive records that the peer must be assumed alive at now and discards all evidence that it is gone.
func (p *peer) assumeAlive(now time.Time) {
	if now.After(p.assumedAliveAt) {
		p.assumedAliveAt = now
	}
	p.departureValidUntil = time.Time{}
	p.absentListAt = time.Time{}
	p.requestsDoneAt = time.Time{}
}

// recordTicket stores the latest ticket issued to the peer and returns it.
func (p *peer) recordTicket(t Ticket, now time.Time) Ticket {
	p.ticket = t
	p.ticketAt = now
	return t
}

// recordDeparture records the departure notice of an incarnation. It reports whether the notice is accepted as evidence
// that the peer is gone.
func (p *peer) recordDeparture(incarnation membership.Incarnation, t Ticket, now time.Time, opts Options) bool {
	if incarnation < p.incarnation || t != p.ticket || t.Number == 0 {
		return false
	}
	until := p.ticketAt.Add(opts.HostListMaxLag + opts.EvidenceMaxAge)
	if !now.Before(until) {
		return false
	}
	p.incarnation = incarnation
	p.departedIncarnation = incarnation
	p.departureValidUntil = until
	if !p.absentListAt.IsZero() {
		p.requestsDoneAt = now
	}
	return true
}

// recordListing records whether a host list fetched at the given time shows the peer.
func (p *peer) recordListing(shown bool, fetchedAt time.Time, opts Options) {
	if shown {
		p.absentListAt = time.Time{}
		p.requestsDoneAt = time.Time{}
		return
	}
	switch {
	case p.hasCurrentAbsence(fetchedAt, opts):
		p.absentListAt = fetchedAt
	case fetchedAt.Before(p.departureValidUntil):
		p.absentListAt = fetchedAt
		p.requestsDoneAt = fetchedAt
	case fetchedAt.After(p.assumedAliveAt.Add(opts.HostListMaxLag)):
		// The peer may have crashed just before this list was fetched, while this host could not reach it.
		p.absentListAt = fetchedAt
		p.requestsDoneAt = fetchedAt.Add(opts.MaxRequest)
	default:
		p.absentListAt = time.Time{}
		p.requestsDoneAt = time.Time{}
	}
}
