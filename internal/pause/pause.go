// Package pause detects that the process or its machine was paused. A decision made before a pause may rest on permissions that
// expired during it.
package pause

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/foxtailtack/foxtailtack/internal/wait"
)

const (
	// Threshold is the time between two clock checks above which the process counts as paused. Busy machines check less often, and the
	// platform's time limits are two seconds and more.
	Threshold = time.Second
	// checkInterval is the time between two clock checks by Run.
	checkInterval = 100 * time.Millisecond
)

// Epoch is the number of the period between two pauses.
type Epoch int64

// Detector detects pauses with a clock that includes the time for which the machine is suspended; the monotonic clock excludes
// that time. It is safe for concurrent use.
type Detector struct {
	clock func() time.Duration
	// onPause is called for each pause, before any Check returns the next epoch.
	onPause func(length time.Duration)

	mu sync.Mutex
	// lastCheck is the reading of the clock at the latest check.
	lastCheck time.Duration
	epoch     Epoch
}

// New returns a detector that calls onPause for each pause. If clock is nil, it uses the machine's boot time clock.
func New(clock func() time.Duration, onPause func(length time.Duration)) *Detector {
	if clock == nil {
		clock = bootTime
	}
	return &Detector{clock: clock, onPause: onPause, lastCheck: clock()}
}

// bootTime returns the time since the machine's start, including suspended time. If the clock cannot be read, it returns zero, so
// that no pause is reported.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// Run checks the clock periodically until ctx is done.
func (d *Detector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		d.Check()
		wait.For(ctx, checkInterval)
	}
}

// Check reads the clock and returns the current epoch. While one call of Check handles a pause, the others wait: otherwise they
// would return the previous epoch, and decisions made before the pause would still be carried out.
func (d *Detector) Check() Epoch {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	if length := now - d.lastCheck; length > Threshold {
		d.onPause(length)
		d.epoch++
	}
	d.lastCheck = max(d.lastCheck, now)
	return d.epoch
}
