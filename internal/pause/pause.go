// Package pause notices that the process or its machine stood still for a while. What was decided before may rest on permissions that
// have run out since.
package pause

import (
	"context"
	"sync"
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
	// noticed is called for each pause, before any Check returns the next epoch.
	noticed func(length time.Duration)

	mu sync.Mutex
	// looked is the clock's time at the latest look.
	looked time.Duration
	epoch  Epoch
}

// New returns a detector that calls a function for each pause it notices. A nil clock stands for the machine's.
func New(clock func() time.Duration, noticed func(length time.Duration)) *Detector {
	if clock == nil {
		clock = bootTime
	}
	return &Detector{clock: clock, noticed: noticed, looked: clock()}
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

// Check looks at the clock and returns the current epoch. While one caller deals with a pause, others wait: what they decided before it
// would else go out under the old epoch.
func (d *Detector) Check() Epoch {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	if length := now - d.looked; length > Limit {
		d.noticed(length)
		d.epoch++
	}
	d.looked = max(d.looked, now)
	return d.epoch
}
