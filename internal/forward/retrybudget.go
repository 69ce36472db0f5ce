package forward

import (
	"sync"
	"time"
)

// Limits of a retry budget.
const (
	// minRetriesPerSecond is the rate of retries and hedges that is allowed without any success, so that a service with few
	// requests can recover from single failures.
	minRetriesPerSecond = 2.0
	// maxSavedRetries is the maximum number of retries and hedges that a budget accumulates.
	maxSavedRetries = 20.0
)

// RetryBudget limits the retries and hedges of one rank of a service to a share of its successes minus its rejections.
// During overload rejections exceed successes, so only the minimum rate remains. Each rank has its own budget, so that a
// flood of rejected free requests does not use up the retries of payments. It is safe for concurrent use.
type RetryBudget struct {
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

// NewRetryBudget returns a budget that holds the retries of one second at the minimum rate.
func NewRetryBudget(now time.Time) *RetryBudget {
	return &RetryBudget{tokens: minRetriesPerSecond, refilledAt: now}
}

// Success adds a share (0 to 1) of a retry.
func (b *RetryBudget) Success(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxSavedRetries, b.tokens+share)
}

// Rejection subtracts what one success adds.
func (b *RetryBudget) Rejection(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = max(0, b.tokens-share)
}

// Spend takes one retry from the budget. It reports false if none is left.
func (b *RetryBudget) Spend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refillMinimumRate(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund returns a retry that was taken but not made.
func (b *RetryBudget) Refund() {
	b.Success(1)
}

func (b *RetryBudget) refillMinimumRate(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		// The minimum rate refills the budget to at most the retries of one second, so that an idle hour does not allow a burst.
		refilled := min(minRetriesPerSecond, b.tokens+elapsed.Seconds()*minRetriesPerSecond)
		b.tokens = max(b.tokens, refilled)
		b.refilledAt = now
	}
}
