package system

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/foxtailtack/foxtailtack/internal/policy"
)

// Guards against entry hosts that continue to use unresponsive connections to each other: they must open new connections, over
// which requests are spilled again and a change comes into force everywhere.
func TestEntryHostsReplaceUnresponsivePeerConnections(t *testing.T) {
	d := startDeployment(t, newPolicyDocument())
	versions := d.monitorVersions()
	tr := d.startTraffic(lightLoad)
	tr.startDirectWorkers(hostA, eastSlots+8)
	tr.waitSpills(20)
	for version := policy.Version(2); version <= 3; version++ {
		d.Relay.Silence()
		command := "drain"
		if version == 3 {
			command = "undrain"
		}
		d.runCommandUntilAccepted(uuid.NewString(), command)
		d.waitVersion(version)
		tr.waitSpills(20)
		tr.waitResponses(50, allHosts...)
	}
	versions.stopAndCheck(d)
	tr.stopAndCheck()
}

// waitSpills waits for further responses to direct requests that a host other than the target host served.
func (tr *traffic) waitSpills(more int) {
	tr.d.t.Helper()
	spilled := func(s record) bool { return s.result.Answered() && s.target != "" && s.target != s.result.Host }
	from := tr.count(spilled)
	tr.d.waitFor("requests are spilled between entry hosts", func() bool { return tr.count(spilled) >= from+more })
}

// silenceConnections makes all open connections of a backend server unresponsive. This includes the connection of the call itself,
// which therefore gets no response.
func (d *deployment) silenceConnections(id string) {
	client := &http.Client{Timeout: 100 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+d.Snapshot().BackendServer(id).Address.String()+"/standin/silence", "", nil)
	if err == nil {
		_ = response.Body.Close()
	}
}

// Guards against payments and find requests that are sent over unresponsive connections to backend servers, and against a result
// for them that claims an outcome which is not known.
func TestEntryHostsReplaceUnresponsiveBackendConnections(t *testing.T) {
	d := startDeployment(t, newPolicyDocument())
	tr := d.startTraffic(lightLoad)
	tr.waitResponses(50, allHosts...)
	for id := range d.Backends {
		d.silenceConnections(id)
	}
	tr.waitResponses(100, allHosts...)
	for i := range 40 {
		request := newPaymentRequest()
		if i%2 == 1 {
			request = newFindRequest(false)
		}
		if s := tr.sendTo(allHosts[i%len(allHosts)], request); !s.result.Answered() {
			t.Errorf("%s after the connections became unresponsive: code %d, %v", s.request.Path, s.result.Code, s.result.Err)
		}
	}
	tr.stopAndCheck()
}
