package slots_test

import (
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/slots"
)

// TestHomesAreSpreadAcrossHosts guards against a home order that gives one host most of the slots or all slots of a backend
// server, and against a slot with no home or with two.
func TestHomesAreSpreadAcrossHosts(t *testing.T) {
	_, backends := largeConfig(0, 200)
	hosts := []string{"a", "b", "c"}
	total, serversWithOneHome := 0, 0
	for _, id := range hosts {
		tracker := slots.New(id, 1, epoch, testOptions)
		tracker.SetConfig(hosts, backends, epoch)
		now := epoch
		for now.Sub(epoch) < 26*time.Second {
			now = now.Add(time.Second)
			tracker.Tick(now)
		}
		share := tracker.Usable("grain-receipt", now)
		if share < 540 || share > 660 {
			t.Errorf("%s has %d of 1800 slots, want about 600", id, share)
		}
		total += share
		for _, a := range tracker.Availability("grain-receipt", now) {
			if a.Usable == 9 {
				serversWithOneHome++
			}
		}
	}
	if total != 1800 || serversWithOneHome > 2 {
		t.Errorf("%d of 1800 slots have a home, %d of 200 backend servers have the same home for all slots", total, serversWithOneHome)
	}
}
