// Package pause notices that the process or its machine stood still for a while. What was decided before may rest on permissions that
// have run out since.
package pause

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/foxtailtack/foxtailtack/internal/wait"
)

const (
	// Limit is the time without a look at the clock from which the process counts as paused. Busy machines look seldom, and the platform's
	// bounds are two seconds and more.
	Limit = time.Second
	// tick is the time between two looks at the clock.
	tick = 100 * time.Millisecond
)

// Epoch numbers the spans between two pauses.
type Epoch int64

// Detector looks at a clock that counts the time for which the machine is suspended, which the steady clock does not. It is safe for
// concurrent use.
type Detector struct {
	clock func() time.Duration
	// noticed is called for each pause, before Check returns.
	noticed func(length time.Duration)
	// looked is the clock's time in nanoseconds at the latest look.
	looked atomic.Int64
	epoch  atomic.Int64
}

// New returns a detector that calls a function for each pause it notices. A nil clock stands for the machine's.
func New(clock func() time.Duration, noticed func(length time.Duration)) *Detector {
	if clock == nil {
		clock = bootTime
	}
	d := &Detector{clock: clock, noticed: noticed}
	d.looked.Store(int64(clock()))
	return d
}

// bootTime returns the time since the machine's start, suspended time included. A clock that cannot be read shows no pause.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// Run looks at the clock until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		d.Check()
		wait.For(ctx, tick)
	}
}

// Check looks at the clock and returns the current epoch.
func (d *Detector) Check() Epoch {
	now := int64(d.clock())
	before := d.looked.Load()
	if length := time.Duration(now - before); length > Limit && d.looked.CompareAndSwap(before, now) {
		d.epoch.Add(1)
		d.noticed(length)
	} else if now > before {
		d.looked.CompareAndSwap(before, now)
	}
	return Epoch(d.epoch.Load())
}
