package forward

import (
	"slices"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/backend"
)

// hedge runs when an attempt has no response after HedgeAfterMs. If another backend server has a free slot, it starts a
// second attempt there. Otherwise it replaces an attempt on a pooled connection, which may have become unresponsive, by
// one on a new connection. In all other cases it waits for the first attempt.
func (c *call) hedge(first *runningAttempt) attemptResult {
	if !c.retryBudget.Spend(c.pipeline.options.Now()) {
		return first.releaseSlot(<-first.done)
	}
	permit, _ := c.pipeline.options.Admitter.Acquire(c.attemptCtx, c.req.Service, c.req.Rank, c.req.Caller, c.deadline, 0, c.excludedServersWith(first))
	switch {
	case permit != nil:
		c.hedged = true
		return c.race(first, c.startAttempt(permit, true))
	case first.reused.Load() && c.remaining() > SlotHoldTime:
		c.hedged = true
		return c.replaceStalled(first)
	default:
		c.retryBudget.Refund()
		return first.releaseSlot(<-first.done)
	}
}

func (c *call) excludedServersWith(t *runningAttempt) []string {
	return append(slices.Clone(c.excludedServers), t.permit.BackendServer())
}

// race returns the first complete response and cancels the other attempt. If both attempts fail, it returns a failure
// with an unknown outcome rather than one with "not run".
func (c *call) race(first, second *runningAttempt) attemptResult {
	var firstDone attemptResult
	other := second
	select {
	case res := <-first.done:
		firstDone = first.releaseSlot(res)
	case res := <-second.done:
		firstDone = second.releaseSlot(res)
		other = first
	}
	if firstDone.res.Outcome == backend.Completed {
		other.cancelAndReleaseLater()
		return firstDone
	}
	last := other.releaseSlot(<-other.done)
	if last.res.Outcome == backend.NotRun {
		c.excludedServers = append(c.excludedServers, last.server)
		return firstDone
	}
	c.excludedServers = append(c.excludedServers, firstDone.server)
	return last
}

// replaceStalled cancels a stalled attempt and makes one on a new connection with the same slot. It waits for SlotHoldTime
// between them, so that the backend server does not run two requests on one slot.
func (c *call) replaceStalled(stalled *runningAttempt) attemptResult {
	stalled.cancel()
	res := <-stalled.done
	if res.Outcome == backend.Completed {
		return stalled.releaseSlot(res)
	}
	if res.Outcome == backend.Unknown {
		time.Sleep(SlotHoldTime)
	}
	second := c.startAttempt(stalled.permit, true)
	finished := second.releaseSlot(<-second.done)
	if finished.res.Outcome == backend.NotRun && res.Outcome == backend.Unknown {
		// The first attempt may have run, so the overall outcome is unknown too.
		finished.res = res
	}
	return finished
}
