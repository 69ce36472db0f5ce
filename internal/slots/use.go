package slots

import (
	"slices"
	"time"
)

// heldSlot is a released slot that stays in use until its hold time has passed.
type heldSlot struct {
	until time.Time
	srv   *server
	index int
}

// Usable returns the number of slots of the service that this host may use at now, in use or not.
func (t *Tracker) Usable(service string, now time.Time) int {
	if t.Paused(now) {
		return 0
	}
	t.refresh(now)
	if svc := t.services[service]; svc != nil {
		return svc.usable
	}
	return 0
}

// Availability returns the state of each backend server of the service, sorted by id. The slice is valid until the next
// call and must not be changed.
func (t *Tracker) Availability(service string, now time.Time) []Availability {
	if t.Paused(now) {
		return nil
	}
	t.refresh(now)
	if svc := t.services[service]; svc != nil {
		return svc.availability
	}
	return nil
}

// InUse returns the number of slots of the service that are in use, including slots that this host may no longer use. It
// takes no time argument, so the number is as of the last call that passed one.
func (t *Tracker) InUse(service string) int {
	if svc := t.services[service]; svc != nil {
		return svc.inUse
	}
	return 0
}

// Take takes a free slot of the backend server. It returns false if this host may use no free slot of it at now.
func (t *Tracker) Take(backendID string, now time.Time) (ID, bool) {
	if t.Paused(now) || t.departed {
		return ID{}, false
	}
	t.refresh(now)
	s := t.servers[backendID]
	if s == nil {
		return ID{}, false
	}
	index, ok := s.firstFree()
	if !ok {
		return ID{}, false
	}
	u := &s.slotStates[index]
	u.inUse, u.held = true, false
	u.incarnation, u.takenAt = t.incarnation, now
	s.addInUse(index, 1)
	return ID{BackendServer: backendID, Index: index}, true
}

// Writable reports whether a request may be written to the backend server on a taken slot. The caller must check it
// directly before the write, because since Take the process may have been paused or have joined again as a new incarnation.
func (t *Tracker) Writable(id ID, now time.Time) bool {
	if t.Paused(now) {
		return false
	}
	s := t.servers[id.BackendServer]
	if s == nil || id.Index < 0 || id.Index >= len(s.slotStates) {
		return false
	}
	u := s.slotStates[id.Index]
	return u.inUse && !u.held && u.incarnation == t.incarnation && now.Before(u.takenAt.Add(t.opts.MaxRequest))
}

// Release ends the use of a slot. The slot stays in use for the hold time, because a backend server may detect the end of
// an attempt late. Releasing the same use again has no effect.
func (t *Tracker) Release(id ID, now time.Time, hold time.Duration) {
	t.expireHolds(now)
	s := t.servers[id.BackendServer]
	if s == nil || id.Index < 0 || id.Index >= len(s.slotStates) {
		return
	}
	u := &s.slotStates[id.Index]
	if !u.inUse || u.held {
		return
	}
	if hold <= 0 {
		t.markFree(s, id.Index)
		return
	}
	u.held = true
	hs := heldSlot{until: now.Add(hold), srv: s, index: id.Index}
	at, _ := slices.BinarySearchFunc(t.heldSlots, hs, func(a, b heldSlot) int { return a.until.Compare(b.until) })
	t.heldSlots = slices.Insert(t.heldSlots, at, hs)
}

// expireHolds frees the slots whose hold time has passed.
func (t *Tracker) expireHolds(now time.Time) {
	n := 0
	for n < len(t.heldSlots) && !now.Before(t.heldSlots[n].until) {
		t.markFree(t.heldSlots[n].srv, t.heldSlots[n].index)
		n++
	}
	if n > 0 {
		t.heldSlots = slices.Delete(t.heldSlots, 0, n)
	}
}

// markFree marks a slot as free. It also removes the state of a slot or backend server that is no longer configured and was
// kept only while the slot was in use.
func (t *Tracker) markFree(s *server, index int) {
	s.slotStates[index].inUse, s.slotStates[index].held = false, false
	s.addInUse(index, -1)
	if index >= s.configuredSlots {
		s.resize(s.configuredSlots)
	}
	if s.configuredSlots == 0 && s.inUse == 0 {
		t.removeServer(s)
	}
}

// removeServer removes a backend server that is no longer configured and has no slot in use.
func (t *Tracker) removeServer(s *server) {
	delete(t.servers, s.id)
	last := len(s.svc.servers) - 1
	s.svc.servers = slices.Delete(s.svc.servers, s.position, s.position+1)
	s.svc.availability = slices.Delete(s.svc.availability, s.position, s.position+1)
	for i := s.position; i < last; i++ {
		s.svc.servers[i].position = i
	}
}
