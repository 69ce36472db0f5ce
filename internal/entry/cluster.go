package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/hostlist"
	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/peer"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/slots"
)

// cluster guards the membership table and the slot tracker of this process, which change together.
type cluster struct {
	self   string
	domain string

	mu          sync.Mutex
	incarnation membership.Incarnation
	state       membership.State
	// said is the state that was last put into the table.
	said     membership.State
	table    *membership.Table
	tracker  *slots.Tracker
	rng      *rand.Rand
	lastTick time.Time
}

func newCluster(self, domain string, options slots.Options, rng *rand.Rand, now time.Time) *cluster {
	incarnation := newIncarnation(now)
	return &cluster{
		self:        self,
		domain:      domain,
		incarnation: incarnation,
		table:       membership.New(membership.Member{ID: self, Incarnation: incarnation}, domain),
		tracker:     slots.New(self, incarnation, now, options),
		rng:         rng,
		lastTick:    now,
	}
}

// newIncarnation numbers lives by wall clock. A host's clock that is set back by more than the time between two starts
// would repeat a number; peers then ignore the new life until its number is higher.
func newIncarnation(now time.Time) membership.Incarnation {
	return membership.Incarnation(now.UnixMicro())
}

// identity names this life of the process.
func (c *cluster) identity() peer.Identity {
	c.mu.Lock()
	defer c.mu.Unlock()
	return peer.Identity{Host: c.self, Incarnation: c.incarnation}
}

// configure takes hosts and backend servers of this failure domain from a policy.
func (c *cluster) configure(snapshot *policy.Snapshot, options slots.Options, now time.Time) {
	hosts := snapshot.HostsIn(c.domain)
	var peers []string
	for _, id := range hosts {
		if id != c.self {
			peers = append(peers, id)
		}
	}
	var backends []slots.Backend
	for _, b := range snapshot.BackendServersIn(c.domain, "") {
		backends = append(backends, slots.Backend{ID: b.ID, Service: b.Service, Slots: b.Slots})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.SetPeers(peers)
	c.table.SetFailureDomains(otherDomains(snapshot, c.domain))
	c.tracker.SetOptions(options)
	if self := snapshot.Host(c.self); self != nil {
		c.tracker.SetRetired(self.Retired, now)
	}
	c.tracker.SetConfig(hosts, backends, now)
}

func otherDomains(snapshot *policy.Snapshot, own string) []string {
	var names []string
	for _, d := range snapshot.Document.FailureDomains {
		if d.Name != own {
			names = append(names, d.Name)
		}
	}
	return names
}

// usable returns the number of slots of a service that this host may use.
func (c *cluster) usable(service string, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Usable(service, now)
}

// heartbeat returns the next heartbeat and the peers to send it to.
func (c *cluster) heartbeat(version policy.Version, headroom []membership.Headroom, now time.Time) (membership.Heartbeat, []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.SetSelf(c.stateNow(now), version, headroom)
	return c.table.Heartbeat(now), c.table.Targets(c.rng)
}

// updateSelf brings what this host says of itself up to date between heartbeats, and reports whether its state changed. Look-ups
// that this host answers would otherwise send its callers elsewhere until the next heartbeat.
func (c *cluster) updateSelf(version policy.Version, headroom []membership.Headroom, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.stateNow(now)
	changed := state != c.said
	c.said = state
	c.table.SetSelf(state, version, headroom)
	return changed
}

// reply returns a heartbeat as answer. It leaves out what was heard of others: with it the answers of 27 hosts would take a
// failure domain over its budget of bytes, and heartbeats of its own carry it each second.
func (c *cluster) reply(now time.Time) membership.Heartbeat {
	c.mu.Lock()
	defer c.mu.Unlock()
	heartbeat := c.table.Heartbeat(now)
	heartbeat.Others = nil
	heartbeat.Notices = nil
	return heartbeat
}

// stateNow is what this host says of itself. A host that waits for its slots is joining.
func (c *cluster) stateNow(now time.Time) membership.State {
	if c.state == membership.Leaving {
		return membership.Leaving
	}
	if !c.tracker.Ready(now) {
		return membership.Joining
	}
	return membership.Serving
}

// observe takes in a heartbeat.
func (c *cluster) observe(heartbeat membership.Heartbeat, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Observe(heartbeat, now)
	c.tracker.Heard(heartbeat.From.ID, heartbeat.From.Incarnation, now)
	for _, o := range heartbeat.Others {
		if incarnation, heard, ok := c.table.LastHeard(o.ID); ok && o.ID != c.self {
			c.tracker.Heard(o.ID, incarnation, heard)
		}
	}
}

// tick records that the process runs, and starts a new incarnation after a pause. The wall clock is compared too,
// because the monotonic clock stands still while a virtual machine is suspended.
func (c *cluster) tick(now time.Time, pauseLimit time.Duration) (restarted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wallGap := now.Round(0).Sub(c.lastTick.Round(0))
	c.lastTick = now
	if !c.tracker.Paused(now) && wallGap <= pauseLimit {
		c.tracker.Tick(now)
		return false
	}
	c.incarnation = max(newIncarnation(now), c.incarnation+1)
	c.tracker.Restart(c.incarnation, now)
	c.table.SetIncarnation(c.incarnation)
	c.tracker.Tick(now)
	return true
}

// writable reports whether a request may be written on a slot that was taken.
func (c *cluster) writable(id slots.ID, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Writable(id, now)
}

func (c *cluster) setLeaving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = membership.Leaving
}

func (c *cluster) isDelegate(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.IsDelegate(now)
}

// needsHostList reports whether the platform's list could confirm something: a peer is not reachable, or this host has not joined.
func (c *cluster) needsHostList(now time.Time, peers []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.tracker.Ready(now) || c.table.IsDelegate(now) {
		return true
	}
	for _, id := range peers {
		if id != c.self && !c.table.Reachable(id, now) {
			return true
		}
	}
	return false
}

func (c *cluster) observeList(list hostlist.List, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.ObserveList(list, now)
}

// members returns the reachable hosts of this failure domain and the summaries of the others.
func (c *cluster) members(now time.Time) ([]membership.Member, []membership.Summary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Members(now), c.table.Remote(now)
}

// join answers a host that asks this one to leave its slots alone.
func (c *cluster) join(request slots.JoinRequest, now time.Time) slots.JoinReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.HandleJoin(request, now)
}

// observeSummary takes in the summary of a failure domain and reports whether it is newer than the known one.
func (c *cluster) observeSummary(s membership.Summary, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.ObserveSummary(s, now)
}
