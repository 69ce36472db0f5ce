package forward

import (
	"slices"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/backend"
)

// hedge runs when an attempt has no answer after HedgeAfterMs. With a free slot on another backend server it starts a
// second attempt there. Without one, an attempt on a pooled connection, which may have become silent, is replaced by one
// on a new connection. Otherwise it waits for the first one.
func (c *call) hedge(first *try) ended {
	if !c.budget.Spend(c.p.options.Now()) {
		return first.finish(<-first.done)
	}
	permit, _ := c.p.options.Admitter.Acquire(c.work, c.req.Service, c.req.Rank, c.req.Caller, c.deadline, 0, c.excludedWith(first))
	switch {
	case permit != nil:
		c.hedged = true
		return c.race(first, c.start(permit, true))
	case first.reused.Load() && c.remaining() > HoldTime:
		c.hedged = true
		return c.replace(first)
	default:
		c.budget.Refund()
		return first.finish(<-first.done)
	}
}

func (c *call) excludedWith(t *try) []string {
	return append(slices.Clone(c.excluded), t.permit.BackendServer())
}

// race returns the first whole answer and cancels the other attempt. If both fail it returns the failure that promises
// less.
func (c *call) race(first, second *try) ended {
	var end ended
	other := second
	select {
	case res := <-first.done:
		end = first.finish(res)
	case res := <-second.done:
		end = second.finish(res)
		other = first
	}
	if end.res.Outcome == backend.Completed {
		other.finishLater()
		return end
	}
	last := other.finish(<-other.done)
	if last.res.Outcome == backend.NotRun {
		c.excluded = append(c.excluded, last.server)
		return end
	}
	c.excluded = append(c.excluded, end.server)
	return last
}

// replace cancels a stalled attempt and makes one on a new connection with the same slot. It waits for HoldTime between
// them, so that the backend server does not run two requests on one slot.
func (c *call) replace(stalled *try) ended {
	stalled.cancel()
	res := <-stalled.done
	if res.Outcome == backend.Completed {
		return stalled.finish(res)
	}
	if res.Outcome == backend.Unknown {
		time.Sleep(HoldTime)
	}
	fresh := c.start(stalled.permit, true)
	end := fresh.finish(<-fresh.done)
	if end.res.Outcome == backend.NotRun && res.Outcome == backend.Unknown {
		// The first attempt may have run, so the pair may have.
		end.res = res
	}
	return end
}
