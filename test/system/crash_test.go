package system

import (
	"testing"
)

// Guards against slots of a crashed host that are used by two hosts, that no host uses again, or that the restarted process uses
// while requests of its earlier incarnation still run.
func TestSlotsRecoveredAfterEntryHostCrash(t *testing.T) {
	d := startDeployment(t, newPolicyDocument())
	before := map[string]int{hostA: d.usableSlots(hostA), hostB: d.usableSlots(hostB)}
	tr := d.startTraffic(heavyLoad)
	tr.waitResponses(50, allHosts...)
	d.Hosts[hostA].Kill()
	d.requireNoError(d.ListHost(hostA, "removed"))
	tr.waitResponses(100, hostB, hostC, hostD)
	d.waitUsableSlots(hostB, eastSlots)
	tr.waitResponses(100, hostB, hostC, hostD)
	d.requireNoError(d.StartHost(hostA))
	tr.waitResponses(50, hostB, hostC, hostD)
	d.waitReady(hostA)
	for id, slots := range before {
		d.waitUsableSlots(id, slots)
	}
	tr.waitResponses(50, allHosts...)
	tr.stopAndCheck()
}

// Guards against a process that crashes repeatedly before the requests of its earlier incarnations have completed: each start must
// wait for them.
func TestSlotsRecoveredAfterRepeatedEntryHostCrash(t *testing.T) {
	d := startDeployment(t, newPolicyDocument())
	before := d.usableSlots(hostA)
	tr := d.startTraffic(heavyLoad)
	tr.waitResponses(50, allHosts...)
	for range 2 {
		d.Hosts[hostA].Kill()
		d.requireNoError(d.StartHost(hostA))
		tr.waitResponses(20, hostB, hostC, hostD)
	}
	d.waitReady(hostA)
	d.waitUsableSlots(hostA, before)
	tr.waitResponses(50, allHosts...)
	tr.stopAndCheck()
}
