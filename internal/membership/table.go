package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/policy"
)

// peer is the known state of another host of the failure domain.
type peer struct {
	// incarnation, counter and state are the latest known ones, from the peer itself or from an observation by another host.
	// updatedAt is the time of receipt of the latest update minus its age.
	incarnation Incarnation
	counter     uint64
	state       State
	updatedAt   time.Time
	// direct is what the peer last reported of itself, and directReceivedAt is the time of receipt.
	direct           Member
	directReceivedAt time.Time
}

// Table is the liveness table of one failure domain and holds the summaries of the others. It is a state machine without I/O,
// clock or locks: the caller passes the time, sends the messages and holds a lock during each call.
type Table struct {
	self          Member
	failureDomain string
	// peerIDs is sorted.
	peerIDs []string
	peers   map[string]*peer
	notices map[string]Notice
	// nextPeer is the index in peerIDs of the first peer to observe in the next heartbeat.
	nextPeer        int
	summarySequence uint64
	remoteDomains   map[string]*remoteDomain
}

// New returns the table of a host without peers.
func New(self Member, failureDomain string) *Table {
	return &Table{
		self:          self,
		failureDomain: failureDomain,
		peers:         map[string]*peer{},
		notices:       map[string]Notice{},
		remoteDomains: map[string]*remoteDomain{},
	}
}

// SetPeers sets the other hosts of the failure domain. It keeps the state of known peers and removes the state of all others.
func (t *Table) SetPeers(ids []string) {
	sorted := slices.Clone(ids)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	t.peerIDs = slices.DeleteFunc(sorted, func(id string) bool { return id == t.self.ID })
	previous := t.peers
	t.peers = make(map[string]*peer, len(t.peerIDs))
	for _, id := range t.peerIDs {
		p := previous[id]
		if p == nil {
			p = &peer{}
		}
		t.peers[id] = p
	}
}

// SetSelf sets what the following heartbeats report of this host.
func (t *Table) SetSelf(state State, version policy.Version, headroom []Headroom) {
	t.self.State = state
	t.self.ConfigVersion = version
	t.self.Headroom = headroom
}

// SetIncarnation sets a higher incarnation of this host after a pause of the process. It ignores a lower one.
func (t *Table) SetIncarnation(incarnation Incarnation) {
	if incarnation > t.self.Incarnation {
		t.self.Incarnation = incarnation
		t.self.Counter = 0
		t.summarySequence = 0
	}
}

// Heartbeat increments the counter of this host and returns its next heartbeat.
func (t *Table) Heartbeat(now time.Time) Heartbeat {
	t.self.Counter++
	return Heartbeat{From: t.self, Others: t.nextObservations(now), Notices: t.Notices()}
}

// nextObservations returns the observations for the next heartbeat. Successive calls cover successive groups of at most
// MaxObservations peers and omit unreachable peers.
func (t *Table) nextObservations(now time.Time) []Observation {
	n := min(len(t.peerIDs), MaxObservations)
	others := make([]Observation, 0, n)
	for range n {
		t.nextPeer %= len(t.peerIDs)
		id := t.peerIDs[t.nextPeer]
		t.nextPeer++
		if p := t.peers[id]; p.reachable(now) {
			others = append(others, Observation{
				ID: id, Incarnation: p.incarnation, Counter: p.counter, State: p.state, Age: now.Sub(p.updatedAt),
			})
		}
	}
	return others
}

// Targets returns the peers to which the next heartbeat is sent: all peers if there are at most Fanout, otherwise Fanout
// random ones.
func (t *Table) Targets(rng *rand.Rand) []string {
	targets := slices.Clone(t.peerIDs)
	if len(targets) <= Fanout {
		return targets
	}
	for i := range Fanout {
		j := i + rng.IntN(len(targets)-i)
		targets[i], targets[j] = targets[j], targets[i]
	}
	return targets[:Fanout]
}

// Members returns this host and the reachable peers, sorted by id. A peer has no configuration version and no headroom until
// this host receives a message from the peer's latest known incarnation itself.
func (t *Table) Members(now time.Time) []Member {
	members := make([]Member, 0, len(t.peerIDs)+1)
	members = append(members, t.self)
	for _, id := range t.peerIDs {
		if p := t.peers[id]; p.reachable(now) {
			members = append(members, p.member(id))
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return members
}

// PeerWithHighestVersion returns the reachable peer with the highest configuration version, and that version. Among equal
// versions it returns the lowest id. The id is empty if no reachable peer has reported a version.
func (t *Table) PeerWithHighestVersion(now time.Time) (string, policy.Version) {
	var highestID string
	var highest policy.Version
	for _, id := range t.peerIDs {
		p := t.peers[id]
		if v := p.member(id).ConfigVersion; p.reachable(now) && v > highest {
			highestID, highest = id, v
		}
	}
	return highestID, highest
}
