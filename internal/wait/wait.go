// Package wait provides a sleep that ends early when a context ends.
package wait

import (
	"context"
	"time"
)

// For waits for the duration d or until ctx ends.
func For(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
