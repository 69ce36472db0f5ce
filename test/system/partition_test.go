package system

import (
	"net/netip"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/standin/network"
)

// Guards against a failure domain that stops serving, or makes other domains stop serving, when it is isolated from them and from
// the store, and against an isolated host that brings an earlier configuration back into force.
func TestIsolatedFailureDomainKeepsServing(t *testing.T) {
	for domain, hosts := range map[string][]string{"west-1": {hostD}, "east-1": {hostA, hostB}} {
		t.Run(domain, func(t *testing.T) { testIsolation(t, domain, hosts) })
	}
}

func testIsolation(t *testing.T, domain string, hosts []string) {
	d := startDeployment(t, newPolicyDocument())
	others := without(allHosts, hosts)
	versions := d.monitorVersions()
	tr := d.startTraffic(lightLoad)
	tr.waitResponses(20, allHosts...)
	d.Isolate(domain)
	output, status := d.runCommandAt(others, "drain", "-reason", "while one failure domain is cut off", drainedServer)
	if status != 0 {
		t.Errorf("drain through %v: exit status %d\n%s", others, status, output)
	}
	d.waitFor("version 2 on the reachable hosts", func() bool { return d.minVersion(others) == 2 })
	if output, status := d.runCommandAt(hosts[:1], "drain", "-timeout", "6s", "-reason", "without the store", "east-2-server-2"); status != exitStoreFailure {
		t.Errorf("command without the store: exit status %d, want %d\n%s", status, exitStoreFailure, output)
	}
	tr.waitResponses(100, allHosts...)
	if d.minVersion(hosts) != 1 {
		t.Errorf("version 2 came into force in %s, which should be isolated", domain)
	}
	d.Cut(nil)
	healed := time.Now()
	d.waitVersion(2)
	t.Logf("version 2 is in force in %s %d ms after healing", domain, time.Since(healed).Milliseconds())
	tr.waitResponses(50, allHosts...)
	versions.stopAndCheck(d)
	tr.stopAndCheck()
}

// minVersion returns the lowest version in force on the hosts.
func (d *deployment) minVersion(hosts []string) int {
	lowest := -1
	for _, id := range hosts {
		h, _ := d.health(id)
		if lowest < 0 || int(h.ConfigVersion) < lowest {
			lowest = int(h.ConfigVersion)
		}
	}
	return lowest
}

// Guards against a host that takes over the slots of an unreachable peer while the peer still uses them.
func TestPartitionedHostsKeepTheirOwnSlots(t *testing.T) {
	d := startDeployment(t, newPolicyDocument())
	slots := map[string]int{hostA: d.usableSlots(hostA), hostB: d.usableSlots(hostB)}
	tr := d.startTraffic(heavyLoad)
	tr.startDirectWorkers(hostA, eastSlots+4)
	tr.startDirectWorkers(hostB, eastSlots+4)
	tr.waitResponses(50, allHosts...)
	d.setHostPartition(hostA, hostB)
	d.waitFor(hostA+" does not reach "+hostB, func() bool { return !d.reaches(hostA, hostB) && !d.reaches(hostB, hostA) })
	// The wait of 7 s exceeds the sum of list lag, fetch interval and maximum request time, after which evidence from the host list
	// would have taken effect.
	for end := time.Now().Add(7 * time.Second); time.Now().Before(end); time.Sleep(pollInterval) {
		for id, want := range slots {
			if got := d.usableSlots(id); got != want {
				t.Fatalf("%s may use %d slots in the partition, want its own %d", id, got, want)
			}
		}
	}
	tr.waitResponses(50, allHosts...)
	d.setHostPartition("", "")
	d.waitFor(hostA+" reaches "+hostB, func() bool { return d.reaches(hostA, hostB) && d.reaches(hostB, hostA) })
	tr.waitResponses(50, allHosts...)
	tr.stopAndCheck()
}

// setHostPartition makes the links between two hosts unresponsive and refuses new connections between them; empty ids remove the
// partition. All other links have no delay from then on.
func (d *deployment) setHostPartition(a, b string) {
	addressOf := func(id string) netip.Addr {
		if h := d.Snapshot().Host(id); h != nil {
			return h.CallerAddress.Addr()
		}
		return netip.Addr{}
	}
	from, to := addressOf(a), addressOf(b)
	d.Relay.SetRule(func(source, destination netip.Addr) network.Link {
		cut := source == from && destination == to || source == to && destination == from
		return network.Link{Silent: cut, Refused: cut}
	})
}
