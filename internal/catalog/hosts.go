package catalog

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// restartTime is the time after the grace period of a planned stop within which the platform has started the host again and the host
	// is listed.
	restartTime = 5 * time.Second
	// defaultStopGrace is the grace period of a planned stop if SetStopGrace is not called.
	defaultStopGrace = 6 * time.Second
)

// stoppingHost is a host that has announced a planned stop.
type stoppingHost struct {
	host *Host
	// until is the time at which it is forgotten if it is not started again.
	until time.Time
}

// SetStopGrace sets the time that a planned stop of a host takes at most. It must be called before Run.
func (f *Follower) SetStopGrace(grace time.Duration) { f.state.stopGrace = grace }

func (s *State) putHost(h *Host, revision Revision, now time.Time) {
	known := s.hosts[h.ID]
	if known != nil && h.Incarnation < known.host.Incarnation {
		return
	}
	if h.Stopping {
		delete(s.hosts, h.ID)
		s.stopping[h.ID] = stoppingHost{h, now.Add(s.stopGrace + restartTime)}
		s.addEvent("host_stopping", h.ID, fmt.Sprintf("failure domain %s, incarnation %d", h.FailureDomain, h.Incarnation), revision)
		return
	}
	delete(s.stopping, h.ID)
	s.hosts[h.ID] = &hostRecord{host: h}
	if known == nil || known.host.Incarnation != h.Incarnation {
		s.addEvent("host_added", h.ID, fmt.Sprintf("failure domain %s, address %s, incarnation %d", h.FailureDomain, h.CallerAddress, h.Incarnation), revision)
	}
}

func (s *State) removeHost(id string, revision Revision, now time.Time) {
	known := s.hosts[id]
	if known == nil || !known.lapseEnd.IsZero() {
		return
	}
	if end := s.lapseEnd(s.hostGrace); now.Before(end) {
		known.lapseEnd = end
		return
	}
	delete(s.hosts, id)
	s.addEvent("host_gone", id, "", revision)
}

// expireStoppingHosts forgets stopping hosts that were not started again in time.
func (s *State) expireStoppingHosts(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(s.stopping)) {
		if !now.Before(s.stopping[id].until) {
			delete(s.stopping, id)
			s.addEvent("host_gone", id, "it was not started again after its planned stop", 0)
		}
	}
}
