package system

import (
	"net/url"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/standin/backendserver"
)

// responseFaults are the faults of single requests or connections that this test injects into backend servers.
var responseFaults = []backendserver.Fault{
	backendserver.DieMidAnswer, backendserver.DieMidChunk, backendserver.CloseAfterRead, backendserver.CloseAfterRun,
	backendserver.CloseBeforeRead, backendserver.CloseDuringRead, backendserver.CloseReused, backendserver.ShedAll,
	backendserver.NoLength, backendserver.TwoAnswers,
}

// Guards against truncated responses, responses to another request, a payment that runs again after its connection broke, and a
// request that is reported as not run although it ran.
func TestBackendServersFailMidResponse(t *testing.T) {
	d := startDeployment(t, newPolicyDocument())
	tr := d.startTraffic(lightLoad)
	tr.waitResponses(20, allHosts...)
	for _, fault := range responseFaults {
		for id := range d.Backends {
			d.setBackendSwitch(id, "fault", url.Values{"name": {string(fault)}, "count": {"3"}})
		}
		from := tr.countResponses("")
		d.waitFor("responses despite fault "+string(fault), func() bool { return tr.countResponses("") >= from+60 })
	}
	for id := range d.Backends {
		d.setBackendSwitch(id, "clear", nil)
	}
	tr.waitResponses(50, allHosts...)
	tr.stopAndCheck()
	if tr.countUnknown() == 0 {
		t.Error("no request has an unknown outcome, so the faults did not affect any payment")
	}
}

// setBackendSwitch sets a switch of a backend server. It retries, because a connection fault may affect the connection of the call
// itself.
func (d *deployment) setBackendSwitch(id, path string, parameters url.Values) {
	d.t.Helper()
	d.waitFor(path+" is set on "+id, func() bool { return d.BackendSwitch(id, path, parameters) == nil })
}

// Guards against requests that are lost or run twice when backend servers crash, and against servers that get no requests after
// they have recovered.
func TestBackendServersCrashAndRecover(t *testing.T) {
	d := startDeployment(t, newPolicyDocument())
	tr := d.startTraffic(lightLoad)
	tr.waitResponses(20, allHosts...)
	crashed := []string{"east-1-server-1", "east-1-server-3", "east-2-server-1", "west-1-server-1"}
	for _, id := range crashed {
		// The stand-in closes the connection of this call too.
		_ = d.BackendSwitch(id, "die", url.Values{"for_ms": {"1500"}})
	}
	tr.waitResponses(50, allHosts...)
	// The stand-ins accept connections again after 1.5 s.
	time.Sleep(2 * time.Second)
	for _, id := range crashed {
		from := d.executions(id)
		d.waitFor(id+" gets requests again", func() bool { return d.executions(id) >= from+10 })
	}
	tr.waitResponses(50, allHosts...)
	tr.stopAndCheck()
}
