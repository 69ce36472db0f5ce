package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/membership"
)

// A drain notice that hosts relayed to each other in heartbeat replies outlasted the processes that had published it, and kept
// a restored backend server out of use.
func TestHeartbeatReplyOmitsNoticesOfOthers(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	c := newCluster("a", "north-1", defaultSlotOptions(), rand.New(rand.NewPCG(1, 1)), now)
	c.table.SetPeers([]string{"b"})
	c.observeHeartbeat(membership.Heartbeat{
		From:    membership.Member{ID: "b", Incarnation: 1, Counter: 1},
		Notices: []membership.Notice{{BackendServer: "s1", Leaving: true, Sequence: 1}},
	}, now)
	if reply := c.heartbeatReply(now); len(reply.Notices) > 0 {
		t.Fatalf("the reply repeats %+v", reply.Notices)
	}
}

// The incarnations of one host before and after a pause must differ, also within one step of the clock.
func TestTickRaisesIncarnationAfterPause(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	c := newCluster("a", "north-1", defaultSlotOptions(), rand.New(rand.NewPCG(1, 1)), now)
	before := c.identity().Incarnation
	if c.tick(now.Add(100*time.Millisecond), time.Second) {
		t.Fatal("a short gap between ticks counted as a pause")
	}
	if !c.tick(now.Add(5*time.Second), time.Second) {
		t.Fatal("a gap of 5 s did not count as a pause")
	}
	if after := c.identity().Incarnation; after <= before {
		t.Fatalf("incarnation went from %d to %d", before, after)
	}
}

// A host that had just joined still served look-ups as joining, so its own callers were directed to other regions until its
// next heartbeat.
func TestUpdateSelfPublishesStateImmediately(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	c := newCluster("a", "north-1", defaultSlotOptions(), rand.New(rand.NewPCG(1, 1)), now)
	c.tracker.SetConfig([]string{"a"}, nil, now)
	joined := now.Add(defaultSlotOptions().MaxRequest)
	c.tracker.Tick(joined)
	if !c.updateSelf(1, nil, joined) {
		t.Fatal("the change from joining to serving was not reported")
	}
	if own, _ := c.members(joined); len(own) != 1 || own[0].State != membership.Serving {
		t.Fatalf("members are %+v, want this host serving", own)
	}
	if c.updateSelf(1, nil, joined) {
		t.Fatal("an unchanged state was reported as a change")
	}
}
