package pause

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a pause that is reported twice, or after another call of Check has returned the previous epoch, so that a request
// decided before the pause is still sent. A busy process must not count as paused.
func TestPauseIsReportedOnce(t *testing.T) {
	var clock, pauses atomic.Int64
	detector := New(func() time.Duration { return time.Duration(clock.Load()) }, func(time.Duration) { pauses.Add(1) })
	before := detector.Check()
	for range 100 {
		clock.Add(int64(Threshold))
		if detector.Check() != before {
			t.Fatal("a busy process counts as paused")
		}
	}
	clock.Add(int64(Threshold + 1))
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			if detector.Check() == before {
				t.Error("Check returned the previous epoch after the pause")
			}
		})
	}
	wg.Wait()
	if n := pauses.Load(); n != 1 || detector.Check() == before {
		t.Errorf("%d pauses reported, epoch %d after %d", n, detector.Check(), before)
	}
}

// Guards against a clock that does not advance, with which no pause would be detected.
func TestBootTimeAdvances(t *testing.T) {
	before := bootTime()
	time.Sleep(5 * time.Millisecond)
	if elapsed := bootTime() - before; elapsed < 5*time.Millisecond {
		t.Errorf("the clock advanced by %v in 5 ms", elapsed)
	}
}
