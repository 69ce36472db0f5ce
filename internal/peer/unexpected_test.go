package peer_test

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/foxtailtack/foxtailtack/internal/forward"
)

// A call that meets an unexpected error took the whole process down, since net/rpc does not catch it. The request may have run before,
// so the failure must not promise that it has not.
func TestUnexpectedErrorEndsOneCallOnly(t *testing.T) {
	var failed atomic.Bool
	f := start(t, func(ctx context.Context, request *forward.Request) *forward.Response {
		if failed.CompareAndSwap(false, true) {
			panic("unexpected")
		}
		return echo(ctx, request)
	})
	if response, failure := f.pass("first"); failure == nil || failure.Code.NotRun() {
		t.Errorf("got %v, %v; want a failure that promises nothing", response, failure)
	}
	if response, failure := f.pass("second"); failure != nil || string(response.Body) != "second" {
		t.Errorf("the next call got %v, %v", response, failure)
	}
}
