package forward

import (
	"context"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/result"
)

const (
	// minPeerPollInterval is the time after which a request that waits for an own slot looks for a peer again. By then the
	// other failure domain of the region has responded to a grant request.
	minPeerPollInterval = 20 * time.Millisecond
	// maxPeerPollInterval limits the interval, which doubles with each poll. Grants last 2 s and rejected grant requests are
	// repeated after 100 ms to 300 ms, so shorter intervals would find nothing new.
	maxPeerPollInterval = 160 * time.Millisecond
)

// firstGrantTimeout is the longest wait for the first grant of a host: two round trips between the most distant regions.
const firstGrantTimeout = 300 * time.Millisecond

// acquireResult is the result of the wait for an own slot: either a permit or a failure.
type acquireResult struct {
	permit  Permit
	failure *result.Failure
}

// waitForSlotOrForward waits for an own slot and polls for a peer in the meantime, because a grant may arrive or a slot of
// a peer may become free during the wait. The request keeps its place in the queue until a peer may accept it.
//
// A peer is tried once the request has waited for as long as the round trip to the peer. So the total delay is not much
// more than twice the shorter of the wait and the round trip, and a request does not go to another region if an own slot
// becomes free sooner. A request that is rejected here, because the estimated wait is too long, goes to any peer at once.
func (c *call) waitForSlotOrForward(ctx context.Context) (Permit, *Response) {
	startedAt := c.pipeline.options.Now()
	for c.forwardsLeft > 0 {
		acquired, target, found := c.waitForSlotOrPeer(ctx, startedAt)
		if !found {
			return c.slotOrForward(ctx, acquired)
		}
		if response := c.forwardToTarget(target); response != nil {
			return nil, response
		}
	}
	permit, failure := c.acquireSlot(ctx, c.remaining())
	return c.slotOrRejection(acquireResult{permit, failure})
}

// slotOrForward handles the result of the wait for an own slot. A rejection is final only if no peer accepts the request
// or if the time has run out.
func (c *call) slotOrForward(ctx context.Context, acquired acquireResult) (Permit, *Response) {
	if acquired.permit == nil && isRetryableElsewhere(acquired.failure.Code) && acquired.failure.Code != result.QueueTimeout {
		if response := c.pollPeers(ctx, grantWait(acquired.failure.Code)); response != nil {
			return nil, response
		}
	}
	return c.slotOrRejection(acquired)
}

// grantWait returns how long a rejected request waits for a peer that may accept it. A host without slots, because it is
// joining or has lost its backend servers, rejects at once and has no grants yet. The first grants arrive within a round trip.
func grantWait(code result.Code) time.Duration {
	if code == result.NoBackendServer {
		return firstGrantTimeout
	}
	return 0
}

// pollPeers tries to forward the request to peers at once, and repeatedly until wait has passed. It returns nil if no peer
// accepted the request.
func (c *call) pollPeers(ctx context.Context, wait time.Duration) *Response {
	pollUntil := c.pipeline.options.Now().Add(min(wait, c.remaining()))
	for interval := minPeerPollInterval; ; interval = min(2*interval, maxPeerPollInterval) {
		response := c.forwardToPeers(c.remaining())
		if response != nil || c.forwardsLeft == 0 || ctx.Err() != nil || c.pipeline.options.Now().Add(interval).After(pollUntil) {
			return response
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

func (c *call) slotOrRejection(acquired acquireResult) (Permit, *Response) {
	if acquired.permit != nil {
		return acquired.permit, nil
	}
	c.retryBudget.Rejection(c.service.RetryBudget)
	return nil, c.fail(acquired.failure)
}

// waitForSlotOrPeer returns either the result of the wait for an own slot, or a peer that may accept the request and true.
// The request is no longer in the queue when it returns.
func (c *call) waitForSlotOrPeer(ctx context.Context, startedAt time.Time) (acquireResult, Target, bool) {
	queueCtx, leaveQueue := context.WithCancel(ctx)
	defer leaveQueue()
	results := make(chan acquireResult, 1)
	go func() {
		permit, failure := c.acquireSlot(queueCtx, c.remaining())
		results <- acquireResult{permit, failure}
	}()
	interval := minPeerPollInterval
	for {
		select {
		case acquired := <-results:
			return acquired, Target{}, false
		case <-time.After(interval):
		}
		if target, found := c.nextTarget(c.pipeline.options.Now().Sub(startedAt)); found {
			leaveQueue()
			return c.preferOwnSlot(ctx, <-results, target)
		}
		interval = min(2*interval, maxPeerPollInterval)
	}
}

// preferOwnSlot chooses between the target and the result of the wait after the request has left the queue. It prefers an
// own slot that became free at the same time.
func (c *call) preferOwnSlot(ctx context.Context, acquired acquireResult, target Target) (acquireResult, Target, bool) {
	if acquired.permit != nil || ctx.Err() != nil || c.remaining() <= 0 {
		releaseGrant(target)
		return acquired, Target{}, false
	}
	return acquireResult{}, target, true
}
