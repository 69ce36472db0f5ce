package capacity

import (
	"fmt"
	"runtime"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/backend"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/slots"
)

// serverCost is what the backend servers of a failure domain with 27 hosts cost one of them.
type serverCost struct {
	servers int
	// tracker is bytes of live heap; configure, take and available are times of one call of the slot tracker.
	tracker                    float64
	configure, take, available time.Duration
	// polled is the number of backend servers that a host polls, on average and at most.
	polled    float64
	maxPolled int
}

// largestDomain is the number of entry hosts of the largest failure domain at the target size.
const largestDomain = 27

// trackerRounds is the number of calls that are timed.
const trackerRounds = 200

func measureServers(servers int) (serverCost, error) {
	cost := serverCost{servers: servers}
	s := shape{regions: 1, domains: 1, hostsPerDomain: largestDomain, serversPerDomain: servers, services: 2}
	snapshot, err := policy.Compile(document(s), 1, "change")
	if err != nil {
		return cost, err
	}
	hosts := snapshot.HostsIn(domainName(0))
	cost.measureTracker(snapshot, hosts)
	cost.countPolls(snapshot, hosts)
	return cost, nil
}

func (c *serverCost) measureTracker(snapshot *policy.Snapshot, hosts []string) {
	var backends []slots.Backend
	for _, b := range snapshot.BackendServersIn(domainName(0), "") {
		backends = append(backends, slots.Backend{ID: b.ID, Service: b.Service, Slots: b.Slots})
	}
	now := time.Now()
	options := slots.Options{HostListMaxLag: 10 * time.Second, EvidenceMaxAge: 5 * time.Second, MaxRequest: 5 * time.Second, PauseLimit: time.Hour}
	empty := liveHeap()
	tracker := slots.New(hosts[0], incarnation(now), now, options)
	start := time.Now()
	tracker.SetConfig(hosts, backends, now)
	c.configure = time.Since(start)
	c.tracker = liveHeap() - empty
	// After the longest wait of a joining host, it uses its own slots.
	now = now.Add(options.HostListMaxLag + options.EvidenceMaxAge + options.MaxRequest + time.Second)
	tracker.Tick(now)
	c.available = timeCalls(func(int) { tracker.Availability(serviceName(0), now) })
	c.take = timeCalls(func(int) {
		for _, a := range tracker.Availability(serviceName(0), now) {
			if a.Usable > 0 {
				if id, ok := tracker.Take(a.BackendServer, now); ok {
					tracker.Release(id, now, 0)
				}
				return
			}
		}
	}) - c.available
	runtime.KeepAlive(tracker)
}

// timeCalls returns the mean time of a call.
func timeCalls(call func(int)) time.Duration {
	start := time.Now()
	for i := range trackerRounds {
		call(i)
	}
	return time.Since(start) / trackerRounds
}

// countPolls counts the backend servers that each host polls while all are in their normal state.
func (c *serverCost) countPolls(snapshot *policy.Snapshot, hosts []string) {
	total := 0
	for _, id := range hosts {
		registry := backend.NewRegistry(backend.RegistryOptions{Seed: 1})
		registry.Configure(snapshot, domainName(0), time.Now())
		registry.SetHosts(id, hosts)
		n := len(registry.Targets(time.Now()))
		total += n
		c.maxPolled = max(c.maxPolled, n)
	}
	c.polled = float64(total) / float64(len(hosts))
}

func (c serverCost) String() string { return fmt.Sprintf("%d backend servers", c.servers) }
