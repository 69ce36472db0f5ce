package slots

import "time"

// HandleJoin returns the response to a join request of a peer. The join is acknowledged if the peer precedes this host in
// the home order of no slot that this host has in use. The join of a host that is not in this host's configuration is not
// acknowledged, because this host would not stop using the slots of that host.
func (t *Tracker) HandleJoin(req JoinRequest, now time.Time) JoinReply {
	t.refresh(now)
	reply := JoinReply{Incarnation: t.incarnation, Requested: req.Incarnation}
	p := t.peersByID[req.From]
	if p == nil || !t.recordMessage(p, req.Incarnation, now) {
		return reply
	}
	reply.PredecessorGone = p.predecessorGone
	// Requests of an earlier process of this host may still run on slots of the peer, and no process counts them.
	reply.Acknowledged = t.predecessorsDone(now) && !t.usesSlotPrecededBy(req.From)
	return reply
}

// usesSlotPrecededBy reports whether this host has a slot in use in whose home order the peer precedes this host.
func (t *Tracker) usesSlotPrecededBy(peer string) bool {
	for _, s := range t.servers {
		if s.inUse == 0 {
			continue
		}
		for i := range s.slotStates {
			id := ID{BackendServer: s.id, Index: i}
			if s.slotStates[i].inUse && t.weigher.precedes(id, peer, t.self) {
				return true
			}
		}
	}
	return false
}

// JoinTargets returns the ids of the peers to send a JoinRequest to. It is empty once this host is ready, and while this
// host is retired or not listed in the configuration.
func (t *Tracker) JoinTargets(now time.Time) []string {
	t.refresh(now)
	if t.ready || !t.eligible {
		return nil
	}
	var ids []string
	for _, p := range t.peers {
		if !p.joinConfirmed {
			ids = append(ids, p.id)
		}
	}
	return ids
}

// HandleJoinReply records the response of a peer to a JoinRequest of this host. A response to another incarnation of this
// host or from a replaced incarnation of the peer is ignored.
func (t *Tracker) HandleJoinReply(peer string, reply JoinReply, now time.Time) {
	p := t.peersByID[peer]
	if p == nil || reply.Requested != t.incarnation || !t.recordMessage(p, reply.Incarnation, now) {
		return
	}
	if reply.PredecessorGone && now.Before(t.predecessorsDoneAt) {
		t.predecessorsDoneAt = now
	}
	if reply.Acknowledged {
		p.joinConfirmed = true
	}
}

// Ready reports whether the join has completed.
func (t *Tracker) Ready(now time.Time) bool {
	t.refresh(now)
	return t.ready
}

// startJoin starts a new join of this host and discards all evidence that peers are gone.
func (t *Tracker) startJoin(now time.Time) {
	t.joinStartedAt = now
	for _, p := range t.peers {
		p.assumeAlive(now)
		p.joinConfirmed = false
	}
	t.invalidate()
}

// tryCompleteJoin completes the join if the requests of earlier processes have ended and either every peer has
// acknowledged the join or is confirmed gone, or the join timeout has passed.
func (t *Tracker) tryCompleteJoin(now time.Time) {
	if !t.eligible || !t.predecessorsDone(now) {
		return
	}
	allConfirmed := true
	for _, p := range t.peers {
		p.joinConfirmed = p.joinConfirmed || p.gone(now, t.opts)
		allConfirmed = allConfirmed && p.joinConfirmed
	}
	if allConfirmed || !now.Before(t.joinStartedAt.Add(t.joinTimeout())) {
		t.ready = true
		t.invalidate()
	}
}

// joinTimeout returns the time after which the join completes without the acknowledgement of unreachable peers. By then
// an unreachable peer no longer has evidence that this host is gone, and the requests that the peer ran on the slots of this
// host have ended. PauseLimit is included because a peer may write a request up to that long after Take.
func (t *Tracker) joinTimeout() time.Duration {
	return t.opts.HostListMaxLag + t.opts.EvidenceMaxAge + t.opts.MaxRequest + t.opts.PauseLimit
}

// predecessorsDone reports whether the requests of the earlier processes of this host have ended.
func (t *Tracker) predecessorsDone(now time.Time) bool { return !now.Before(t.predecessorsDoneAt) }
