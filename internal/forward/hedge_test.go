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

// stallingAttempter stalls the first attempt, which runs on a reused connection, until it is cancelled. The other attempts
// succeed.
type stallingAttempter struct {
	cancelledAt    time.Time
	startTimes     []time.Time
	newConnections []bool
}

func (a *stallingAttempter) Do(ctx context.Context, _ *policy.Service, _ *policy.BackendServer, req *backend.Request) backend.Result {
	a.startTimes = append(a.startTimes, time.Now())
	a.newConnections = append(a.newConnections, req.NewConnection)
	if len(a.startTimes) > 1 {
		return backend.Result{Outcome: backend.Completed, Status: 200}
	}
	req.OnConnected(true)
	<-ctx.Done()
	a.cancelledAt = time.Now()
	return backend.Result{Outcome: backend.Unknown, Failure: result.Fail(result.AttemptTimeout, "cancelled")}
}

// Guards against a second request on a slot on which the backend server may still be running the cancelled one.
func TestReplacementAttemptWaitsForSlotHoldTime(t *testing.T) {
	snapshot := testSnapshot(t, 30, testServers("b1")...)
	synctest.Test(t, func(t *testing.T) {
		a := &stallingAttempter{}
		p := NewPipeline(Options{
			Host: "a", Incarnation: func() membership.Incarnation { return 1 }, Admitter: &countingAdmitter{ids: []string{"b1"}, slots: 1, inUse: map[string]int{}},
			Router: noPeerRouter{}, Forwarder: noPeerRouter{}, Attempter: a, Policy: func() *policy.Snapshot { return snapshot },
		})
		r := p.Handle(context.Background(), &Request{
			ID: "r", Service: "s", Rank: rank.Interactive, Repeatable: true, Timeout: time.Second,
		})
		if r.Code != result.OK || len(a.startTimes) != 2 || !a.newConnections[1] {
			t.Fatalf("got %v %s, attempts %v, new connections %v", r.Code, r.Message, a.startTimes, a.newConnections)
		}
		if wait := a.startTimes[1].Sub(a.cancelledAt); wait < SlotHoldTime {
			t.Errorf("the second attempt started %v after the first was cancelled, want at least %v", wait, SlotHoldTime)
		}
	})
}

// fixedResultServer returns the same result for each attempt and records how long the slot is held.
type fixedResultServer struct {
	res   backend.Result
	holds []time.Duration
}

func (o *fixedResultServer) Do(context.Context, *policy.Service, *policy.BackendServer, *backend.Request) backend.Result {
	return o.res
}

func (o *fixedResultServer) Acquire(context.Context, string, rank.Rank, string, time.Time, time.Duration, []string) (Permit, *result.Failure) {
	return o, nil
}

func (o *fixedResultServer) BackendServer() string      { return "b1" }
func (o *fixedResultServer) Release(hold time.Duration) { o.holds = append(o.holds, hold) }

// Guards against a slot that is used again while the backend server may still be running a request on it, and against idle
// slots after attempts that are known to have completed.
func TestSlotIsHeldOnlyAfterUnknownOutcome(t *testing.T) {
	snapshot := testSnapshot(t, 0, testServers("b1")...)
	cases := []struct {
		res  backend.Result
		want time.Duration
	}{
		{backend.Result{Outcome: backend.Completed, Status: 200}, 0},
		{backend.Result{Outcome: backend.NotRun, Failure: result.Fail(result.BadRequest, "path")}, 0},
		{backend.Result{Outcome: backend.Unknown, Failure: result.Fail(result.ResponseTooLarge, "large")}, SlotHoldTime},
	}
	for _, c := range cases {
		o := &fixedResultServer{res: c.res}
		p := NewPipeline(Options{
			Host: "a", Incarnation: func() membership.Incarnation { return 1 }, Admitter: o, Router: noPeerRouter{}, Forwarder: noPeerRouter{}, Attempter: o,
			Policy: func() *policy.Snapshot { return snapshot },
		})
		p.Handle(context.Background(), &Request{ID: "r", Service: "s", Timeout: time.Second})
		if len(o.holds) != 1 || o.holds[0] != c.want {
			t.Errorf("%v: held %v, want %v", c.res.Outcome, o.holds, c.want)
		}
	}
}
