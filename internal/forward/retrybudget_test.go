package forward

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRetryBudgetProperty guards against a retry storm: retries must not exceed the share of successes plus the minimum
// rate.
func TestRetryBudgetProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const share = 0.1
		now := time.Unix(0, 0)
		b := NewRetryBudget(now)
		successes, spent := 0, 0
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(rt, "ms")) * time.Millisecond)
			case 1:
				b.Success(share)
				successes++
			case 2:
				if b.Spend(now) {
					spent++
				}
			case 3:
				b.Rejection(share)
			}
		}
		allowed := float64(successes)*share + minRetriesPerSecond*(1+now.Sub(time.Unix(0, 0)).Seconds())
		if float64(spent) > allowed+1e-6 {
			rt.Fatalf("%d retries, allowed %v", spent, allowed)
		}
	})
}

// Guards against retries that add to an overload, and against a budget that never recovers.
func TestRetryBudgetIsEmptyInOverloadAndRefillsSlowly(t *testing.T) {
	now := time.Unix(0, 0)
	spend := func(b *RetryBudget) (n int) {
		for b.Spend(now) {
			n++
		}
		return n
	}
	b := NewRetryBudget(now)
	for range 1000 {
		b.Success(0.1)
	}
	if got := spend(b); got != maxSavedRetries {
		t.Errorf("%d retries after many successes", got)
	}
	for range 100 {
		b.Success(0.1)
		b.Rejection(0.1)
		b.Rejection(0.1)
	}
	if got := spend(b); got != 0 {
		t.Errorf("%d retries during overload", got)
	}
	now = now.Add(time.Hour)
	if got := spend(b); got != minRetriesPerSecond {
		t.Errorf("%d retries after an idle hour", got)
	}
}
