package slots

import (
	"time"

	"github.com/foxtailtack/foxtailtack/internal/membership"
)

// Tick records that the process is running at now. The caller must call it several times within each PauseLimit. A late
// tick does not clear a pause: Paused stays true until Rejoin is called.
func (t *Tracker) Tick(now time.Time) {
	t.paused = t.Paused(now)
	if now.After(t.lastTickAt) {
		t.lastTickAt = now
	}
	t.refresh(now)
}

// Paused reports whether the process was paused for longer than PauseLimit, so that it may no longer use its slots.
func (t *Tracker) Paused(now time.Time) bool {
	return t.paused || now.Sub(t.lastTickAt) > t.opts.PauseLimit
}

// Rejoin gives up the usable slots, discards all evidence about peers and joins again as a new incarnation. Slots in use
// stay in use until they are released.
func (t *Tracker) Rejoin(incarnation membership.Incarnation, now time.Time) {
	t.incarnation = incarnation
	t.ready = false
	t.paused = false
	t.lastTickAt = now
	for _, p := range t.peers {
		p.ticket = Ticket{}
	}
	t.startJoin(now)
	t.refresh(now)
}

// TryDepart reports whether the process may send its departure notice: no slot is in use and the requests of earlier
// processes of this host have ended. Once it has returned true, Take always returns false.
func (t *Tracker) TryDepart(now time.Time) bool {
	t.refresh(now)
	if t.departed {
		return true
	}
	for _, s := range t.servers {
		if s.inUse > 0 {
			return false
		}
	}
	t.departed = t.predecessorsDone(now)
	t.invalidate()
	return t.departed
}
