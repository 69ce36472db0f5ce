package membership

import "time"

// MergeHeartbeat merges a received heartbeat: what the sender reports of itself, its observations of other hosts, and its
// notices.
func (t *Table) MergeHeartbeat(hb Heartbeat, now time.Time) {
	if p := t.peers[hb.From.ID]; p != nil {
		p.mergeDirect(hb.From, now)
	}
	for _, o := range hb.Others {
		if p := t.peers[o.ID]; p != nil && o.ID != hb.From.ID {
			p.mergeObservation(o, now)
		}
	}
	for _, n := range hb.Notices {
		t.MergeNotice(n)
	}
}

// isNewer reports whether incarnation i with counterI is newer than incarnation j with counterJ.
func isNewer(i Incarnation, counterI uint64, j Incarnation, counterJ uint64) bool {
	return i > j || i == j && counterI > counterJ
}

// mergeObservation merges an observation of the peer by another host. The age counts from the first host that received the
// peer's message, so relaying stale observations does not make a stopped host reachable.
func (p *peer) mergeObservation(o Observation, now time.Time) {
	if !isNewer(o.Incarnation, o.Counter, p.incarnation, p.counter) {
		return
	}
	p.incarnation, p.counter, p.state = o.Incarnation, o.Counter, o.State
	if observedAt := now.Add(-max(o.Age, 0)); observedAt.After(p.updatedAt) {
		p.updatedAt = observedAt
	}
}

// mergeDirect merges what a peer reports of itself. The message may be older than a known observation of the same incarnation.
func (p *peer) mergeDirect(m Member, now time.Time) {
	p.mergeObservation(Observation{Incarnation: m.Incarnation, Counter: m.Counter, State: m.State}, now)
	if m.Incarnation < p.incarnation || !isNewer(m.Incarnation, m.Counter, p.direct.Incarnation, p.direct.Counter) {
		return
	}
	p.direct = m
	p.directReceivedAt = now
}

// reachable reports whether the latest update of the peer is younger than UnreachableAfter.
func (p *peer) reachable(now time.Time) bool {
	return !p.updatedAt.IsZero() && now.Sub(p.updatedAt) < UnreachableAfter
}

// member returns the known state of the peer. It omits what an older incarnation reported of itself.
func (p *peer) member(id string) Member {
	m := Member{ID: id, Incarnation: p.incarnation, Counter: p.counter, State: p.state}
	if p.direct.Incarnation == p.incarnation {
		m.ConfigVersion = p.direct.ConfigVersion
		m.Headroom = p.direct.Headroom
	}
	return m
}

// LastUpdate returns the latest incarnation of a peer and the time of its latest update, received from the peer itself or as an
// observation by another host. It returns false if there was none.
func (t *Table) LastUpdate(id string) (Incarnation, time.Time, bool) {
	p := t.peers[id]
	if p == nil || p.updatedAt.IsZero() {
		return 0, time.Time{}, false
	}
	return p.incarnation, p.updatedAt, true
}

// LastDirectUpdate is like LastUpdate but considers only messages of the peer itself.
func (t *Table) LastDirectUpdate(id string) (Incarnation, time.Time, bool) {
	p := t.peers[id]
	if p == nil || p.directReceivedAt.IsZero() {
		return 0, time.Time{}, false
	}
	return p.direct.Incarnation, p.directReceivedAt, true
}

// Reachable reports whether the host is this one or a reachable peer.
func (t *Table) Reachable(id string, now time.Time) bool {
	if id == t.self.ID {
		return true
	}
	p := t.peers[id]
	return p != nil && p.reachable(now)
}
