package slots

import (
	"time"

	"github.com/foxtailtack/foxtailtack/internal/membership"
)

// slotState is the state of one slot.
type slotState struct {
	// inUse is true from Take until the hold time after Release has passed.
	inUse bool
	// held is true between Release and the end of the hold time.
	held bool
	// usable is true while this host is the home of the slot and may use it.
	usable bool
	// incarnation is the incarnation of this host that took the slot, and takenAt the time of the Take.
	incarnation membership.Incarnation
	takenAt     time.Time
}

// server is one backend server. After its removal from the configuration it is kept while one of its slots is in use.
type server struct {
	id string
	// svc is the service of the backend server. position is its index in svc.servers and svc.availability, -1 if it
	// is in neither.
	svc      *service
	position int
	// configuredSlots is the number of configured slots. slotStates may be longer while removed slots are in use.
	configuredSlots int
	slotStates      []slotState
	home            homeTable
	// inUse is the number of slots in use, usable or not.
	inUse int
}

// service is the state of one service.
type service struct {
	servers      []*server
	availability []Availability
	usable       int
	// inUse is the number of slots of the service in use, usable or not.
	inUse int
}

// resize sets the number of configured slots. Slots with a higher index that are in use stay in use.
func (s *server) resize(slots int) {
	s.configuredSlots = slots
	keep := slots
	for i := len(s.slotStates) - 1; i >= slots; i-- {
		s.slotStates[i].usable = false
		if s.slotStates[i].inUse {
			keep = max(keep, i+1)
		}
	}
	if keep <= len(s.slotStates) {
		s.slotStates = s.slotStates[:keep]
		return
	}
	s.slotStates = append(s.slotStates, make([]slotState, keep-len(s.slotStates))...)
}

// updateUsable computes which slots are usable: those for which gone contains all peers that precede this host in the home
// order. If mayUse is false, no slot is usable.
func (s *server) updateUsable(mayUse bool, gone hostSet) Availability {
	a := Availability{BackendServer: s.id}
	for i := range s.configuredSlots {
		u := &s.slotStates[i]
		u.usable = mayUse && s.home.row(i).subsetOf(gone)
		if !u.usable {
			continue
		}
		a.Usable++
		if u.inUse {
			a.InUse++
		}
	}
	return a
}

// firstFree returns the lowest index of a usable slot that is not in use.
func (s *server) firstFree() (int, bool) {
	for i := range s.configuredSlots {
		if s.slotStates[i].usable && !s.slotStates[i].inUse {
			return i, true
		}
	}
	return 0, false
}

// addInUse adds delta to the counters of slots in use: 1 after the slot was taken, -1 after it became free.
func (s *server) addInUse(index, delta int) {
	s.inUse += delta
	s.svc.inUse += delta
	if s.position >= 0 && s.slotStates[index].usable {
		s.svc.availability[s.position].InUse += delta
	}
}
