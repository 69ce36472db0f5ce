package backend

import "time"

// Source is the origin of a notice that a backend server is leaving or back in use.
type Source uint8

// Sources of notices.
const (
	// HostList is the platform's list of hosts.
	HostList Source = iota
	// HealthEndpoint is the response of the health endpoint.
	HealthEndpoint
	// ResponseHeader is the Foxtailtack-Draining header of a response.
	ResponseHeader
	sourceCount
)

// peerNoticeTTL is the time after which a peer's notice expires unless the peer repeats it. Heartbeats repeat it every few
// seconds. After this time without a repetition, this host's own sources are more current than those of a failed peer.
const peerNoticeTTL = 30 * time.Second

// ObservedInterval is the interval in which information about a backend server was determined: the source produced it at some
// time after the request was sent (SentAt) and before the response was received (ReceivedAt).
type ObservedInterval struct {
	SentAt     time.Time
	ReceivedAt time.Time
}

// sourceState is the latest information from one source, valid as of validAt.
type sourceState struct {
	leaving bool
	validAt time.Time
}

// peerState is the peer notice with the highest sequence number.
type peerState struct {
	leaving    bool
	sequence   uint64
	receivedAt time.Time
}

// drainState decides whether a backend server is leaving. It is leaving as soon as any source reports it.
type drainState struct {
	sources  [sourceCount]sourceState
	peer     peerState
	operator bool
	// sequence is the highest sequence number of any notice that this host has made or received.
	sequence uint64
	// noticeLeaving and noticeSequence are this host's latest own notice; hasNotice is false if it never made one.
	noticeLeaving  bool
	noticeSequence uint64
	hasNotice      bool
}

// recordSource records information from one source. "Leaving" is valid as of its receipt and always applies. "Not leaving" is valid
// as of the time at which the request for it was sent, and applies only if that is later than the latest information. Otherwise a
// response that was already on its way when the notice arrived would revoke the notice.
func (d *drainState) recordSource(source Source, leaving bool, at ObservedInterval) {
	state := &d.sources[source]
	switch {
	case leaving:
		state.leaving = true
		state.validAt = later(state.validAt, at.ReceivedAt)
	case at.SentAt.After(state.validAt):
		state.leaving = false
		state.validAt = at.SentAt
	}
	d.updateNotice()
}

// updateNotice makes a notice with a new sequence number whenever the combined state of this host's own sources changes.
func (d *drainState) updateNotice() {
	leaving := d.sourcesLeaving()
	if leaving == d.noticeLeaving && (d.hasNotice || !leaving) {
		return
	}
	d.noticeLeaving = leaving
	d.sequence++
	d.noticeSequence = d.sequence
	d.hasNotice = true
}

// merge applies a peer's notice. The higher sequence number wins; of two notices with the same number, the one that says leaving
// wins. A notice below the highest known number is ignored. A notice at that number, which may be the number of this host's own
// notice, still revokes an earlier notice of a peer, because hosts that see the end of a drain at the same time use the same number.
func (d *drainState) merge(leaving bool, sequence uint64, now time.Time) {
	if sequence < d.sequence {
		return
	}
	d.sequence = sequence
	if leaving || sequence > d.peer.sequence {
		d.peer = peerState{leaving: leaving, sequence: sequence, receivedAt: now}
	}
}

func (d *drainState) sourcesLeaving() bool {
	for _, s := range d.sources {
		if s.leaving {
			return true
		}
	}
	return false
}

func (d *drainState) leaving(now time.Time) bool {
	if d.operator || d.sourcesLeaving() {
		return true
	}
	return d.peerLeaving(now)
}

func (d *drainState) peerLeaving(now time.Time) bool {
	return d.peer.leaving && now.Sub(d.peer.receivedAt) < peerNoticeTTL
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
