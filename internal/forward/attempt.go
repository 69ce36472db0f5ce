package forward

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/backend"
	"github.com/foxtailtack/foxtailtack/internal/rank"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// ended is the end of an attempt with the backend server that it was made on.
type ended struct {
	server string
	res    backend.Result
}

// try is one running attempt.
type try struct {
	permit Permit
	cancel context.CancelFunc
	// done gets the result exactly once.
	done chan backend.Result
	// reused is true once the attempt runs on a connection that served a request before.
	reused atomic.Bool
}

// finish gives the slot back after the attempt's end.
func (t *try) finish(res backend.Result) ended {
	t.cancel()
	t.permit.Release(holdAfter(res))
	return ended{server: t.permit.BackendServer(), res: res}
}

// finishLater cancels the attempt and gives the slot back once it has ended.
func (t *try) finishLater() {
	t.cancel()
	go func() { t.finish(<-t.done) }()
}

// holdAfter returns how long the slot stays counted. An attempt that may still run on the backend server holds it.
func holdAfter(res backend.Result) time.Duration {
	if res.Outcome == backend.Unknown {
		return HoldTime
	}
	return 0
}

// attempt makes one attempt, or two if it is hedged, and gives the slots back. The second result of a hedge is not a
// retry of the pipeline: both run at once and the first whole answer wins.
func (c *call) attempt(permit Permit) ended {
	first := c.start(permit, false)
	if !c.mayHedge() {
		return first.finish(<-first.done)
	}
	timer := time.NewTimer(time.Duration(c.service.HedgeAfterMs) * time.Millisecond)
	defer timer.Stop()
	select {
	case res := <-first.done:
		return first.finish(res)
	case <-timer.C:
		return c.hedge(first)
	}
}

func (c *call) mayHedge() bool {
	return !c.hedged && c.req.Repeatable && c.req.Rank == rank.Interactive && c.service.HedgeAfterMs > 0
}

// start runs an attempt in a goroutine.
func (c *call) start(permit Permit, fresh bool) *try {
	ctx, cancel := context.WithCancel(c.work)
	t := &try{permit: permit, cancel: cancel, done: make(chan backend.Result, 1)}
	go func() { t.done <- c.do(ctx, t, fresh) }()
	return t
}

func (c *call) do(ctx context.Context, t *try, fresh bool) backend.Result {
	server := c.snapshot.BackendServer(t.permit.BackendServer())
	if server == nil {
		return backend.Result{Outcome: backend.NotRun, Failure: result.Fail(result.ConnectFailed, "backend server %s is not configured", t.permit.BackendServer())}
	}
	ctx, span := c.span(ctx, "attempt", serverAttribute(server.ID))
	defer span.End()
	res := c.p.options.Attempter.Do(ctx, c.service, server, &backend.Request{
		ID:            c.req.ID,
		Method:        c.req.Method,
		Path:          c.req.Path,
		Header:        c.req.Header,
		Body:          c.req.Body,
		Repeatable:    c.req.Repeatable,
		NewConnection: fresh,
		TraceParent:   traceParent(ctx),
		BeforeWrite:   c.beforeWrite(t.permit),
		OnConnected:   func(reused bool) { t.reused.Store(reused) },
	})
	endWithOutcome(span, res)
	return res
}

// beforeWrite checks the permit directly before the first byte of an attempt.
func (c *call) beforeWrite(permit Permit) func() error {
	check := c.p.options.BeforeWrite
	if check == nil {
		return nil
	}
	return func() error { return check(permit) }
}
