package admission

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/rank"
	"github.com/foxtailtack/foxtailtack/internal/result"
	"github.com/foxtailtack/foxtailtack/internal/slots"
)

// fakeSource is a SlotSource of named backend servers. It records the largest number of slots in use on one server, and
// slots that were released twice.
type fakeSource struct {
	mu       sync.Mutex
	servers  map[string]int
	ejected  map[string]bool
	inUse    map[string]int
	maxInUse int
	misuse   string
}

func newFakeSource(servers map[string]int) *fakeSource {
	return &fakeSource{servers: servers, ejected: map[string]bool{}, inUse: map[string]int{}}
}

func (s *fakeSource) Usable(time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for id, n := range s.servers {
		if !s.ejected[id] {
			total += n
		}
	}
	return total
}

func (s *fakeSource) Take(_ time.Time, exclude []string) (slots.ID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, n := range s.servers {
		if s.inUse[id] < n && !s.ejected[id] && !slices.Contains(exclude, id) {
			s.inUse[id]++
			s.maxInUse = max(s.maxInUse, s.inUse[id])
			return slots.ID{BackendServer: id}, true
		}
	}
	return slots.ID{}, false
}

func (s *fakeSource) Release(slot slots.ID, _ time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse[slot.BackendServer]--
	if s.inUse[slot.BackendServer] < 0 {
		s.misuse = "a slot of " + slot.BackendServer + " was released twice"
	}
}

func (s *fakeSource) eject(id string, ejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ejected[id] = ejected
}

func testController(source SlotSource) *Controller {
	return NewController(testService(defaultLimits, testFloors, 64), source, rand.New(rand.NewPCG(1, 2)), time.Now)
}

// acquire requests a permit for urgent work with the given time until the deadline.
func acquire(c *Controller, timeLeft time.Duration) (*Permit, *result.Failure) {
	return c.Acquire(context.Background(), AcquireRequest{Rank: rank.Urgent, Caller: "a", Deadline: time.Now().Add(timeLeft)})
}

func mustAcquire(t *testing.T, c *Controller) *Permit {
	t.Helper()
	p, failure := acquire(c, time.Minute)
	if failure != nil {
		t.Fatal(failure)
	}
	return p
}

// waitForWaitingCount waits until the given number of urgent requests wait.
func waitForWaitingCount(t *testing.T, c *Controller, waiting int) {
	t.Helper()
	for start := time.Now(); time.Since(start) < 10*time.Second; time.Sleep(time.Millisecond) {
		if c.Usage().Waiting[rank.Urgent] == waiting {
			return
		}
	}
	t.Fatalf("%d requests are waiting, want %d", c.Usage().Waiting[rank.Urgent], waiting)
}

// Guards against races between the queue and the slot source: a slot given out twice, a lost permit, or a waiter that stays
// after its request got a result.
func TestControllerLosesNoSlotOrPermitUnderConcurrency(t *testing.T) {
	source := newFakeSource(map[string]int{"b1": 3, "b2": 3})
	c := testController(source)
	var completed atomic.Int64
	var wg sync.WaitGroup
	const workers, rounds = 40, 50
	for i := range workers {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(5, uint64(i)))
			for range rounds {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rng.IntN(20))*time.Millisecond)
				p, failure := c.Acquire(ctx, AcquireRequest{
					Rank: rank.Rank(rng.IntN(rank.Count)), Caller: string(rune('a' + i%5)),
					Deadline: time.Now().Add(time.Duration(rng.IntN(50)) * time.Millisecond),
				})
				if (p == nil) == (failure == nil) {
					t.Error("want exactly one of permit and failure")
				}
				if p != nil {
					time.Sleep(time.Duration(rng.IntN(500)) * time.Microsecond)
					p.Release(time.Millisecond)
					p.Release(time.Millisecond)
				}
				cancel()
				completed.Add(1)
			}
		})
	}
	wg.Go(func() {
		for i := range 50 {
			source.eject("b2", i%2 == 0)
			c.Refresh()
			time.Sleep(time.Millisecond)
		}
	})
	wg.Wait()
	source.eject("b2", false)
	if source.misuse != "" {
		t.Error(source.misuse)
	}
	if source.maxInUse > 3 {
		t.Errorf("%d slots of a backend server with 3 slots in use at once", source.maxInUse)
	}
	usage := c.Usage()
	if usage.InUse != [rank.Count]int{} || usage.Waiting != [rank.Count]int{} || len(c.waiters) != 0 || c.timer != nil {
		t.Errorf("after all requests completed: %+v, %d waiters, timer set: %v", usage, len(c.waiters), c.timer != nil)
	}
	if completed.Load() != workers*rounds {
		t.Errorf("%d requests completed, want %d", completed.Load(), workers*rounds)
	}
}

func TestControllerGivesReleasedSlotToWaitingRequest(t *testing.T) {
	c := testController(newFakeSource(map[string]int{"b1": 1}))
	first := mustAcquire(t, c)
	got := make(chan *Permit)
	go func() {
		p, _ := acquire(c, time.Minute)
		got <- p
	}()
	waitForWaitingCount(t, c, 1)
	first.Release(time.Millisecond)
	if p := <-got; p == nil || p.BackendServer != "b1" {
		t.Fatalf("got %+v, want a permit for b1", p)
	}
}

// Guards against a second release of a permit that frees a slot which meanwhile belongs to another request.
func TestPermitSecondReleaseHasNoEffect(t *testing.T) {
	c := testController(newFakeSource(map[string]int{"b1": 1}))
	first := mustAcquire(t, c)
	first.Release(time.Millisecond)
	second := mustAcquire(t, c)
	first.Release(time.Millisecond)
	if got := c.Usage().InUse[rank.Urgent]; got != 1 {
		t.Fatalf("%d slots in use, want 1", got)
	}
	second.Release(time.Millisecond)
}

// Guards against a timeout that is delayed until the next offer or release: without such events, only the timer ends a wait.
func TestControllerTimesOutWaitWithoutOtherEvents(t *testing.T) {
	c := testController(newFakeSource(map[string]int{"b1": 1}))
	defer mustAcquire(t, c).Release(0)
	_, failure := acquire(c, 20*time.Millisecond)
	if failure == nil || failure.Code != result.QueueTimeout {
		t.Fatalf("got %v, want QueueTimeout", failure)
	}
}

func TestControllerReturnsCallerGoneWhenContextIsCancelled(t *testing.T) {
	c := testController(newFakeSource(map[string]int{"b1": 1}))
	defer mustAcquire(t, c).Release(0)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan *result.Failure)
	go func() {
		_, failure := c.Acquire(ctx, AcquireRequest{Caller: "a", Deadline: time.Now().Add(time.Minute)})
		done <- failure
	}()
	waitForWaitingCount(t, c, 1)
	cancel()
	if failure := <-done; failure == nil || failure.Code != result.CallerGone {
		t.Fatalf("got %v, want CallerGone", failure)
	}
	waitForWaitingCount(t, c, 0)
}

// Guards against reporting a passed context deadline as CallerGone: the caller is still connected and needs QueueTimeout
// with a time to retry.
func TestControllerReturnsQueueTimeoutWhenContextDeadlinePasses(t *testing.T) {
	c := testController(newFakeSource(map[string]int{"b1": 1}))
	defer mustAcquire(t, c).Release(0)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	for _, when := range []string{"while the request waits", "before Acquire"} {
		_, failure := c.Acquire(ctx, AcquireRequest{Caller: "a", Deadline: time.Now().Add(time.Minute)})
		if failure == nil || failure.Code != result.QueueTimeout || failure.RetryAfter <= 0 {
			t.Fatalf("deadline passes %s: got %v, want QueueTimeout with a time to retry", when, failure)
		}
	}
	waitForWaitingCount(t, c, 0)
}

// Guards against a request that waits although the reservation shrank enough, because no other request starts or completes
// and thus nothing triggers a new decision.
func TestControllerAdmitsWaitingRequestWhenReservationShrinks(t *testing.T) {
	c := testController(newFakeSource(map[string]int{"b1": 6}))
	mustAcquire(t, c).Release(10 * time.Millisecond)
	var permits []*Permit
	for range 5 {
		permits = append(permits, mustAcquire(t, c))
	}
	time.Sleep(300 * time.Millisecond)
	for _, p := range permits {
		p.Release(10 * time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	request := AcquireRequest{Rank: rank.Deferrable, Caller: "a", Deadline: time.Now().Add(time.Minute)}
	start := time.Now()
	for range 2 {
		if _, failure := c.Acquire(ctx, request); failure != nil {
			t.Fatal(failure)
		}
	}
	if waited := time.Since(start); waited < recheckInterval/2 {
		t.Fatalf("the second request waited %v, want a wait because of the reservation", waited)
	}
}

// Guards against requests that wait for a slot until their deadline although every backend server is ejected.
func TestControllerRejectsRequestsWhenAllBackendServersAreEjected(t *testing.T) {
	source := newFakeSource(map[string]int{"b1": 1})
	c := testController(source)
	held := mustAcquire(t, c)
	done := make(chan *result.Failure)
	go func() {
		_, failure := acquire(c, time.Minute)
		done <- failure
	}()
	waitForWaitingCount(t, c, 1)
	source.eject("b1", true)
	c.Refresh()
	if failure := <-done; failure == nil || failure.Code != result.NoBackendServer {
		t.Fatalf("waiting request got %v, want NoBackendServer", failure)
	}
	held.Release(time.Millisecond)
	if _, failure := acquire(c, time.Minute); failure == nil || failure.Code != result.NoBackendServer {
		t.Fatalf("new request got %v, want NoBackendServer", failure)
	}
	source.eject("b1", false)
	mustAcquire(t, c).Release(time.Millisecond)
}

// Guards against waiting requests that are rejected only at their deadline although a call of Headroom already noticed that
// the slots are lost.
func TestHeadroomRejectsWaitingRequestsWhenSlotsAreLost(t *testing.T) {
	source := newFakeSource(map[string]int{"b1": 1})
	c := testController(source)
	defer mustAcquire(t, c).Release(0)
	done := make(chan *result.Failure, 1)
	go func() {
		_, failure := acquire(c, time.Minute)
		done <- failure
	}()
	waitForWaitingCount(t, c, 1)
	source.eject("b1", true)
	if got := c.Headroom(); got != [rank.Count]int{} {
		t.Fatalf("headroom %v, want none", got)
	}
	select {
	case failure := <-done:
		if failure == nil || failure.Code != result.NoBackendServer {
			t.Fatalf("got %v, want NoBackendServer", failure)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the waiting request got no result")
	}
}

// Guards against a retry on the backend server that failed the first attempt, and against a slot that stays in use after
// the rejection.
func TestControllerDoesNotUseExcludedBackendServer(t *testing.T) {
	c := testController(newFakeSource(map[string]int{"b1": 1}))
	req := AcquireRequest{Caller: "a", Deadline: time.Now().Add(time.Minute), Exclude: []string{"b1"}}
	if _, failure := c.Acquire(context.Background(), req); failure == nil || failure.Code != result.NoBackendServer {
		t.Fatalf("got %v, want NoBackendServer", failure)
	}
	mustAcquire(t, c).Release(time.Millisecond)
}
