package config

import (
	"sync/atomic"

	"github.com/foxtailtack/foxtailtack/internal/result"
)

// Stats holds the counts of a manager since the process started.
type Stats struct {
	// Applied counts changes that were accepted by a call on this manager. AlreadyAccepted counts repeats of an accepted change.
	Applied         uint64
	AlreadyAccepted uint64
	// Conflicts, Invalid, Unavailable and OutcomeUnknown count unsuccessful changes by result code. Failed counts those with any
	// other code.
	Conflicts      uint64
	Invalid        uint64
	Unavailable    uint64
	OutcomeUnknown uint64
	Failed         uint64
	// FromStore and FromPeers count versions that came into force after they were read from the store or from a peer.
	FromStore uint64
	FromPeers uint64
	// RejectedLower counts heads from the store or a peer whose version was below the version in force.
	RejectedLower uint64
	// StoreFailures and PeerFailures count failed reads of a version.
	StoreFailures uint64
	PeerFailures  uint64
}

type counters struct {
	applied, alreadyAccepted, failed                atomic.Uint64
	conflicts, invalid, unavailable, outcomeUnknown atomic.Uint64
	fromStore, fromPeers, rejectedLower             atomic.Uint64
	storeFailures, peerFailures                     atomic.Uint64
}

// Stats returns the current counts.
func (m *Manager) Stats() Stats {
	c := &m.counters
	return Stats{
		Applied:         c.applied.Load(),
		AlreadyAccepted: c.alreadyAccepted.Load(),
		Conflicts:       c.conflicts.Load(),
		Invalid:         c.invalid.Load(),
		Unavailable:     c.unavailable.Load(),
		OutcomeUnknown:  c.outcomeUnknown.Load(),
		Failed:          c.failed.Load(),
		FromStore:       c.fromStore.Load(),
		FromPeers:       c.fromPeers.Load(),
		RejectedLower:   c.rejectedLower.Load(),
		StoreFailures:   c.storeFailures.Load(),
		PeerFailures:    c.peerFailures.Load(),
	}
}

// countChange counts and logs the outcome of a change.
func (m *Manager) countChange(change Change, accepted Accepted, err error) {
	if err != nil {
		m.counters.forCode(result.FromError(err).Code).Add(1)
		m.log.Warn().Str("change", change.ID).Str("operator", change.Operator).Err(err).Msg("change_not_confirmed")
		return
	}
	counter := &m.counters.applied
	if accepted.AlreadyAccepted {
		counter = &m.counters.alreadyAccepted
	}
	counter.Add(1)
	m.log.Info().Str("change", change.ID).Str("operator", change.Operator).
		Uint64("version", uint64(accepted.Version)).Bool("already_accepted", accepted.AlreadyAccepted).Msg("change_accepted")
}

// forCode returns the counter of changes with a result code.
func (c *counters) forCode(code result.Code) *atomic.Uint64 {
	switch code {
	case result.VersionConflict:
		return &c.conflicts
	case result.InvalidPolicy:
		return &c.invalid
	case result.StoreUnavailable:
		return &c.unavailable
	case result.StoreOutcomeUnknown:
		return &c.outcomeUnknown
	default:
		return &c.failed
	}
}
