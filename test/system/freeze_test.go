package system

import (
	"sync"
	"testing"
	"time"
)

// Guards against a process that continues to use its slots after a pause during which its peer has taken them over. Requests are
// queued in the sockets of the frozen process, so that it would use the slots as soon as it resumes.
func TestFrozenEntryHostDoesNotUseReassignedSlots(t *testing.T) {
	d := startDeployment(t, newPolicyDocument())
	before, _ := d.health(hostA)
	slotsOfA, slotsOfB := d.usableSlots(hostA), d.usableSlots(hostB)
	tr := d.startTraffic(heavyLoad)
	tr.startDirectWorkers(hostB, eastSlots+8)
	tr.waitResponses(50, allHosts...)
	d.requireNoError(d.Hosts[hostA].Pause())
	d.requireNoError(d.ListHost(hostA, "removed"))
	d.waitUsableSlots(hostB, eastSlots)
	tr.waitResponses(100, hostB, hostC, hostD)
	waiting := tr.queueOnFrozenHost(hostA, 2*eastSlots)
	d.requireNoError(d.Hosts[hostA].Resume())
	d.requireNoError(d.ListHost(hostA, "live"))
	waiting.Wait()
	d.checkNoOverload()
	d.waitFor(hostA+" joins as a new incarnation", func() bool {
		h, ok := d.health(hostA)
		return ok && h.Incarnation > before.Incarnation && h.Ready
	})
	d.waitUsableSlots(hostA, slotsOfA)
	d.waitUsableSlots(hostB, slotsOfB)
	tr.waitResponses(50, allHosts...)
	tr.stopAndCheck()
}

// queueOnFrozenHost sends payments to a frozen host and returns when they are queued in its sockets.
func (tr *traffic) queueOnFrozenHost(host string, count int) *sync.WaitGroup {
	var waiting sync.WaitGroup
	for range count {
		waiting.Go(func() { tr.sendTo(host, newPaymentRequest()) })
	}
	// Requests over loopback reach the sockets of the frozen process long before this time has passed.
	time.Sleep(200 * time.Millisecond)
	return &waiting
}
