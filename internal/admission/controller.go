package admission

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/rank"
	"github.com/foxtailtack/foxtailtack/internal/result"
	"github.com/foxtailtack/foxtailtack/internal/slots"
)

// SlotSource holds this host's slots of one service. The controller calls it while it holds its own lock, so the source
// must not call the controller.
type SlotSource interface {
	// Usable returns the number of slots that may be in use now. It counts only the slots of backend servers that
	// accept work, so that Take can return every slot that is free by this count.
	Usable(now time.Time) int
	// Take takes a slot of a backend server that is not excluded. It returns false if there is none.
	Take(now time.Time, exclude []string) (slots.ID, bool)
	// Release returns a slot to the source. hold is the time for which the request held the slot.
	Release(slot slots.ID, hold time.Duration)
}

// AcquireRequest is a request for a permit.
type AcquireRequest struct {
	Rank     rank.Rank
	Caller   string
	Deadline time.Time
	// MaxWait limits the time in the queue. 0 means that only the deadline limits it.
	MaxWait time.Duration
	// Exclude lists backend servers that must not run the request because an earlier attempt on them failed.
	Exclude []string
}

// Controller admits the requests of one service. It is safe for concurrent use.
type Controller struct {
	clock  func() time.Time
	source SlotSource

	mu      sync.Mutex
	service *policy.Service
	queue   *Queue
	nextID  uint64
	waiters map[uint64]*waiter
	timer   *time.Timer
	timerAt time.Time
}

// waiter is a request in the queue. done receives exactly one result.
type waiter struct {
	exclude []string
	done    chan acquireResult
}

// acquireResult is the result of Acquire. Exactly one of its fields is set.
type acquireResult struct {
	permit  *Permit
	failure *result.Failure
}

// NewController returns a controller for one service. clock returns the current time; it is time.Now outside tests.
func NewController(service *policy.Service, source SlotSource, rng *rand.Rand, clock func() time.Time) *Controller {
	return newController(service, source, NewQueue(rng), clock)
}

// NewUnrankedController returns a controller with the plain first-in, first-out queue that serves as the baseline of
// measurements.
func NewUnrankedController(service *policy.Service, source SlotSource, rng *rand.Rand, clock func() time.Time) *Controller {
	return newController(service, source, NewUnrankedQueue(rng), clock)
}

func newController(service *policy.Service, source SlotSource, queue *Queue, clock func() time.Time) *Controller {
	c := &Controller{clock: clock, source: source, service: service, queue: queue, waiters: make(map[uint64]*waiter)}
	now := clock()
	queue.Configure(service, source.Usable(now), now)
	return c
}

// SetService replaces the service's policy.
func (c *Controller) SetService(service *policy.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	c.service = service
	c.queue.Configure(service, c.source.Usable(now), now)
	c.dispatch(now)
}

// Refresh reads the number of usable slots again. It must be called when slots were gained or lost and when a backend
// server was ejected or accepts work again.
func (c *Controller) Refresh() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	c.refreshCapacity(now)
	c.dispatch(now)
}

// Acquire waits for a slot. Exactly one of the results is nil. If ctx is done before the request gets a slot, the failure
// is QueueTimeout if the deadline of ctx passed, and CallerGone otherwise.
func (c *Controller) Acquire(ctx context.Context, req AcquireRequest) (*Permit, *result.Failure) {
	if ctx.Err() != nil {
		return nil, c.contextFailure(ctx, req.Rank)
	}
	id, w, immediate := c.offer(req)
	if w == nil {
		return immediate.permit, immediate.failure
	}
	select {
	case a := <-w.done:
		return a.permit, a.failure
	case <-ctx.Done():
		return c.cancel(ctx, req.Rank, id, w)
	}
}

// Headroom returns how many requests of each rank could take a slot now.
func (c *Controller) Headroom() [rank.Count]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	c.refreshCapacity(now)
	c.dispatch(now)
	return c.queue.Headroom(now)
}

// SmoothedHeadroom returns the headroom of each rank, calculated from the smoothed number of slots in use. Heartbeats
// carry it.
func (c *Controller) SmoothedHeadroom() [rank.Count]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	c.refreshCapacity(now)
	c.dispatch(now)
	return c.queue.SmoothedHeadroom(now)
}

// Usage is the state of a controller as metrics report it. Capacity is the number of usable slots; InUse and Waiting count
// the requests of each rank that hold a slot or wait for one.
type Usage struct {
	Capacity int
	InUse    [rank.Count]int
	Waiting  [rank.Count]int
}

// Usage returns the number of usable slots, and the numbers of requests that hold a slot or wait for one.
func (c *Controller) Usage() Usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Usage{Capacity: c.queue.Capacity(), InUse: c.queue.InUse(), Waiting: c.queue.Waiting()}
}

// offer offers a request to the queue. It returns a waiter if the request was queued, and otherwise the result.
func (c *Controller) offer(req AcquireRequest) (uint64, *waiter, acquireResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	c.refreshCapacity(now)
	c.nextID++
	id := c.nextID
	request := Request{ID: id, Rank: req.Rank, Caller: req.Caller, Deadline: req.Deadline, MaxWait: req.MaxWait}
	decision := c.queue.Offer(request, now)
	switch decision.Outcome {
	case Admitted:
		a := c.takeSlot(request, req.Exclude, now)
		c.dispatch(now)
		return id, nil, a
	case Rejected:
		c.dispatch(now)
		return id, nil, acquireResult{failure: decision.Failure}
	}
	w := &waiter{exclude: req.Exclude, done: make(chan acquireResult, 1)}
	c.waiters[id] = w
	c.dispatch(now)
	return id, w, acquireResult{}
}

// cancel removes a waiting request whose context is done. If the request was given a slot at the same time, cancel
// releases the slot unused.
func (c *Controller) cancel(ctx context.Context, r rank.Rank, id uint64, w *waiter) (*Permit, *result.Failure) {
	c.mu.Lock()
	if c.queue.Cancel(id) {
		delete(c.waiters, id)
		c.setTimer()
		c.mu.Unlock()
		return nil, c.contextFailure(ctx, r)
	}
	c.mu.Unlock()
	a := <-w.done
	if a.permit == nil {
		return nil, a.failure
	}
	a.permit.Release(0)
	return nil, c.contextFailure(ctx, r)
}

// contextFailure returns the failure of a request whose context was done before the request got a slot. After a passed
// deadline the caller is still connected, so the failure carries a time to retry.
func (c *Controller) contextFailure(ctx context.Context, r rank.Rank) *result.Failure {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.Fail(result.CallerGone, "the request was cancelled before it got a slot")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.timeoutFailure(c.queue.keyOf(Request{Rank: r}).rank)
}

// refreshCapacity configures the queue again if the number of usable slots changed. The caller must call dispatch
// afterwards, because the change can admit or reject waiting requests.
func (c *Controller) refreshCapacity(now time.Time) {
	if usable := c.source.Usable(now); usable != c.queue.Capacity() {
		c.queue.Configure(c.service, usable, now)
	}
}

// takeSlot takes a slot for an admitted request and returns its permit. Without a suitable slot it undoes the admission and
// returns a failure.
func (c *Controller) takeSlot(req Request, exclude []string, now time.Time) acquireResult {
	slot, ok := c.source.Take(now, exclude)
	if !ok {
		c.queue.Release(req.Rank, 0, now)
		return acquireResult{failure: result.Fail(result.NoBackendServer, "no backend server that accepts work has a free slot").After(minRetryAfter)}
	}
	return acquireResult{permit: &Permit{BackendServer: slot.BackendServer, controller: c, slot: slot, rank: req.Rank}}
}

// dispatch admits waiting requests to the free slots and rejects expired ones until nothing more can be decided. Then it
// sets the timer.
func (c *Controller) dispatch(now time.Time) {
	for {
		admitted := c.queue.Next(now)
		for _, req := range admitted {
			c.deliver(req.ID, c.takeSlot(req, c.waiters[req.ID].exclude, now))
		}
		if len(admitted) == 0 {
			break
		}
	}
	for _, rejection := range c.queue.Expire(now) {
		c.deliver(rejection.Request.ID, acquireResult{failure: rejection.Failure})
	}
	c.setTimer()
}

// deliver sends the result to a waiting request.
func (c *Controller) deliver(id uint64, a acquireResult) {
	c.waiters[id].done <- a
	delete(c.waiters, id)
}

// setTimer sets the timer to the next time at which a waiting request expires or may get a slot. While no request waits,
// there is no timer.
func (c *Controller) setTimer() {
	next, waiting := c.queue.NextWake(c.clock())
	if !waiting {
		c.stopTimer()
		return
	}
	if c.timer != nil && next.Equal(c.timerAt) {
		return
	}
	c.stopTimer()
	c.timerAt = next
	c.timer = time.AfterFunc(max(0, next.Sub(c.clock())), c.onTimer)
}

func (c *Controller) stopTimer() {
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
}

// onTimer runs when the timer fires.
func (c *Controller) onTimer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timerAt = time.Time{}
	c.dispatch(c.clock())
}
