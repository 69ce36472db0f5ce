package catalog

import (
	"testing"
	"time"
)

// Guards against a stopping host that counts as serving, and against one that stays a reserve for ever after it was taken away.
func TestStoppingHostIsListedApartUntilItReturnsOrIsAway(t *testing.T) {
	stopped := func() *State {
		s := NewState()
		s.Apply([]Change{{Host: &Host{ID: "h", Incarnation: 1}}, {Host: &Host{ID: "h", Incarnation: 1, Stopping: true}}, {HostGone: "h"}}, 1, start)
		return s
	}
	s := stopped()
	if v := s.View(); v.Hosts["h"] != nil || v.Stopping["h"] == nil {
		t.Errorf("hosts %v, stopping %v, want the host to be stopping", v.Hosts, v.Stopping)
	}
	s.Apply([]Change{{Host: &Host{ID: "h", Incarnation: 2}}, {Host: &Host{ID: "h", Incarnation: 1, Stopping: true}}}, 2, start.Add(time.Second))
	if v := s.View(); v.Hosts["h"] == nil || v.Stopping["h"] != nil {
		t.Errorf("after the restart: hosts %v, stopping %v, want the host to serve", v.Hosts, v.Stopping)
	}
	s = stopped()
	s.Expire(start.Add(defaultStopGrace + restartTime))
	if v := s.View(); len(v.Stopping) > 0 {
		t.Errorf("stopping %v, want none after the time for a restart", v.Stopping)
	}
}
