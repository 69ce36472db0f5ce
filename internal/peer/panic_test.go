package peer_test

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/foxtailtack/foxtailtack/internal/forward"
)

// Guards against a panic in a handler that crashes the whole process, since net/rpc does not recover from it. The request
// may have run before the panic, so the failure must not mean "not run".
func TestPanicInHandlerFailsOnlyItsCall(t *testing.T) {
	var failed atomic.Bool
	f := startFixture(t, func(ctx context.Context, request *forward.Request) *forward.Response {
		if failed.CompareAndSwap(false, true) {
			panic("unexpected")
		}
		return echoBody(ctx, request)
	})
	if response, failure := f.forward("first"); failure == nil || failure.Code.NotRun() {
		t.Errorf("got %v, %v; want a failure with an unknown outcome", response, failure)
	}
	if response, failure := f.forward("second"); failure != nil || string(response.Body) != "second" {
		t.Errorf("the next call got %v, %v", response, failure)
	}
}
