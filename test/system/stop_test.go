package system

import (
	"testing"
	"time"
)

// Guards against a planned stop that interrupts or loses requests of callers that use cached lookup responses until they expire.
func TestPlannedStopLosesNoRequest(t *testing.T) {
	for name, hosts := range map[string][]string{
		"one host":                              {hostA},
		"two hosts of a failure domain at once": {hostA, hostB},
	} {
		t.Run(name, func(t *testing.T) { testPlannedStop(t, hosts) })
	}
}

func testPlannedStop(t *testing.T, hosts []string) {
	d := startDeployment(t, newPolicyDocument())
	tr := d.startTraffic(lightLoad)
	tr.waitResponses(50, allHosts...)
	others := without(allHosts, hosts)
	for _, id := range hosts {
		d.requireNoError(d.ListHost(id, "leaving"))
		d.requireNoError(d.Hosts[id].Terminate())
	}
	for _, id := range hosts {
		if err := d.Hosts[id].Wait(waitTimeout); err != nil {
			t.Errorf("%s: %v", id, err)
		}
		d.requireNoError(d.ListHost(id, "removed"))
	}
	tr.waitResponses(50, others...)
	for _, id := range hosts {
		d.requireNoError(d.StartHost(id))
	}
	for _, id := range hosts {
		d.waitReady(id)
	}
	tr.waitResponses(50, allHosts...)
	tr.stopAndCheck()
	tr.checkNoneLost()
}

// without returns the ids in all that are not in others.
func without(all, others []string) []string {
	var left []string
	for _, id := range all {
		found := false
		for _, other := range others {
			found = found || id == other
		}
		if !found {
			left = append(left, id)
		}
	}
	return left
}

// Guards against a stop that aborts a request that is running when the listener closes, or loses a request that a caller with a
// cached lookup response sends before that response expires.
func TestPlannedStopServesUntilLookupsExpire(t *testing.T) {
	d := startDeployment(t, newPolicyDocument())
	tr := d.startTraffic(lightLoad)
	tr.waitResponses(50, hostA)
	ttl := time.Duration(d.Document.Services[0].LookupTTLMs) * time.Millisecond
	d.requireNoError(d.Hosts[hostA].Terminate())
	for end := time.Now().Add(ttl); time.Now().Before(end); {
		if s := tr.sendTo(hostA, newPaymentRequest()); !s.result.Answered() {
			t.Errorf("%s: code %d, %v", s.request.Path, s.result.Code, s.result.Err)
		}
	}
	d.requireNoError(d.Hosts[hostA].Wait(waitTimeout))
	tr.waitResponses(50, hostB, hostC, hostD)
	tr.stopAndCheck()
	tr.checkNoneLost()
}
