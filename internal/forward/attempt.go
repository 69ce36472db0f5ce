package forward

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/backend"
	"github.com/foxtailtack/foxtailtack/internal/rank"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// attemptResult is the result of an attempt and the backend server on which it was made.
type attemptResult struct {
	server string
	res    backend.Result
}

// runningAttempt is an attempt that runs in a goroutine.
type runningAttempt struct {
	permit Permit
	cancel context.CancelFunc
	// done receives the result exactly once.
	done chan backend.Result
	// reused is true if the attempt runs on a connection that has served an earlier request.
	reused atomic.Bool
}

// releaseSlot frees the slot of a completed attempt.
func (t *runningAttempt) releaseSlot(res backend.Result) attemptResult {
	t.cancel()
	t.permit.Release(slotHoldAfter(res))
	return attemptResult{server: t.permit.BackendServer(), res: res}
}

// cancelAndReleaseLater cancels the attempt and frees its slot once the attempt has stopped.
func (t *runningAttempt) cancelAndReleaseLater() {
	t.cancel()
	go func() { t.releaseSlot(<-t.done) }()
}

// slotHoldAfter returns how long the slot stays in use after the attempt. It is not zero if the backend server may still
// be running the request.
func slotHoldAfter(res backend.Result) time.Duration {
	if res.Outcome == backend.Unknown {
		return SlotHoldTime
	}
	return 0
}

// runAttempt makes one attempt, or two if the request is hedged, and frees the slots. A hedge is not a retry of the
// pipeline: both attempts run at the same time, and the first complete response is used.
func (c *call) runAttempt(permit Permit) attemptResult {
	first := c.startAttempt(permit, false)
	if !c.mayHedge() {
		return first.releaseSlot(<-first.done)
	}
	timer := time.NewTimer(time.Duration(c.service.HedgeAfterMs) * time.Millisecond)
	defer timer.Stop()
	select {
	case res := <-first.done:
		return first.releaseSlot(res)
	case <-timer.C:
		return c.hedge(first)
	}
}

func (c *call) mayHedge() bool {
	return !c.hedged && c.req.Repeatable && c.req.Rank == rank.Interactive && c.service.HedgeAfterMs > 0
}

// startAttempt runs an attempt in a goroutine.
func (c *call) startAttempt(permit Permit, newConnection bool) *runningAttempt {
	ctx, cancel := context.WithCancel(c.attemptCtx)
	t := &runningAttempt{permit: permit, cancel: cancel, done: make(chan backend.Result, 1)}
	go func() { t.done <- c.callBackendServer(ctx, t, newConnection) }()
	return t
}

func (c *call) callBackendServer(ctx context.Context, t *runningAttempt, newConnection bool) backend.Result {
	server := c.snapshot.BackendServer(t.permit.BackendServer())
	if server == nil {
		return backend.Result{Outcome: backend.NotRun, Failure: result.Fail(result.ConnectFailed, "backend server %s is not configured", t.permit.BackendServer())}
	}
	ctx, span := c.span(ctx, "attempt", serverAttribute(server.ID))
	defer span.End()
	reservation := c.pipeline.options.Bodies.NewReservation()
	defer reservation.Release()
	res := c.pipeline.options.Attempter.Do(ctx, c.service, server, &backend.Request{
		ID:            c.req.ID,
		Method:        c.req.Method,
		Path:          c.req.Path,
		Header:        c.req.Header,
		Body:          c.req.Body,
		Repeatable:    c.req.Repeatable,
		NewConnection: newConnection,
		Bodies:        reservation,
		TraceParent:   traceParent(ctx),
		BeforeWrite:   c.beforeWrite(t.permit),
		OnConnected:   func(reused bool) { t.reused.Store(reused) },
	})
	endWithOutcome(span, res)
	return res
}

// beforeWrite returns the check of the permit that runs directly before the first byte of an attempt, or nil.
func (c *call) beforeWrite(permit Permit) func() error {
	check := c.pipeline.options.BeforeWrite
	if check == nil {
		return nil
	}
	return func() error { return check(permit) }
}
