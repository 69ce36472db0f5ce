package backend_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/backend"
	"github.com/foxtailtack/foxtailtack/internal/standin/backendserver"
)

// TestLateResponseAfterCancelReachesNoOtherRequest guards against the response to a cancelled request on a pooled connection
// being taken for the response to the next request.
func TestLateResponseAfterCancelReachesNoOtherRequest(t *testing.T) {
	f := newFixture(t, backendserver.Options{ID: "b1", ServiceTime: 100 * time.Millisecond, Slots: 100})
	for range 10 {
		r := f.request(true)
		res := f.do(40*time.Millisecond, r)
		checkOwnResponse(t, r, res)
		r = f.request(true)
		res = f.do(testTimeout, r)
		checkOwnResponse(t, r, res)
		if res.Outcome != backend.Completed {
			t.Errorf("request after a cancelled one: %v", res.Failure)
		}
	}
}

// TestUnsolicitedResponseReachesNoOtherRequest guards against a second response on a pooled connection being taken for the
// response to the next request.
func TestUnsolicitedResponseReachesNoOtherRequest(t *testing.T) {
	f := newFixture(t, backendserver.Options{ID: "b1"})
	f.warmUp()
	for range 20 {
		f.standin.Inject(backendserver.TwoAnswers, 1)
		for range 2 {
			r := f.request(true)
			checkOwnResponse(t, r, f.do(testTimeout, r))
		}
	}
}

// TestConcurrentResponsesMatchTheirRequests guards against responses that reach another request when many requests run
// concurrently and some are cancelled.
func TestConcurrentResponsesMatchTheirRequests(t *testing.T) {
	f := newFixture(t, backendserver.Options{ID: "b1", Slots: 200, ServiceTime: time.Millisecond, Jitter: 5 * time.Millisecond})
	var wg sync.WaitGroup
	for worker := range 24 {
		wg.Go(func() {
			for i := range 30 {
				id := fmt.Sprintf("w%d-%d", worker, i)
				r := &backend.Request{ID: id, Method: http.MethodPost, Path: "/" + id, Body: []byte(id), Repeatable: i%2 == 0}
				timeout := testTimeout
				if i%5 == 0 {
					timeout = 3 * time.Millisecond
				}
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				res := f.client.Do(ctx, f.service, f.server, r)
				cancel()
				checkOwnResponse(t, r, res)
				if timeout == testTimeout && res.Outcome != backend.Completed {
					t.Errorf("%s: %v", id, res.Failure)
				}
			}
		})
	}
	wg.Wait()
	stats := f.standin.Stats()
	if d := stats.Duplicates(); len(d) != 0 {
		t.Errorf("duplicates: %v", d)
	}
}
