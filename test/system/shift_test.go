package system

import (
	"testing"

	"github.com/foxtailtack/foxtailtack/internal/policy"
)

// shiftCap is lower than the number of concurrent requests that the shift's fraction alone would move.
const shiftCap = 3

// Guards against shifted requests that exceed the cap of the shift, in particular when an entry host in the source region restarts
// and loses the count of the requests that it has shifted. The destination has a single backend server, which gives the exact
// number of concurrent requests there.
func TestShiftStaysUnderItsCap(t *testing.T) {
	doc := newPolicyDocument()
	const destination = "west-1-server-1"
	var kept []policy.BackendServer
	for _, b := range doc.BackendServers {
		switch {
		case b.ID == destination:
			b.Slots = 2 * slotsPerServer
		case b.FailureDomain == "west-1":
			continue
		}
		kept = append(kept, b)
	}
	doc.BackendServers = kept
	d := startDeployment(t, doc)
	tr := d.startTraffic(map[string]int{"east-1": 8, "east-2": 2})
	tr.waitResponses(50, hostA, hostB, hostC)
	if n := d.executions(destination); n > 0 {
		t.Fatalf("%d requests ran in the destination before the shift", n)
	}
	d.mustRunCommand("shift", "start", "-service", service, "-from", "east", "-to", "west", "-fraction", "0.9", "-cap", "3", "-ramp", "500ms", "-reason", "test")
	d.waitFor("shifted requests reach the cap", func() bool { return d.peakConcurrency(destination) >= shiftCap })
	d.Hosts[hostA].Kill()
	d.requireNoError(d.StartHost(hostA))
	d.waitReady(hostA)
	from := d.executions(destination)
	tr.waitResponses(100, hostA, hostB, hostC)
	if d.executions(destination) == from {
		t.Error("no request is shifted after the restart")
	}
	if peak := d.peakConcurrency(destination); peak > shiftCap {
		t.Errorf("%d shifted requests ran concurrently, the cap is %d", peak, shiftCap)
	}
	tr.stopAndCheck()
}

// peakConcurrency returns the maximum number of requests that a backend server has run concurrently.
func (d *deployment) peakConcurrency(id string) int {
	stats, err := d.BackendStats(id)
	d.requireNoError(err)
	return stats.MaxInUse
}
