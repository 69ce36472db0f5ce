package system

import (
	"net/url"
	"testing"
	"time"
)

// drainBound is the time after the first drain notice during which a leaving backend server may still get new requests.
const drainBound = 3 * time.Second

// Guards against a drain notice from a single source that is overridden or ignored because the other sources report the backend
// server as healthy.
func TestLeavingBackendServerGetsNoNewWork(t *testing.T) {
	const leaving = "east-1-server-2"
	notices := map[string]func(*deployment) error{
		"host list": func(d *deployment) error { return d.ListHost(leaving, "leaving") },
		"health endpoint": func(d *deployment) error {
			return d.BackendSwitch(leaving, "drain", url.Values{"on": {"true"}, "notice": {"health"}})
		},
		"response header": func(d *deployment) error {
			return d.BackendSwitch(leaving, "drain", url.Values{"on": {"true"}, "notice": {"answers"}})
		},
	}
	for source, give := range notices {
		t.Run(source, func(t *testing.T) {
			d := startDeployment(t, newPolicyDocument())
			for id := range d.Backends {
				d.requireNoError(d.ListHost(id, "live"))
			}
			tr := d.startTraffic(lightLoad)
			d.waitFor("requests on "+leaving, func() bool { return d.executions(leaving) >= 20 })
			d.requireNoError(give(d))
			d.checkNoNewRequests(leaving, tr)
			tr.stopAndCheck()
			tr.checkNoneLost()
		})
	}
}

// checkNoNewRequests checks that a leaving backend server starts no request later than drainBound after its notice, while the
// service keeps sending responses.
func (d *deployment) checkNoNewRequests(id string, tr *traffic) {
	d.t.Helper()
	noticed := time.Now()
	for time.Since(noticed) < drainBound {
		time.Sleep(pollInterval)
	}
	before := d.executions(id)
	tr.waitResponses(200, hostA, hostB)
	if after := d.executions(id); after != before {
		d.t.Errorf("%s started %d requests later than %s after the notice", id, after-before, drainBound)
	}
}
