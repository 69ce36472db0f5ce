package entry

import (
	"context"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/forward"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// trackingForwarder marks hosts that cannot be reached in the router.
type trackingForwarder struct {
	next   forward.Forwarder
	router *router
}

// ForwardTo implements forward.Forwarder.
func (f trackingForwarder) ForwardTo(ctx context.Context, host string, request *forward.Request) (*forward.Response, *result.Failure) {
	response, failure := f.next.ForwardTo(ctx, host, request)
	if failure != nil && failure.Code == result.ConnectFailed {
		f.router.markUnreachable(host, time.Now())
	}
	return response, failure
}
