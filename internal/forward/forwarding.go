package forward

import (
	"slices"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/result"
)

// forwardToShiftTarget forwards the request to the target of its planned shift. It returns nil if there is no target or
// if the target rejected the request. The target may not forward the request further, since each host counts only its
// own part of the cap of the shift.
func (c *call) forwardToShiftTarget() *Response {
	if c.req.Forwards > 0 || c.forwardsLeft == 0 {
		return nil
	}
	target, ok := c.pipeline.options.Router.ShiftFor(c.req)
	if !ok || !c.mayForwardTo(target) {
		return nil
	}
	return c.forwardToHost(target, MaxForwards, 1)
}

// forwardToPeers forwards the request to one peer after another, as long as it may be forwarded, until one accepts it. It
// uses only peers with a round trip of at most within. It returns nil if no peer accepted the request.
func (c *call) forwardToPeers(within time.Duration) *Response {
	for c.forwardsLeft > 0 && c.remaining() > 0 {
		target, ok := c.nextTarget(within)
		if !ok {
			return nil
		}
		if response := c.forwardToTarget(target); response != nil {
			return response
		}
	}
	return nil
}

// nextTarget returns the next target of the router if the request may be forwarded there.
func (c *call) nextTarget(within time.Duration) (Target, bool) {
	target, ok := c.pipeline.options.Router.Next(c.req, slices.Clone(c.triedHosts), within)
	if !ok || !c.mayForwardTo(target) {
		return Target{}, false
	}
	return target, true
}

// mayForwardTo reports whether the request may be forwarded to the target, and returns the grant if it may not. After a
// rejection by another region no further host of that region is used.
func (c *call) mayForwardTo(target Target) bool {
	if !c.rejectedRegions[target.Region] && !slices.Contains(c.triedHosts, target.Host) {
		return true
	}
	releaseGrant(target)
	return false
}

// forwardToTarget forwards the request and sets how often the target may forward it further. A host of another region
// gets all remaining forwards, since it knows the hosts of its region better. A host of the own region gets none: this
// host chooses the next host itself.
func (c *call) forwardToTarget(target Target) *Response {
	if c.isOtherRegion(target) {
		return c.forwardToHost(target, MaxForwards-c.forwardsLeft+1, c.forwardsLeft)
	}
	return c.forwardToHost(target, MaxForwards, 1)
}

func (c *call) isOtherRegion(target Target) bool {
	return target.Region != "" && target.Region != c.pipeline.options.Region()
}

// forwardToHost forwards the request to a peer and deducts cost from the remaining forwards. forwardsAtTarget is the
// number of forwards that the peer counts as already made. It returns the final response, or nil if the request did not
// run at the peer and may go elsewhere.
func (c *call) forwardToHost(target Target, forwardsAtTarget, cost int) *Response {
	defer releaseGrant(target)
	c.forwardsLeft -= cost
	c.triedHosts = append(c.triedHosts, target.Host)
	response, failure := c.callPeer(target, forwardsAtTarget)
	if failure != nil && failure.Code == result.ConnectFailed {
		// A call that did not reach the peer counts neither as a forward nor as a retry. Lost hosts stay in the load reports
		// for some seconds, and counting the calls to them would spend the retry budget of a whole failure domain.
		c.forwardsLeft += cost
		return nil
	}
	if failure == nil {
		failure = response.Failure()
	}
	if failure == nil {
		c.retryBudget.Success(c.service.RetryBudget)
		return response
	}
	if !failure.Code.NotRun() && !isUnknownOutcome(failure.Code) {
		failure = result.Fail(result.PeerLost, "host %s: %v", target.Host, failure)
	}
	if !failure.Code.NotRun() {
		return c.retryOrFail(failure)
	}
	if c.isOtherRegion(target) {
		c.rejectedRegions[target.Region] = true
	}
	// CallerLimit means that the caller's queue at the peer is full, which says nothing about its queue at this host.
	if isRetryableElsewhere(failure.Code) || failure.Code == result.CallerLimit {
		return nil
	}
	return c.retryOrFail(failure)
}

func isUnknownOutcome(code result.Code) bool { return code >= 3000 && code < 4000 }

func (c *call) callPeer(target Target, forwardsAtTarget int) (*Response, *result.Failure) {
	ctx, span := c.span(c.attemptCtx, "forward", hostAttribute(target.Host))
	defer span.End()
	forwarded := *c.req
	forwarded.Forwards = forwardsAtTarget
	forwarded.Timeout = c.remaining()
	forwarded.TraceParent = traceParent(ctx)
	if target.ShiftID != "" {
		forwarded.ShiftID = target.ShiftID
	}
	response, failure := c.pipeline.options.Forwarder.ForwardTo(ctx, target.Host, &forwarded)
	if response == nil && failure == nil {
		failure = result.Fail(result.PeerLost, "host %s sent no response", target.Host)
	}
	endWithFailure(span, failure)
	return response, failure
}

func releaseGrant(target Target) {
	if target.Release != nil {
		target.Release()
	}
}
