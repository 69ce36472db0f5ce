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

// cluster holds the membership table and the slot tracker of this process under one lock, because they change together.
type cluster struct {
	self   string
	domain string

	mu          sync.Mutex
	incarnation membership.Incarnation
	state       membership.State
	// publishedState is the state that updateSelf last wrote into the table.
	publishedState membership.State
	table          *membership.Table
	tracker        *slots.Tracker
	rng            *rand.Rand
	lastTick       time.Time
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

// newIncarnation derives an incarnation from the wall clock. If the clock of a host is set back by more than the time between
// two starts, the new incarnation is not higher than the previous one, and peers ignore the process until it is.
func newIncarnation(now time.Time) membership.Incarnation {
	return membership.Incarnation(now.UnixMicro())
}

// identity returns the host id and the current incarnation of the process.
func (c *cluster) identity() peer.Identity {
	c.mu.Lock()
	defer c.mu.Unlock()
	return peer.Identity{Host: c.self, Incarnation: c.incarnation}
}

// configure applies the hosts and backend servers of this failure domain from a policy.
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
	c.table.RetainFailureDomains(otherDomains(snapshot, c.domain))
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
	c.table.SetSelf(c.currentState(now), version, headroom)
	return c.table.Heartbeat(now), c.table.Targets(c.rng)
}

// updateSelf updates this host's entry in the table between heartbeats, and reports whether its state changed. Look-ups that
// this host serves would otherwise direct its callers to other hosts until the next heartbeat.
func (c *cluster) updateSelf(version policy.Version, headroom []membership.Headroom, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.currentState(now)
	changed := state != c.publishedState
	c.publishedState = state
	c.table.SetSelf(state, version, headroom)
	return changed
}

// heartbeatReply returns the reply to a heartbeat. It omits the known state of other hosts: with it the replies of 27 hosts
// would exceed the byte budget of a failure domain, and the heartbeats that this host sends carry that state each second.
func (c *cluster) heartbeatReply(now time.Time) membership.Heartbeat {
	c.mu.Lock()
	defer c.mu.Unlock()
	heartbeat := c.table.Heartbeat(now)
	heartbeat.Others = nil
	heartbeat.Notices = nil
	return heartbeat
}

// currentState returns the state of this host. A host that waits for its slots is joining.
func (c *cluster) currentState(now time.Time) membership.State {
	if c.state == membership.Leaving {
		return membership.Leaving
	}
	if !c.tracker.Ready(now) {
		return membership.Joining
	}
	return membership.Serving
}

// observeHeartbeat applies a received heartbeat.
func (c *cluster) observeHeartbeat(heartbeat membership.Heartbeat, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.MergeHeartbeat(heartbeat, now)
	c.tracker.RecordMessage(heartbeat.From.ID, heartbeat.From.Incarnation, now)
	for _, o := range heartbeat.Others {
		if incarnation, receivedAt, ok := c.table.LastUpdate(o.ID); ok && o.ID != c.self {
			c.tracker.RecordMessage(o.ID, incarnation, receivedAt)
		}
	}
}

// tick records that the process is running, and starts a new incarnation after a pause. It also compares the wall clock,
// because the monotonic clock does not advance while a virtual machine is suspended.
func (c *cluster) tick(now time.Time, pauseLimit time.Duration) (restarted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wallClockGap := now.Round(0).Sub(c.lastTick.Round(0))
	c.lastTick = now
	if !c.tracker.Paused(now) && wallClockGap <= pauseLimit {
		c.tracker.Tick(now)
		return false
	}
	c.incarnation = max(newIncarnation(now), c.incarnation+1)
	c.tracker.Rejoin(c.incarnation, now)
	c.table.SetIncarnation(c.incarnation)
	c.tracker.Tick(now)
	return true
}

// writable reports whether a request may still be written on a slot that was taken earlier.
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

// needsHostList reports whether this host should fetch the platform's host list: it has not joined, it is a delegate, or one
// of its peers is not reachable.
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

func (c *cluster) observeHostList(list hostlist.List, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.ObserveList(list, now)
}

// members returns the reachable hosts of this failure domain and the summaries of the others.
func (c *cluster) members(now time.Time) ([]membership.Member, []membership.Summary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Members(now), c.table.RemoteSummaries(now)
}

// handleJoin handles a join request, in which a joining host asks this host to stop using the joining host's slots.
func (c *cluster) handleJoin(request slots.JoinRequest, now time.Time) slots.JoinReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.HandleJoin(request, now)
}

// observeSummary applies the summary of a failure domain and reports whether it is newer than the known one.
func (c *cluster) observeSummary(s membership.Summary, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.MergeSummary(s, now)
}
