package system

import (
	"net/url"
	"strings"
	"testing"

	"github.com/google/uuid"
)

const drainedServer = "east-2-server-1"

// Guards against requests or a host start that depend on the store, and against a command that reports success or definite failure
// while the store is down.
func TestStoreOutageDoesNotAffectServing(t *testing.T) {
	for _, mode := range []string{"refuse", "drop"} {
		t.Run(mode, func(t *testing.T) { testStoreOutage(t, mode) })
	}
}

func testStoreOutage(t *testing.T, mode string) {
	d := startDeployment(t, newPolicyDocument())
	versions := d.monitorVersions()
	tr := d.startTraffic(lightLoad)
	tr.waitResponses(20, allHosts...)
	// A planned stop loses no requests, so the test can check until its end that none is lost.
	d.requireNoError(d.Hosts[hostB].Terminate())
	d.requireNoError(d.Hosts[hostB].Wait(waitTimeout))
	d.requireNoError(d.PlatformSwitch("down", url.Values{"mode": {mode}}))
	id := uuid.NewString()
	output, status := d.runCommandAt([]string{hostA}, "drain", "-reason", "in the outage", "-change-id", id, drainedServer)
	if status != exitStoreFailure {
		t.Errorf("drain in the outage: exit status %d, want %d\n%s", status, exitStoreFailure, output)
	}
	d.requireNoError(d.StartHost(hostB))
	d.waitReady(hostB)
	tr.waitResponses(50, allHosts...)
	d.requireNoError(d.PlatformSwitch("down", url.Values{"mode": {"off"}}))
	d.runCommandUntilAccepted(id, "drain")
	d.waitVersion(2)
	tr.waitResponses(50, allHosts...)
	versions.stopAndCheck(d)
	tr.stopAndCheck()
	tr.checkNoneLost()
}

// runCommandUntilAccepted repeats a command with the same change id until it is accepted, and checks that the history contains the
// change once. The command may fail for a while, because the platform may still be processing delayed calls.
func (d *deployment) runCommandUntilAccepted(id, command string) {
	d.t.Helper()
	d.waitFor("the change is accepted", func() bool {
		_, status := d.runCommandAt(allHosts, command, "-reason", "repeated", "-change-id", id, drainedServer)
		return status == 0
	})
	history := d.mustRunCommand("policy", "history")
	if n := strings.Count(history, id); n != 1 {
		d.t.Errorf("change %s is %d times in the history, want once:\n%s", id, n, history)
	}
}

// Guards against requests that wait for a slow store, and against a change that is lost or applied twice because its command timed
// out.
func TestSlowStoreDoesNotAffectServing(t *testing.T) {
	d := startDeployment(t, newPolicyDocument())
	versions := d.monitorVersions()
	tr := d.startTraffic(lightLoad)
	tr.waitResponses(20, allHosts...)
	// The entry hosts time out after 2 s, but the platform still executes each call.
	d.requireNoError(d.PlatformSwitch("slow", url.Values{"ms": {"3000"}}))
	id := uuid.NewString()
	output, status := d.runCommandAt([]string{hostA}, "drain", "-reason", "slow store", "-change-id", id, drainedServer)
	if status != exitStoreFailure {
		t.Errorf("drain with a slow store: exit status %d, want %d\n%s", status, exitStoreFailure, output)
	}
	tr.waitResponses(100, allHosts...)
	d.requireNoError(d.PlatformSwitch("slow", url.Values{"ms": {"0"}}))
	d.runCommandUntilAccepted(id, "drain")
	d.waitVersion(2)
	tr.waitResponses(20, allHosts...)
	versions.stopAndCheck(d)
	tr.stopAndCheck()
	tr.checkNoneLost()
}

// Guards against a change that is reported as failed or applied twice because the store's response was lost after the write took
// effect.
func TestStoreLosesResponses(t *testing.T) {
	d := startDeployment(t, newPolicyDocument())
	versions := d.monitorVersions()
	tr := d.startTraffic(lightLoad)
	tr.waitResponses(20, allHosts...)
	for n := 1; n <= 3; n++ {
		d.requireNoError(d.PlatformSwitch("lose-answers", url.Values{"n": {string(rune('0' + n))}}))
		id := uuid.NewString()
		command := "drain"
		if n%2 == 0 {
			command = "undrain"
		}
		output, status := d.runCommandAt([]string{hostA}, command, "-reason", "lost answer", "-change-id", id, drainedServer)
		if status != 0 && status != exitStoreFailure {
			t.Errorf("%s: exit status %d, want 0 or %d\n%s", command, status, exitStoreFailure, output)
		}
		d.requireNoError(d.PlatformSwitch("lose-answers", url.Values{"n": {"0"}}))
		d.mustRunCommand(command, "-reason", "lost answer", "-change-id", id, drainedServer)
		if history := d.mustRunCommand("policy", "history"); strings.Count(history, id) != 1 {
			t.Errorf("change %s is not in the history exactly once:\n%s", id, history)
		}
	}
	d.waitVersion(4)
	versions.stopAndCheck(d)
	tr.stopAndCheck()
	tr.checkNoneLost()
}
