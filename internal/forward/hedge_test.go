package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/backend"
	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/rank"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// stallingAttempter never answers its first attempt, which runs on a reused connection, and answers the others.
type stallingAttempter struct {
	stopped time.Time
	starts  []time.Time
	fresh   []bool
}

func (a *stallingAttempter) Do(ctx context.Context, _ *policy.Service, _ *policy.BackendServer, req *backend.Request) backend.Result {
	a.starts = append(a.starts, time.Now())
	a.fresh = append(a.fresh, req.NewConnection)
	if len(a.starts) > 1 {
		return backend.Result{Outcome: backend.Completed, Status: 200}
	}
	req.OnConnected(true)
	<-ctx.Done()
	a.stopped = time.Now()
	return backend.Result{Outcome: backend.Unknown, Failure: result.Fail(result.AttemptTimeout, "cancelled")}
}

// TestReplaceWaitsForTheSlot guards against a second request on a slot on which the backend server may still run the
// cancelled one.
func TestReplaceWaitsForTheSlot(t *testing.T) {
	snapshot := testSnapshot(t, 30, testServers("b1")...)
	synctest.Test(t, func(t *testing.T) {
		a := &stallingAttempter{}
		p := NewPipeline(Options{
			Host: "a", Incarnation: func() membership.Incarnation { return 1 }, Admitter: &countingAdmitter{ids: []string{"b1"}, slots: 1, inUse: map[string]int{}},
			Router: noPeers{}, Passer: noPeers{}, Attempter: a, Policy: func() *policy.Snapshot { return snapshot },
		})
		r := p.Handle(context.Background(), &Request{
			ID: "r", Service: "s", Rank: rank.Interactive, Repeatable: true, Timeout: time.Second,
		})
		if r.Code != result.OK || len(a.starts) != 2 || !a.fresh[1] {
			t.Fatalf("got %v %s, attempts %v, fresh %v", r.Code, r.Message, a.starts, a.fresh)
		}
		if wait := a.starts[1].Sub(a.stopped); wait < HoldTime {
			t.Errorf("the second attempt started %v after the first was cancelled, want at least %v", wait, HoldTime)
		}
	})
}

// oneResult ends each attempt with the same result and records how long the slot is held.
type oneResult struct {
	res   backend.Result
	holds []time.Duration
}

func (o *oneResult) Do(context.Context, *policy.Service, *policy.BackendServer, *backend.Request) backend.Result {
	return o.res
}

func (o *oneResult) Acquire(context.Context, string, rank.Rank, string, time.Time, time.Duration, []string) (Permit, *result.Failure) {
	return o, nil
}

func (o *oneResult) BackendServer() string      { return "b1" }
func (o *oneResult) Release(hold time.Duration) { o.holds = append(o.holds, hold) }

// TestHoldAfterAttempt guards against a slot that is used again while the backend server may still run a request on it,
// and against idle slots after attempts that are known to have ended.
func TestHoldAfterAttempt(t *testing.T) {
	snapshot := testSnapshot(t, 0, testServers("b1")...)
	cases := []struct {
		res  backend.Result
		want time.Duration
	}{
		{backend.Result{Outcome: backend.Completed, Status: 200}, 0},
		{backend.Result{Outcome: backend.NotRun, Failure: result.Fail(result.BadRequest, "path")}, 0},
		{backend.Result{Outcome: backend.Unknown, Failure: result.Fail(result.ResponseTooLarge, "large")}, HoldTime},
	}
	for _, c := range cases {
		o := &oneResult{res: c.res}
		p := NewPipeline(Options{
			Host: "a", Incarnation: func() membership.Incarnation { return 1 }, Admitter: o, Router: noPeers{}, Passer: noPeers{}, Attempter: o,
			Policy: func() *policy.Snapshot { return snapshot },
		})
		p.Handle(context.Background(), &Request{ID: "r", Service: "s", Timeout: time.Second})
		if len(o.holds) != 1 || o.holds[0] != c.want {
			t.Errorf("%v: held %v, want %v", c.res.Outcome, o.holds, c.want)
		}
	}
}
