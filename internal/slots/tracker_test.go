package slots_test

import (
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/hostlist"
	"github.com/foxtailtack/foxtailtack/internal/slots"
)

// testHost drives the tracker of host a with ticks.
type testHost struct {
	now     time.Time
	tracker *slots.Tracker
}

func (c *testHost) wait(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(250 * time.Millisecond)
		c.tracker.Tick(c.now)
	}
}

// list passes a host list with the given hosts and host a to the tracker.
func (c *testHost) list(ids ...string) {
	list := hostlist.List{Hosts: map[string]hostlist.State{"a": hostlist.Live}, FetchedAt: c.now}
	for _, id := range ids {
		list.Hosts[id] = hostlist.Live
	}
	c.tracker.ObserveList(list, c.now)
}

// newReady returns host a after its join with the peers has completed.
func newReady(hosts []string, backends []slots.Backend) *testHost {
	c := &testHost{now: epoch, tracker: slots.New("a", 10, epoch, testOptions)}
	c.tracker.SetConfig(hosts, backends, c.now)
	c.wait(testOptions.MaxRequest)
	for _, id := range c.tracker.JoinTargets(c.now) {
		c.tracker.HandleJoinReply(id, slots.JoinReply{Acknowledged: true, Incarnation: 1, Requested: 10}, c.now)
	}
	return c
}

// confirmPeersGone passes lists without the peers until all peers are confirmed gone.
func (c *testHost) confirmPeersGone() {
	c.wait(testOptions.HostListMaxLag)
	for range 12 {
		c.wait(time.Second)
		c.list()
	}
}

var server9 = []slots.Backend{{ID: "s1", Service: "catalogue", Slots: 9}}

// TestHostKeepsItsSlotsWhenPeersCrash guards against a crash of a peer that makes slots of this host unusable for a short
// time.
func TestHostKeepsItsSlotsWhenPeersCrash(t *testing.T) {
	c := newReady([]string{"a", "b", "c"}, server9)
	own := c.tracker.Usable("catalogue", c.now)
	if own == 0 || own == 9 {
		t.Fatalf("%d own slots of 9, want a share", own)
	}
	for range 160 {
		c.wait(250 * time.Millisecond)
		if c.now.Sub(epoch)%(2*time.Second) == 0 {
			c.list()
		}
		if got := c.tracker.Usable("catalogue", c.now); got < own {
			t.Fatalf("%d slots usable at %v, own are %d", got, c.now.Sub(epoch), own)
		}
	}
	if got := c.tracker.Usable("catalogue", c.now); got != 9 {
		t.Fatalf("%d slots usable after both peers are gone, want 9", got)
	}
}

// TestJoinCompletesAfterTimeoutWithoutPeer guards against a host that never becomes ready, or becomes ready too early, when
// a peer cannot be reached. A retired host does not become ready.
func TestJoinCompletesAfterTimeoutWithoutPeer(t *testing.T) {
	for _, retired := range []bool{false, true} {
		c := &testHost{now: epoch, tracker: slots.New("a", 1, epoch, testOptions)}
		c.tracker.SetRetired(retired, c.now)
		c.tracker.SetConfig([]string{"a", "b"}, server9, c.now)
		wait := 26 * time.Second // lag 10 s + evidence age 5 s + request 10 s + pause 1 s
		c.wait(wait - 250*time.Millisecond)
		if c.tracker.Ready(c.now) {
			t.Fatal("ready before the join timeout")
		}
		c.wait(250 * time.Millisecond)
		if c.tracker.Ready(c.now) == retired {
			t.Fatalf("retired=%v: ready=%v after the join timeout", retired, !retired)
		}
	}
}

// TestJoinReplyOfAnotherIncarnationIsIgnored guards against a late response that completes the join of a later incarnation,
// and against the response of a peer that has restarted since.
func TestJoinReplyOfAnotherIncarnationIsIgnored(t *testing.T) {
	c := &testHost{now: epoch, tracker: slots.New("a", 7, epoch, testOptions)}
	c.tracker.SetConfig([]string{"a", "b"}, server9, c.now)
	c.wait(testOptions.MaxRequest)
	c.tracker.HandleJoinReply("b", slots.JoinReply{Acknowledged: true, Incarnation: 1, Requested: 6}, c.now)
	if c.tracker.Ready(c.now) {
		t.Fatal("a response to another incarnation is accepted")
	}
	c.tracker.RecordMessage("b", 3, c.now)
	c.tracker.HandleJoinReply("b", slots.JoinReply{Acknowledged: true, Incarnation: 2, Requested: 7}, c.now)
	if c.tracker.Ready(c.now) {
		t.Fatal("a response of a replaced incarnation is accepted")
	}
	c.tracker.HandleJoinReply("b", slots.JoinReply{Acknowledged: true, Incarnation: 3, Requested: 7}, c.now)
	if !c.tracker.Ready(c.now) {
		t.Fatal("the response of the current incarnation is not accepted")
	}
}

// TestGapBetweenListsRestartsConfirmation guards against evidence that stays valid after a gap without lists. In the gap the
// peer may have started, served requests while this host could not reach it, and crashed, and its requests may still run.
func TestGapBetweenListsRestartsConfirmation(t *testing.T) {
	c := newReady([]string{"a", "b"}, server9)
	c.confirmPeersGone()
	own := 9 - c.tracker.Usable("catalogue", c.now)
	if own != 0 {
		t.Fatalf("%d slots are not usable, want all usable", own)
	}
	c.wait(testOptions.EvidenceMaxAge)
	c.list()
	if c.tracker.Usable("catalogue", c.now) == 9 {
		t.Fatal("one list after a gap makes all slots usable")
	}
}

// TestLateDepartureNoticeIsRejected guards against accepting the departure notice of a replaced incarnation, or one with an
// expired ticket.
func TestLateDepartureNoticeIsRejected(t *testing.T) {
	c := newReady([]string{"a", "b"}, server9)
	ticket := c.tracker.IssueTicket("b", c.now)
	c.tracker.RecordMessage("b", 2, c.now)
	if c.tracker.Goodbye("b", 1, ticket, c.now) {
		t.Fatal("departure notice of a replaced incarnation is accepted")
	}
	if c.tracker.Goodbye("b", 2, slots.Ticket{}, c.now) {
		t.Fatal("departure notice without ticket is accepted")
	}
	late := c.now.Add(testOptions.HostListMaxLag + testOptions.EvidenceMaxAge)
	if c.tracker.Goodbye("b", 2, ticket, late) {
		t.Fatal("departure notice with an expired ticket is accepted")
	}
	if !c.tracker.Goodbye("b", 2, ticket, c.now) || len(c.tracker.Gone(c.now)) != 1 {
		t.Fatal("departure notice with a current ticket is not accepted")
	}
}

// TestSlotsInUseSurviveConfigurationChange guards against slots in use that are no longer counted when they are removed from
// the configuration, and against a second use of them when they are added again.
func TestSlotsInUseSurviveConfigurationChange(t *testing.T) {
	c := newReady([]string{"a"}, server9)
	var ids []slots.ID
	for {
		id, ok := c.tracker.Take("s1", c.now)
		if !ok {
			break
		}
		ids = append(ids, id)
	}
	check := func(step string, usable, inUse int) {
		t.Helper()
		if u, n := c.tracker.Usable("catalogue", c.now), c.tracker.InUse("catalogue"); u != usable || n != inUse {
			t.Fatalf("%s: usable=%d in use=%d, want %d and %d", step, u, n, usable, inUse)
		}
		if _, ok := c.tracker.Take("s1", c.now); ok {
			t.Fatalf("%s: a slot is taken twice", step)
		}
	}
	check("full", 9, 9)
	c.tracker.SetConfig([]string{"a"}, []slots.Backend{{ID: "s1", Service: "catalogue", Slots: 3}}, c.now)
	check("reduced", 3, 9)
	c.tracker.SetConfig([]string{"a"}, nil, c.now)
	check("removed", 0, 9)
	c.tracker.Release(ids[8], c.now, 0)
	c.tracker.SetConfig([]string{"a"}, server9, c.now)
	if id, ok := c.tracker.Take("s1", c.now); !ok || id.Index != 8 {
		t.Fatalf("got %v %v, want the released slot", id, ok)
	}
	check("added again", 9, 9)
	c.tracker.SetConfig([]string{"a"}, nil, c.now)
	for _, id := range ids {
		c.tracker.Release(id, c.now, 0)
		c.tracker.Release(id, c.now, 0)
	}
	if n := c.tracker.InUse("catalogue"); n != 0 {
		t.Fatalf("%d slots in use after all were released", n)
	}
}

// TestReleasedSlotIsNotTakenDuringHold guards against a slot that is taken again while the backend server may still run the
// cancelled attempt, and against a second release that shortens the hold time.
func TestReleasedSlotIsNotTakenDuringHold(t *testing.T) {
	c := newReady([]string{"a"}, []slots.Backend{{ID: "s1", Service: "catalogue", Slots: 1}})
	id, _ := c.tracker.Take("s1", c.now)
	c.tracker.Release(id, c.now, 100*time.Millisecond)
	c.tracker.Release(id, c.now, 0)
	if _, ok := c.tracker.Take("s1", c.now.Add(99*time.Millisecond)); ok {
		t.Fatal("slot taken during the hold time")
	}
	if _, ok := c.tracker.Take("s1", c.now.Add(100*time.Millisecond)); !ok {
		t.Fatal("slot not taken after the hold time")
	}
}

// TestWriteIsNotAllowedAfterPause guards against a request that is written after a pause on a slot taken before the pause,
// also when the process has joined again in between.
func TestWriteIsNotAllowedAfterPause(t *testing.T) {
	c := newReady([]string{"a"}, server9)
	id, _ := c.tracker.Take("s1", c.now)
	if !c.tracker.Writable(id, c.now.Add(time.Second)) {
		t.Fatal("not writable after a pause within the limit")
	}
	c.now = c.now.Add(1001 * time.Millisecond)
	if _, ok := c.tracker.Take("s1", c.now); ok || c.tracker.Writable(id, c.now) {
		t.Fatal("a paused process takes a slot or writes")
	}
	c.tracker.Tick(c.now)
	if !c.tracker.Paused(c.now) {
		t.Fatal("a tick clears the pause")
	}
	c.tracker.Rejoin(11, c.now)
	if c.tracker.Writable(id, c.now) {
		t.Fatal("the new incarnation writes on a slot of the replaced one")
	}
	if n := c.tracker.InUse("catalogue"); n != 1 {
		t.Fatalf("%d slots in use after the new join, want 1", n)
	}
}

// TestRequestPathDoesNotAllocate guards against heap allocations on the request path.
func TestRequestPathDoesNotAllocate(t *testing.T) {
	c := newReady([]string{"a", "b"}, server9)
	allocs := testing.AllocsPerRun(100, func() {
		c.tracker.Availability("catalogue", c.now)
		c.tracker.Usable("catalogue", c.now)
		if id, ok := c.tracker.Take("s1", c.now); ok {
			c.tracker.Release(id, c.now, 0)
		}
	})
	if allocs != 0 {
		t.Fatalf("%v allocations for one request", allocs)
	}
}

// TestAddedHostNeedsNewAcknowledgement guards against a host that becomes ready on acknowledgements from a time when its
// peers did not list it, and against a ready host that the configuration does not list.
func TestAddedHostNeedsNewAcknowledgement(t *testing.T) {
	c := &testHost{now: epoch, tracker: slots.New("a", 1, epoch, testOptions)}
	c.tracker.SetConfig([]string{"b"}, server9, c.now)
	c.wait(time.Minute)
	if c.tracker.Ready(c.now) {
		t.Fatal("a host that is not listed is ready")
	}
	c.tracker.SetRetired(true, c.now)
	c.tracker.SetConfig([]string{"a", "b"}, server9, c.now)
	c.tracker.HandleJoinReply("b", slots.JoinReply{Acknowledged: true, Incarnation: 1, Requested: 1}, c.now)
	c.wait(time.Minute)
	c.tracker.SetRetired(false, c.now)
	if c.tracker.Ready(c.now) {
		t.Fatal("an acknowledgement from before the activation is accepted")
	}
	c.tracker.HandleJoinReply("b", slots.JoinReply{Acknowledged: true, Incarnation: 1, Requested: 1}, c.now)
	if !c.tracker.Ready(c.now) {
		t.Fatal("an acknowledgement after the activation is not accepted")
	}
	c.tracker.SetConfig([]string{"b"}, server9, c.now)
	if n := c.tracker.Usable("catalogue", c.now); n != 0 {
		t.Fatalf("a host that was removed may use %d slots", n)
	}
}

// TestPeerIsAssumedAliveAtStart guards against a restarted host that uses the slots of a peer whose join its earlier
// incarnation acknowledged. The new process has no record of the acknowledgement, and the host list may not show the peer
// yet.
func TestPeerIsAssumedAliveAtStart(t *testing.T) {
	opts := testOptions
	opts.MaxRequest = 2 * time.Second
	c := &testHost{now: epoch, tracker: slots.New("a", 1, epoch, opts)}
	c.tracker.SetConfig([]string{"a", "b"}, server9, c.now)
	for c.now.Sub(epoch) < opts.HostListMaxLag+opts.MaxRequest {
		c.list()
		c.wait(time.Second)
		if gone := c.tracker.Gone(c.now); len(gone) > 0 {
			t.Fatalf("%v gone %v after the start", gone, c.now.Sub(epoch))
		}
	}
	c.list()
	c.wait(2 * time.Second)
	if len(c.tracker.Gone(c.now)) != 1 {
		t.Fatal("b is not confirmed gone")
	}
}

// TestDepartureWaitsForRequests guards against a departure notice while requests of the process or of its crashed predecessor
// may still run, and against a slot that is taken after the departure notice.
func TestDepartureWaitsForRequests(t *testing.T) {
	c := &testHost{now: epoch, tracker: slots.New("a", 1, epoch, testOptions)}
	c.tracker.SetConfig([]string{"a"}, server9, c.now)
	if c.tracker.TryDepart(c.now) {
		t.Fatal("departed right after the start")
	}
	c.wait(testOptions.MaxRequest)
	id, ok := c.tracker.Take("s1", c.now)
	if !ok || c.tracker.TryDepart(c.now) {
		t.Fatal("departed with a slot in use")
	}
	c.tracker.Release(id, c.now, 0)
	if !c.tracker.TryDepart(c.now) {
		t.Fatal("not departed")
	}
	if _, ok := c.tracker.Take("s1", c.now); ok || c.tracker.Usable("catalogue", c.now) != 0 {
		t.Fatal("slots are usable after the departure")
	}
}

// TestUnknownHostIsNotAcknowledged guards against an acknowledgement by a host that does not know the joining host and so
// would continue to use the slots of the joining host.
func TestUnknownHostIsNotAcknowledged(t *testing.T) {
	c := newReady([]string{"a", "b"}, server9)
	if c.tracker.HandleJoin(slots.JoinRequest{From: "c", Incarnation: 1}, c.now).Acknowledged {
		t.Fatal("a host that is not configured here is acknowledged")
	}
	if !c.tracker.HandleJoin(slots.JoinRequest{From: "b", Incarnation: 2}, c.now).Acknowledged {
		t.Fatal("a configured host is not acknowledged")
	}
}

// TestStaleListIsNoEvidence guards against a list that confirms a peer gone although the list is empty, too old or without
// this host.
func TestStaleListIsNoEvidence(t *testing.T) {
	for name, ids := range map[string][]string{"empty": nil, "without this host": {"c"}, "old": {"a"}} {
		c := newReady([]string{"a", "b"}, server9)
		for range 60 {
			c.wait(time.Second)
			list := hostlist.List{Hosts: map[string]hostlist.State{}, FetchedAt: c.now}
			for _, id := range ids {
				list.Hosts[id] = hostlist.Live
			}
			if name == "old" {
				list.FetchedAt = c.now.Add(-testOptions.EvidenceMaxAge)
			}
			c.tracker.ObserveList(list, c.now)
		}
		if len(c.tracker.Gone(c.now)) > 0 {
			t.Errorf("a list that is %s confirms a peer gone", name)
		}
	}
}
