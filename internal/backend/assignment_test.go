package backend

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailtack/foxtailtack/internal/membership"
)

// domainFixture holds the registries of the entry hosts of one failure domain.
type domainFixture struct {
	t          *rapid.T
	hosts      []string
	servers    []string
	registries map[string]*Registry
	now        time.Time
}

func newDomainFixture(t *rapid.T, hosts, servers int) *domainFixture {
	d := &domainFixture{t: t, registries: map[string]*Registry{}, now: epoch}
	for i := range servers {
		d.servers = append(d.servers, fmt.Sprint("b", i))
	}
	for i := range hosts {
		d.hosts = append(d.hosts, fmt.Sprint("h", i))
	}
	snapshot := snapshotOf(t, d.servers, nil)
	for _, id := range d.hosts {
		d.registries[id] = NewRegistry(RegistryOptions{Seed: 1})
		d.registries[id].Configure(snapshot, "d", epoch)
		d.registries[id].SetHosts(id, d.hosts)
	}
	return d
}

// pollers lists the hosts that poll a backend server.
func (d *domainFixture) pollers(server string) []string {
	var ids []string
	for _, id := range d.hosts {
		targets := d.registries[id].Targets(d.now)
		if slices.ContainsFunc(targets, func(t Target) bool { return t.ID == server }) {
			ids = append(ids, id)
		}
	}
	return ids
}

// step advances the clock by a second: each host polls its targets and then receives the heartbeats of all other hosts.
func (d *domainFixture) step(poll func(server string) Health) {
	d.now = d.now.Add(time.Second)
	for _, id := range d.hosts {
		for _, target := range d.registries[id].Targets(d.now) {
			h := poll(target.ID)
			h.At = ObservedInterval{SentAt: d.now, ReceivedAt: d.now.Add(time.Millisecond)}
			d.registries[id].RecordHealth(target.ID, h)
		}
	}
	d.now = d.now.Add(10 * time.Millisecond)
	for _, from := range d.hosts {
		for _, to := range d.hosts {
			if from != to {
				d.registries[to].MergeNotices(d.registries[from].Notices(), d.now)
				d.registries[to].RecordPeerSuspects(d.registries[from].Suspects(), d.now)
			}
		}
	}
}

// countHosts returns the number of hosts at which the status of the backend server satisfies want.
func (d *domainFixture) countHosts(server string, want func(Status) bool) int {
	n := 0
	for _, id := range d.hosts {
		for _, st := range d.registries[id].Statuses(d.now) {
			if st.ID == server && want(st) {
				n++
			}
		}
	}
	return n
}

func healthy(string) Health { return Health{Reached: true, Healthy: true} }

// Each backend server must have two pollers whichever hosts are reachable, and a single host must poll all servers. Without a poller,
// a drain or failure would not be detected; if every host polled, the polls would grow with the square of the failure domain.
func TestEachServerHasTwoPollers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDomainFixture(t, rapid.IntRange(1, 27).Draw(t, "hosts"), rapid.IntRange(1, 30).Draw(t, "servers"))
		lost := rapid.IntRange(0, len(d.hosts)-1).Draw(t, "lost hosts")
		d.hosts = d.hosts[lost:]
		for _, id := range d.hosts {
			d.registries[id].SetHosts(id, d.hosts)
		}
		for _, server := range d.servers {
			if got, want := len(d.pollers(server)), min(pollersPerServer, len(d.hosts)); got != want {
				t.Fatalf("%s has %d pollers of %d hosts, want %d", server, got, len(d.hosts), want)
			}
		}
	})
}

// Before the first heartbeats a host must poll all backend servers.
func TestHostPollsAllServersBeforeSetHosts(t *testing.T) {
	r := NewRegistry(RegistryOptions{Seed: 1})
	r.Configure(snapshotOf(t, []string{"b1", "b2"}, nil), "d", epoch)
	if got := len(r.Targets(epoch)); got != 2 {
		t.Fatalf("%d targets, want 2", got)
	}
}

// A failed, unhealthy or draining backend server must get no more work from any host, including hosts that do not poll it in its
// normal state, and must be back in use at every host after its return. Afterwards two hosts poll it again.
func TestAllHostsFollowServerState(t *testing.T) {
	states := []struct {
		name   string
		health Health
		state  func(Status) bool
	}{
		{"failed", Health{}, func(s Status) bool { return s.Ejected }},
		{"unhealthy", Health{Reached: true}, func(s Status) bool { return s.Unhealthy }},
		{"draining", Health{Reached: true, Healthy: true, Draining: true}, func(s Status) bool { return s.Leaving }},
	}
	rapid.Check(t, func(t *rapid.T) {
		d := newDomainFixture(t, rapid.IntRange(1, 27).Draw(t, "hosts"), 5)
		c := rapid.SampledFrom(states).Draw(t, "state")
		faulty := rapid.SampledFrom(d.servers).Draw(t, "server")
		d.step(healthy)
		fault := func(server string) Health {
			if server == faulty {
				return c.health
			}
			return healthy(server)
		}
		// One second for the polls, one for the heartbeats, and ejectAfter seconds for an ejection.
		for range 2 + ejectAfter {
			d.step(fault)
		}
		if got := d.countHosts(faulty, c.state); got != len(d.hosts) {
			t.Fatalf("%s is %s at %d of %d hosts", faulty, c.name, got, len(d.hosts))
		}
		// 60 s cover the longest backoff, the ramp of 8 s and the TTL of notices.
		for range 60 {
			d.step(healthy)
		}
		if got := d.countHosts(faulty, c.state); got != 0 {
			t.Fatalf("%s is still %s at %d hosts", faulty, c.name, got)
		}
		if got, want := len(d.pollers(faulty)), min(pollersPerServer, len(d.hosts)); got != want {
			t.Fatalf("%d pollers after the return, want %d", got, want)
		}
	})
}

// A host that ejects a backend server after failed attempts must poll it. Only a poll ends an ejection, so without polls the server
// would never be used there again.
func TestHostPollsServerItEjected(t *testing.T) {
	r := NewRegistry(RegistryOptions{Seed: 1})
	r.Configure(snapshotOf(t, []string{"b1"}, nil), "d", epoch)
	hosts := []string{"h0", "h1", "h2", "h3"}
	self := hosts[slices.IndexFunc(hosts, func(id string) bool { return !isAssignedPoller("b1", id, hosts) })]
	r.SetHosts(self, hosts)
	if got := r.Targets(epoch); len(got) != 0 {
		t.Fatalf("host polls %v, want nothing", got)
	}
	for range ejectAfter {
		r.RecordAttempt("b1", Result{ServerFault: true, StartedAt: epoch})
	}
	if got := r.Targets(epoch); len(got) != 1 || !r.Statuses(epoch)[0].Ejected {
		t.Fatalf("polls %v, state %+v, want a poll of the ejected server", got, r.Statuses(epoch))
	}
}

// A peer's leaving notice must make this host poll the server, so that it detects the return itself if the peer fails.
func TestHostPollsServerThatPeerReportsLeaving(t *testing.T) {
	r := NewRegistry(RegistryOptions{Seed: 1})
	r.Configure(snapshotOf(t, []string{"b1"}, nil), "d", epoch)
	hosts := []string{"h0", "h1", "h2", "h3"}
	r.SetHosts(hosts[slices.IndexFunc(hosts, func(id string) bool { return !isAssignedPoller("b1", id, hosts) })], hosts)
	r.MergeNotices([]membership.Notice{{BackendServer: "b1", Leaving: true, Sequence: 1}}, epoch)
	if got := r.Targets(epoch); len(got) != 1 {
		t.Fatalf("polls %v, want a poll of the leaving server", got)
	}
}
