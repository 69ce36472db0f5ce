package forward

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailtack/foxtailtack/internal/rank"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

var smallTableOptions = OutcomeOptions{Retain: time.Minute, MaxEntries: 10, MaxBodyBytes: 8, MaxBytes: 20, MaxWaiters: 2}

func paymentRequest(body string) *Request {
	return &Request{Method: "POST", Path: "/pay", Body: []byte(body), Rank: rank.Urgent}
}

func outcomeKey(key string) OutcomeKey { return OutcomeKey{Caller: "c", Service: "s", Key: key} }

// countingTable is an OutcomeTable that counts the runs of requests.
type countingTable struct {
	*OutcomeTable
	runs int32
}

func (o *countingTable) do(key, body string, response *Response) *Response {
	return o.Do(context.Background(), outcomeKey(key), paymentRequest(body), time.Now, func() *Response {
		atomic.AddInt32(&o.runs, 1)
		return response
	})
}

// Guards against a second run of a payment and against a wrong response to its repeat.
func TestRepeatGetsRecordedOutcome(t *testing.T) {
	cases := []struct {
		name     string
		first    *Response
		body     string
		wantCode result.Code
		wantRuns int32
	}{
		{"success", &Response{Status: 201, Body: []byte("paid")}, "10", result.OK, 1},
		{"response too large to keep", &Response{Status: 201, Body: []byte("123456789")}, "10", result.RepeatInProgress, 1},
		{"unknown", rejectionResponse(result.ConnectionLost, "lost"), "10", result.RepeatInProgress, 1},
		{"internal error", rejectionResponse(result.Internal, "fault"), "10", result.RepeatInProgress, 1},
		{"not run", rejectionResponse(result.NoCapacity, "full"), "10", result.NoCapacity, 2},
		{"other content", &Response{Status: 201}, "20", result.IdempotencyKeyReused, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := &countingTable{OutcomeTable: NewOutcomeTable(smallTableOptions)}
			if got := o.do("k", "10", c.first); got != c.first {
				t.Errorf("first run returned %+v", got)
			}
			if got := o.do("k", c.body, c.first); got.Code != c.wantCode || got.Status != 0 && got.Status != c.first.Status {
				t.Errorf("repeat returned %v", got)
			}
			if o.runs != c.wantRuns {
				t.Errorf("%d runs, want %d", o.runs, c.wantRuns)
			}
		})
	}
}

// Guards against a second run while the first one is still running.
func TestRepeatWaitsForRunningRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := NewOutcomeTable(smallTableOptions)
		runs := 0
		// The body is too large to be kept, but the repeats that wait get it.
		run := func() *Response {
			runs++
			time.Sleep(time.Second)
			return &Response{Status: 201, Body: []byte("123456789")}
		}
		got := make(chan *Response, 4)
		call := func(timeout time.Duration) {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			got <- o.Do(ctx, outcomeKey("k"), paymentRequest("10"), time.Now, run)
		}
		go call(5 * time.Second)
		synctest.Wait()
		go call(5 * time.Second)
		go call(100 * time.Millisecond)
		synctest.Wait()
		go call(5 * time.Second)
		if r := <-got; r.Code != result.RepeatInProgress || r.RetryAfter == 0 {
			t.Errorf("a third waiter got %+v", r)
		}
		if r := <-got; r.Code != result.RepeatInProgress || r.RetryAfter == 0 {
			t.Errorf("a waiter whose context expired got %+v", r)
		}
		for range 2 {
			if r := <-got; r.Status != 201 {
				t.Errorf("got %+v", r)
			}
		}
		if runs != 1 {
			t.Errorf("%d runs", runs)
		}
	})
}

// Guards against a waiting repeat that gets CallerGone because the first caller left while its request was queued.
func TestWaitingRepeatRunsWhenFirstCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := NewOutcomeTable(smallTableOptions)
		go o.Do(context.Background(), outcomeKey("k"), paymentRequest("10"), time.Now, func() *Response {
			time.Sleep(time.Second)
			return rejectionResponse(result.CallerGone, "caller left")
		})
		synctest.Wait()
		r := o.Do(context.Background(), outcomeKey("k"), paymentRequest("10"), time.Now, func() *Response { return &Response{Status: 201} })
		if r.Status != 201 {
			t.Errorf("got %+v", r)
		}
	})
}

// Guards against a second run after the first one panicked.
func TestPanicRecordsUnknownOutcome(t *testing.T) {
	o := &countingTable{OutcomeTable: NewOutcomeTable(smallTableOptions)}
	func() {
		defer func() { _ = recover() }()
		o.Do(context.Background(), outcomeKey("k"), paymentRequest("10"), time.Now, func() *Response { panic("fault") })
	}()
	if got := o.do("k", "10", &Response{}); got.Code != result.RepeatInProgress || o.runs != 0 {
		t.Errorf("got %+v after %d runs", got, o.runs)
	}
}

// Guards against a second run because a full table evicted a key, and against a flood of requests of one rank or one caller
// that blocks payments.
func TestFullTableKeepsRecordedKeysAndRoomForUrgent(t *testing.T) {
	o := NewOutcomeTable(smallTableOptions)
	add := func(caller string, n int, r rank.Rank) *Response {
		key := OutcomeKey{Caller: caller, Service: "s", Key: strconv.Itoa(n)}
		req := paymentRequest("10")
		req.Rank = r
		return o.Do(context.Background(), key, req, time.Now, func() *Response { return &Response{Status: 201} })
	}
	codes := func(caller string, r rank.Rank) map[result.Code]int {
		m := map[result.Code]int{}
		for n := range 10 {
			m[add(caller, n, r).Code]++
		}
		return m
	}
	if got := codes("flood", rank.Deferrable); got[result.OK] != 5 || got[result.CallerLimit] != 5 {
		t.Errorf("one caller: %v", got)
	}
	if got := codes("flood2", rank.Deferrable); got[result.OK] != 2 || got[result.NoCapacity] != 8 {
		t.Errorf("one rank: %v", got)
	}
	if got := codes("mill", rank.Urgent); got[result.OK] != 3 || got[result.NoCapacity] != 7 {
		t.Errorf("urgent: %v", got)
	}
	if r := add("flood", 0, rank.Deferrable); r.Status != 201 {
		t.Errorf("a repeat at a full table got %+v", r)
	}
}

// TestOutcomesProperty guards against a second run of a key that ran or may have run within the retention time, and
// against entries that are never removed.
func TestOutcomesProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		o := NewOutcomeTable(smallTableOptions)
		now := time.Unix(0, 0)
		ran := map[string]time.Time{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(rt, "seconds")) * time.Second)
			key := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g"}).Draw(rt, "key")
			code := rapid.SampledFrom([]result.Code{result.OK, result.ConnectionLost, result.NoCapacity}).Draw(rt, "code")
			o.Do(context.Background(), outcomeKey(key), paymentRequest("10"), func() time.Time { return now }, func() *Response {
				if at, ok := ran[key]; ok && now.Sub(at) < smallTableOptions.Retain {
					rt.Fatalf("%s ran at %v and again at %v", key, at, now)
				}
				if code != result.NoCapacity {
					ran[key] = now
				}
				return &Response{Code: code, Body: []byte("12345")}
			})
			if o.keptBytes > smallTableOptions.MaxBytes || len(o.entries) > smallTableOptions.MaxEntries {
				rt.Fatalf("%d bytes in %d entries", o.keptBytes, len(o.entries))
			}
		}
		o.expire(now.Add(smallTableOptions.Retain))
		if len(o.entries)+len(o.entriesPerCaller)+len(o.completedKeys)+o.keptBytes != 0 {
			rt.Fatalf("left over: %d entries, %d callers, %d bytes", len(o.entries), len(o.entriesPerCaller), o.keptBytes)
		}
	})
}
