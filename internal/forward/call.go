package forward

import (
	"context"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/backend"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// call is the state of one request in Handle.
type call struct {
	pipeline    *Pipeline
	req         *Request
	service     *policy.Service
	snapshot    *policy.Snapshot
	retryBudget *RetryBudget
	deadline    time.Time
	// attemptCtx is the context of attempts and of calls to peers. It may outlive the context of the caller.
	attemptCtx context.Context

	// forwardsLeft is the number of times that this host and later hosts may still forward the request.
	forwardsLeft int
	// triedHosts lists the hosts that the router must not choose again. rejectedRegions holds the other regions that
	// rejected the request.
	triedHosts      []string
	rejectedRegions map[string]bool
	// excludedServers lists the backend servers on which an attempt failed.
	excludedServers []string
	// retried and hedged are true once the request was retried or hedged.
	retried bool
	hedged  bool
	// unknownOutcome is the first failure after which the request may have run. It takes precedence over later rejections.
	unknownOutcome *result.Failure
}

// runDetached continues attempts after the caller has left, so that a repeat with the same key gets their outcome. The
// wait for a slot still stops when the caller leaves.
func (c *call) runDetached(ctx context.Context) *Response {
	attemptCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.deadline)
	defer cancel()
	c.attemptCtx = attemptCtx
	return c.execute(ctx)
}

func (c *call) run(ctx context.Context) *Response {
	c.attemptCtx = ctx
	return c.execute(ctx)
}

// execute forwards the request to the target of its planned shift, if there is one, and otherwise uses own slots and peers.
func (c *call) execute(ctx context.Context) *Response {
	if response := c.forwardToShiftTarget(); response != nil {
		return response
	}
	for {
		permit, response := c.acquireOrForward(ctx)
		if response != nil {
			return response
		}
		if response := c.handleAttemptResult(c.runAttempt(permit)); response != nil {
			return response
		}
	}
}

// remaining returns the time until the deadline.
func (c *call) remaining() time.Duration {
	return c.deadline.Sub(c.pipeline.options.Now())
}

// acquireOrForward acquires a slot of this host, or returns the final response. A request that may be forwarded waits
// for SlotWaitBeforeSpill before peers are tried, and peers are tried repeatedly while it waits longer. A request that
// another host forwarded waits only for SlotWaitBeforeSpill: the load reports on which it was sent here are up to some
// seconds old, and the other host may find a free slot elsewhere.
func (c *call) acquireOrForward(ctx context.Context) (Permit, *Response) {
	if c.forwardsLeft > 0 || c.req.Forwards > 0 {
		permit, failure := c.acquireSlot(ctx, min(SlotWaitBeforeSpill, c.remaining()))
		if permit != nil {
			return permit, nil
		}
		if !isRetryableElsewhere(failure.Code) {
			return nil, c.fail(failure)
		}
		if response := c.forwardToPeers(SlotWaitBeforeSpill); response != nil {
			return nil, response
		}
		if c.req.Forwards > 0 {
			return c.slotOrRejection(acquireResult{failure: failure})
		}
	}
	return c.waitForSlotOrForward(ctx)
}

// acquireSlot waits for a slot of this host on a backend server that is not excluded.
func (c *call) acquireSlot(ctx context.Context, wait time.Duration) (Permit, *result.Failure) {
	if c.remaining() <= 0 {
		return nil, result.Fail(result.QueueTimeout, "the deadline passed before a slot was free")
	}
	ctx, span := c.span(ctx, "admission")
	defer span.End()
	permit, failure := c.pipeline.options.Admitter.Acquire(ctx, c.req.Service, c.req.Rank, c.req.Caller, c.deadline, wait, c.excludedServers)
	endWithFailure(span, failure)
	if failure != nil {
		return nil, failure
	}
	if c.remaining() <= 0 {
		permit.Release(0)
		return nil, result.Fail(result.QueueTimeout, "the deadline passed while the request waited for a slot")
	}
	return permit, nil
}

// handleAttemptResult returns the final response, or nil if the request is to be retried.
func (c *call) handleAttemptResult(finished attemptResult) *Response {
	res := finished.res
	if res.Outcome == backend.Completed {
		c.retryBudget.Success(c.service.RetryBudget)
		return c.backendResponse(finished)
	}
	c.excludedServers = append(c.excludedServers, finished.server)
	return c.retryOrFail(reconcileCode(res.Outcome == backend.NotRun, res.Failure))
}

func (c *call) backendResponse(finished attemptResult) *Response {
	return &Response{
		Status: finished.res.Status, Header: finished.res.Header, Body: finished.res.Body,
		Host: c.pipeline.options.Host, Incarnation: c.pipeline.options.Incarnation(), BackendServer: finished.server,
	}
}

// retryOrFail decides whether a request that was sent and failed is retried. It returns the final response, or nil for a
// retry. A request that is not repeatable and may have run is never retried.
func (c *call) retryOrFail(failure *result.Failure) *Response {
	if !failure.Code.NotRun() && c.unknownOutcome == nil {
		c.unknownOutcome = failure
	}
	if c.unknownOutcome != nil && !c.req.Repeatable {
		return FailureResponse(c.unknownOutcome)
	}
	if failure.Code == result.BackendShed {
		c.retryBudget.Rejection(c.service.RetryBudget)
	}
	if c.retried || !isRetryable(failure.Code) || c.remaining() <= 0 {
		return c.fail(failure)
	}
	if !c.retryBudget.Spend(c.pipeline.options.Now()) {
		return c.fail(result.Fail(result.RetryBudgetSpent, "the retry budget is spent; last failure: %s", failure.Message))
	}
	c.retried = true
	return nil
}

// fail returns the final failure: the first one after which the request may have run, if there is one.
func (c *call) fail(failure *result.Failure) *Response {
	if c.unknownOutcome != nil {
		return FailureResponse(c.unknownOutcome)
	}
	return FailureResponse(failure)
}

// reconcileCode makes the code of a failure agree with the outcome of the attempt. A disagreement is a bug of this
// process. It must not make the caller see "not run" for an attempt that may have run.
func reconcileCode(notRun bool, failure *result.Failure) *result.Failure {
	switch {
	case failure == nil:
		return result.Fail(result.ConnectionLost, "the attempt returned neither a response nor a failure")
	case notRun == failure.Code.NotRun():
		return failure
	case notRun:
		return result.Fail(result.ConnectFailed, "not run: %v", failure)
	default:
		return result.Fail(result.ConnectionLost, "outcome unknown: %v", failure)
	}
}

// isRetryable reports whether another backend server may complete a request that failed with the code.
func isRetryable(code result.Code) bool {
	switch code {
	case result.ConnectFailed, result.BackendShed, result.NoCapacity, result.ConnectionLost, result.AttemptTimeout,
		result.IncompleteResponse, result.PeerLost, result.RetryBudgetSpent:
		return true
	default:
		return false
	}
}

// isRetryableElsewhere reports whether another host may have capacity for a request that was rejected with the code.
// CallerLimit is not among the codes, since going to another host does not lift the limit of the caller.
func isRetryableElsewhere(code result.Code) bool {
	switch code {
	case result.NoCapacity, result.QueueTimeout, result.NoBackendServer, result.NoGrant, result.HostLeaving, result.NotReady,
		result.UnknownService:
		return true
	default:
		return false
	}
}
