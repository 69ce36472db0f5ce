package grants

// ShiftCap limits the use of this host's slots by planned shifts. It is used on the target side and not safe for concurrent
// use.
//
// The share of a host is floor(cap × usable slots of the host / slots of the region). A slot is usable by one host at a time,
// so the shares of all hosts sum to at most the cap, regardless of each host's view of the others.
//
// A share decreases when slots move to another host. Running requests of the shift beyond the new share would then add to
// those that the other host admits, and the sum could exceed the cap. So a host gives up slots only while FitsWithin is true
// for the number of slots that it keeps.
type ShiftCap struct {
	shifts map[string]*shiftState
}

type shiftState struct {
	capSlots    int
	regionSlots int
	share       int
	running     int
	removed     bool
}

// NewShiftCap returns a ShiftCap without shifts.
func NewShiftCap() *ShiftCap {
	return &ShiftCap{shifts: make(map[string]*shiftState)}
}

// Configure sets the cap of a shift, the slots of its service that this host may use, and those that the policy lists for
// the region.
func (s *ShiftCap) Configure(shiftID string, capSlots, ownSlots, regionSlots int) {
	u := s.shifts[shiftID]
	if u == nil {
		u = &shiftState{}
		s.shifts[shiftID] = u
	}
	u.capSlots, u.regionSlots, u.removed = capSlots, regionSlots, false
	u.share = shiftShare(capSlots, ownSlots, regionSlots)
}

// Remove removes a shift that has ended. Its running requests stay counted until Done.
func (s *ShiftCap) Remove(shiftID string) {
	u := s.shifts[shiftID]
	if u == nil {
		return
	}
	u.share, u.capSlots, u.removed = 0, 0, true
	s.deleteIfUnused(shiftID, u)
}

// Admit admits and counts one more request of the shift. It returns false if the whole share is in use or the shift is not
// configured.
func (s *ShiftCap) Admit(shiftID string) bool {
	u := s.shifts[shiftID]
	if u == nil || u.running >= u.share {
		return false
	}
	u.running++
	return true
}

// Done records the completion of a request that Admit allowed.
func (s *ShiftCap) Done(shiftID string) {
	u := s.shifts[shiftID]
	if u == nil || u.running == 0 {
		return
	}
	u.running--
	s.deleteIfUnused(shiftID, u)
}

// FitsWithin reports whether the running requests of the shift fit into the share of a host with ownSlots slots. A join of a
// peer takes slots from this host, so the host acknowledges it only while this is true for every shift of the service.
func (s *ShiftCap) FitsWithin(shiftID string, ownSlots int) bool {
	u := s.shifts[shiftID]
	return u == nil || u.running <= shiftShare(u.capSlots, ownSlots, u.regionSlots)
}

// Running returns the number of requests of the shift that run here.
func (s *ShiftCap) Running(shiftID string) int {
	if u := s.shifts[shiftID]; u != nil {
		return u.running
	}
	return 0
}

// Share returns the number of requests of the shift that may run here.
func (s *ShiftCap) Share(shiftID string) int {
	if u := s.shifts[shiftID]; u != nil {
		return u.share
	}
	return 0
}

func (s *ShiftCap) deleteIfUnused(shiftID string, u *shiftState) {
	if u.removed && u.running == 0 {
		delete(s.shifts, shiftID)
	}
}

// shiftShare returns the share of the cap for a host with ownSlots slots. It rounds down, so that the shares of all hosts sum
// to at most the cap.
func shiftShare(capSlots, ownSlots, regionSlots int) int {
	if capSlots <= 0 || ownSlots <= 0 || regionSlots <= 0 {
		return 0
	}
	return capSlots * min(ownSlots, regionSlots) / regionSlots
}
