package pause

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// A pause must be noticed once, by whoever looks first, before anything decided earlier goes out; a busy process must not count as paused.
func TestPauseIsNoticedOnce(t *testing.T) {
	var clock, pauses atomic.Int64
	d := New(func() time.Duration { return time.Duration(clock.Load()) }, func(time.Duration) { pauses.Add(1) })
	before := d.Check()
	for range 100 {
		clock.Add(int64(Limit))
		if d.Check() != before {
			t.Fatal("a busy process counts as paused")
		}
	}
	clock.Add(int64(Limit + 1))
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			if d.Check() == before {
				t.Error("a look after the pause sees the epoch before it")
			}
		})
	}
	wg.Wait()
	if n := pauses.Load(); n != 1 || d.Check() == before {
		t.Errorf("%d pauses noticed, epoch %d after %d", n, d.Check(), before)
	}
}

// The clock has to run while the process does.
func TestBootTimeRuns(t *testing.T) {
	before := bootTime()
	time.Sleep(5 * time.Millisecond)
	if passed := bootTime() - before; passed < 5*time.Millisecond {
		t.Errorf("%v passed in 5 ms", passed)
	}
}
