package entry

import (
	"context"
	"strconv"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailtack/foxtailtack/internal/forward"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// countingForwarder counts the requests that this host forwards to other entry hosts.
type countingForwarder struct {
	next  forward.Forwarder
	scope tally.Scope
}

// ForwardTo implements forward.Forwarder. A request that the target rejected with a code that means "not run", or that did not
// reach the target, also counts in passes_refused, by result code.
func (f countingForwarder) ForwardTo(ctx context.Context, host string, request *forward.Request) (*forward.Response, *result.Failure) {
	response, failure := f.next.ForwardTo(ctx, host, request)
	scope := f.scope.Tagged(map[string]string{"service": request.Service, "rank": request.Rank.String()})
	scope.Counter("passes_sent").Inc(1)
	rejection := failure
	if rejection == nil && response != nil {
		rejection = response.Failure()
	}
	if rejection != nil && rejection.Code.NotRun() {
		scope.Tagged(map[string]string{"code": strconv.Itoa(int(rejection.Code))}).Counter("passes_refused").Inc(1)
	}
	return response, failure
}
