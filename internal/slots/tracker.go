package slots

import (
	"slices"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/hostlist"
	"github.com/foxtailtack/foxtailtack/internal/membership"
)

// Tracker decides which slots this host may use and counts the slots in use. It is a state machine without I/O, clock or
// locks: the caller passes the time, sends the messages and holds a lock around each call.
type Tracker struct {
	self        string
	incarnation membership.Incarnation
	opts        Options

	// predecessorsDoneAt is the time by which the requests of the earlier processes of this host have ended.
	predecessorsDoneAt time.Time
	// joinStartedAt is the time at which joinTimeout starts.
	joinStartedAt time.Time
	// listed is true while the configuration lists this host, and retired while it marks it as retired.
	listed  bool
	retired bool
	// eligible is true while this host may complete a join: it is listed and not retired.
	eligible bool
	ready    bool
	// departed is true once this host may send its departure notice. It then takes no slot.
	departed         bool
	lastTickAt       time.Time
	paused           bool
	lastTicketNumber uint64
	lastListAt       time.Time

	peers     []*peer
	peersByID map[string]*peer
	gone      hostSet
	// nextChange is the time at which the usable slots must be computed again. It is zero if they are out of date.
	nextChange time.Time

	weigher   weigher
	servers   map[string]*server
	services  map[string]*service
	heldSlots []heldSlot
}

// New returns the tracker of a process that started at the given time. No slot is usable before the tracker is configured
// and its join has completed.
func New(self string, incarnation membership.Incarnation, started time.Time, opts Options) *Tracker {
	return &Tracker{
		self:               self,
		incarnation:        incarnation,
		opts:               opts,
		predecessorsDoneAt: started.Add(opts.MaxRequest),
		joinStartedAt:      started,
		lastTickAt:         started,
		peersByID:          map[string]*peer{},
		servers:            map[string]*server{},
		services:           map[string]*service{},
	}
}

// RecordMessage records that a message of any kind, sent by the given incarnation of a peer itself, was received at now.
func (t *Tracker) RecordMessage(peer string, incarnation membership.Incarnation, now time.Time) {
	if p := t.peersByID[peer]; p != nil {
		t.recordMessage(p, incarnation, now)
	}
}

// recordMessage records a message of a peer and reports whether the message shows that the peer is alive. Usable slots are
// recomputed only if there was evidence that the peer is gone. With most messages there is none.
func (t *Tracker) recordMessage(p *peer, incarnation membership.Incarnation, now time.Time) bool {
	hadEvidence := !p.departureValidUntil.IsZero() || !p.absentListAt.IsZero()
	current := p.recordMessage(incarnation, now, t.opts)
	if current && hadEvidence {
		t.invalidate()
	}
	return current
}

// IssueTicket issues the ticket that a peer needs for its departure notice. Only the latest ticket of a peer is valid.
func (t *Tracker) IssueTicket(peer string, now time.Time) Ticket {
	p := t.peersByID[peer]
	if p == nil {
		return Ticket{}
	}
	t.lastTicketNumber++
	return p.recordTicket(Ticket{Incarnation: t.incarnation, Number: t.lastTicketNumber}, now)
}

// Goodbye records the departure notice of a peer: the incarnation has completed its last request and takes no further
// slot. It reports whether the notice is accepted. If not, the peer may request a new ticket and send the notice
// again.
func (t *Tracker) Goodbye(peer string, incarnation membership.Incarnation, ticket Ticket, now time.Time) bool {
	p := t.peersByID[peer]
	if p == nil || !p.recordDeparture(incarnation, ticket, now, t.opts) {
		return false
	}
	t.invalidate()
	return true
}

// ObserveList records a host list of the platform. The list is ignored if it is no newer than the last one, at least
// EvidenceMaxAge old, from the future, empty or without this host. This process is running, so a list without its host is
// stale.
func (t *Tracker) ObserveList(list hostlist.List, now time.Time) {
	_, listsSelf := list.Hosts[t.self]
	at := list.FetchedAt
	if !listsSelf || !at.After(t.lastListAt) || at.After(now) || !now.Before(at.Add(t.opts.EvidenceMaxAge)) {
		return
	}
	t.lastListAt = at
	for _, p := range t.peers {
		_, shown := list.Hosts[p.id]
		p.recordListing(shown, at, t.opts)
	}
	t.invalidate()
}

// invalidate makes the next refresh compute the usable slots again.
func (t *Tracker) invalidate() { t.nextChange = time.Time{} }

// refresh updates the join, the usable slots and the slots in use to now.
func (t *Tracker) refresh(now time.Time) {
	t.expireHolds(now)
	if !t.ready {
		t.tryCompleteJoin(now)
	}
	if now.Before(t.nextChange) {
		return
	}
	t.updateGone(now)
	for _, s := range t.services {
		s.updateUsable(t.ready && !t.departed, t.gone)
	}
}

// updateUsable computes the usable slots of all backend servers of the service.
func (s *service) updateUsable(mayUse bool, gone hostSet) {
	s.usable = 0
	for i, srv := range s.servers {
		s.availability[i] = srv.updateUsable(mayUse, gone)
		s.usable += s.availability[i].Usable
	}
}

// updateGone computes the set of peers that are confirmed gone and the time until which the set is valid.
func (t *Tracker) updateGone(now time.Time) {
	// The set is computed at least once an hour. Before that, only the evidence about peers changes it.
	t.nextChange = now.Add(time.Hour)
	clear(t.gone)
	for i, p := range t.peers {
		if p.gone(now, t.opts) {
			t.gone.add(i)
		}
		if at, ok := p.nextChange(now, t.opts); ok && at.Before(t.nextChange) {
			t.nextChange = at
		}
	}
}

// Gone returns the sorted ids of the peers that are confirmed gone at now.
func (t *Tracker) Gone(now time.Time) []string {
	var ids []string
	for _, p := range t.peers {
		if p.gone(now, t.opts) {
			ids = append(ids, p.id)
		}
	}
	slices.Sort(ids)
	return ids
}
