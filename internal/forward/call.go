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
	p        *Pipeline
	req      *Request
	service  *policy.Service
	snapshot *policy.Snapshot
	budget   *RetryBudget
	deadline time.Time
	// work is the context of attempts and passes. It may outlive the caller's.
	work context.Context

	// forwardsLeft is the number of times that the request may still be passed on, by this host and those after it.
	forwardsLeft int
	// tried lists hosts that the router must not choose again; refused holds other regions that refused.
	tried   []string
	refused map[string]bool
	// excluded lists backend servers on which an attempt failed.
	excluded []string
	// resent and hedged are true once the request was sent once more, or hedged.
	resent bool
	hedged bool
	// unknown is the first failure after which the request may have run. It hides later refusals.
	unknown *result.Failure
}

// runDetached keeps attempts going after the caller left, so that a repeat with the same key gets their outcome. The
// wait for a slot still ends when the caller leaves.
func (c *call) runDetached(ctx context.Context) *Response {
	work, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.deadline)
	defer cancel()
	c.work = work
	return c.steps(ctx)
}

func (c *call) run(ctx context.Context) *Response {
	c.work = ctx
	return c.steps(ctx)
}

// steps tries the planned shift, then own slots and peers.
func (c *call) steps(ctx context.Context) *Response {
	if response := c.shift(); response != nil {
		return response
	}
	for {
		permit, response := c.admit(ctx)
		if response != nil {
			return response
		}
		if response := c.afterAttempt(c.attempt(permit)); response != nil {
			return response
		}
	}
}

// remaining returns the time that is left.
func (c *call) remaining() time.Duration {
	return c.deadline.Sub(c.p.options.Now())
}

// admit gets a slot of this host, or the final response. While the request may be passed on it waits only shortly before
// it asks a peer, and asks again while it waits after that. A request that another host passed on waits shortly only: the
// reports that led it here are up to some seconds old, and the other host may find a free slot elsewhere.
func (c *call) admit(ctx context.Context) (Permit, *Response) {
	if c.forwardsLeft > 0 || c.req.Forwards > 0 {
		permit, failure := c.acquire(ctx, min(ShortWait, c.remaining()))
		if permit != nil {
			return permit, nil
		}
		if !isCapacity(failure.Code) {
			return nil, c.fail(failure)
		}
		if response := c.passOn(ShortWait); response != nil {
			return nil, response
		}
		if c.req.Forwards > 0 {
			return c.ownSlot(admitted{failure: failure})
		}
	}
	return c.waitOrPass(ctx)
}

// acquire asks for a slot on a backend server that is still configured.
func (c *call) acquire(ctx context.Context, wait time.Duration) (Permit, *result.Failure) {
	if c.remaining() <= 0 {
		return nil, result.Fail(result.QueueTimeout, "the deadline passed before a slot was free")
	}
	ctx, span := c.span(ctx, "admission")
	defer span.End()
	permit, failure := c.p.options.Admitter.Acquire(ctx, c.req.Service, c.req.Rank, c.req.Caller, c.deadline, wait, c.excluded)
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

// afterAttempt returns the final response, or nil if the request is sent once more.
func (c *call) afterAttempt(end ended) *Response {
	res := end.res
	if res.Outcome == backend.Completed {
		c.budget.Success(c.service.RetryBudget)
		return c.answered(end)
	}
	c.excluded = append(c.excluded, end.server)
	return c.afterFailure(checked(res.Outcome == backend.NotRun, res.Failure))
}

func (c *call) answered(end ended) *Response {
	return &Response{
		Status: end.res.Status, Header: end.res.Header, Body: end.res.Body,
		Host: c.p.options.Host, Incarnation: c.p.options.Incarnation(), BackendServer: end.server,
	}
}

// afterFailure decides whether a request that was sent and failed is sent once more. Work that may have run and may not
// be repeated never is.
func (c *call) afterFailure(failure *result.Failure) *Response {
	if !failure.Code.NotRun() && c.unknown == nil {
		c.unknown = failure
	}
	if c.unknown != nil && !c.req.Repeatable {
		return FailureResponse(c.unknown)
	}
	if failure.Code == result.BackendShed {
		c.budget.Refusal(c.service.RetryBudget)
	}
	if c.resent || !worthResend(failure.Code) || c.remaining() <= 0 {
		return c.fail(failure)
	}
	if !c.budget.Spend(c.p.options.Now()) {
		return c.fail(result.Fail(result.RetryBudgetSpent, "no retry is left after: %s", failure.Message))
	}
	c.resent = true
	return nil
}

// fail returns the final failure: that of an attempt that may have run, if there is one.
func (c *call) fail(failure *result.Failure) *Response {
	if c.unknown != nil {
		return FailureResponse(c.unknown)
	}
	return FailureResponse(failure)
}

// checked makes the code of a failure agree with what is known of the attempt. Disagreement is a fault of this process,
// and the caller must then not be told "not run".
func checked(notRun bool, failure *result.Failure) *result.Failure {
	switch {
	case failure == nil:
		return result.Fail(result.ConnectionLost, "the attempt ended without an answer and without a reason")
	case notRun == failure.Code.NotRun():
		return failure
	case notRun:
		return result.Fail(result.ConnectFailed, "not run: %v", failure)
	default:
		return result.Fail(result.ConnectionLost, "outcome unknown: %v", failure)
	}
}

// worthResend reports whether another backend server may end a request that failed with the code.
func worthResend(code result.Code) bool {
	switch code {
	case result.ConnectFailed, result.BackendShed, result.NoCapacity, result.ConnectionLost, result.AttemptTimeout,
		result.IncompleteResponse, result.PeerLost, result.RetryBudgetSpent:
		return true
	default:
		return false
	}
}

// isCapacity reports whether another host may have capacity for a request that was refused with the code. A caller's own
// limit is not lifted by going to another host.
func isCapacity(code result.Code) bool {
	switch code {
	case result.NoCapacity, result.QueueTimeout, result.NoBackendServer, result.NoGrant, result.HostLeaving, result.NotReady,
		result.UnknownService:
		return true
	default:
		return false
	}
}
