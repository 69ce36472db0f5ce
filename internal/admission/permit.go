package admission

import (
	"sync/atomic"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/rank"
	"github.com/foxtailtack/foxtailtack/internal/slots"
)

// Permit is the right to run one request on one slot.
type Permit struct {
	// BackendServer is the id of the backend server that the slot belongs to.
	BackendServer string

	controller *Controller
	slot       slots.ID
	rank       rank.Rank
	released   atomic.Bool
}

// Release releases the slot and admits waiting requests. hold is the time for which the request ran, or 0 if it did not
// run. Calls after the first have no effect.
func (p *Permit) Release(hold time.Duration) {
	if p.released.Swap(true) {
		return
	}
	c := p.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	c.source.Release(p.slot, hold)
	c.queue.Release(p.rank, hold, now)
	c.refreshCapacity(now)
	c.dispatch(now)
}

// Slot returns the slot of the permit.
func (p *Permit) Slot() slots.ID { return p.slot }
