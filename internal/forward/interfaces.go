package forward

import (
	"context"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/backend"
	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/rank"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// Permit allows one attempt on a slot of a backend server.
type Permit interface {
	// BackendServer returns the id of the backend server.
	BackendServer() string
	// Release frees the slot after hold. The pipeline calls it exactly once.
	Release(hold time.Duration)
}

// Admitter admits requests to the slots of this host.
type Admitter interface {
	// Acquire waits for a slot for at most maxWait and not beyond the deadline. It chooses no backend server in exclude.
	// With a maxWait of zero it takes only a slot that is free now. Exactly one of the results is nil, and the code of a
	// failure means "not run".
	Acquire(ctx context.Context, service string, r rank.Rank, caller string, deadline time.Time, maxWait time.Duration,
		exclude []string) (Permit, *result.Failure)
}

// Target is an entry host that a request may be forwarded to.
type Target struct {
	Host        string
	Incarnation membership.Incarnation
	// Region is the region of the host. Empty means the region of this host.
	Region string
	// ShiftID names the planned shift that leads to the host, or is empty.
	ShiftID string
	// Release returns the grant. The pipeline calls it exactly once after the request was forwarded; nil means no grant.
	Release func()
}

// Router chooses the entry hosts that requests are forwarded to.
type Router interface {
	// Next returns the next entry host for a request, with a grant where one is needed. It returns no host listed in tried,
	// which includes this host, and none with a longer round trip than within. It returns no host of another region for a
	// request that another region forwarded.
	Next(req *Request, tried []string, within time.Duration) (Target, bool)
	// ShiftFor returns the target of the planned shift that the request belongs to. It reports false if there is none.
	ShiftFor(req *Request) (Target, bool)
}

// Forwarder forwards requests to other entry hosts.
type Forwarder interface {
	// ForwardTo makes one call. Exactly one of the results is nil. A failure whose code means "not run" guarantees that the
	// host did not run the request.
	ForwardTo(ctx context.Context, host string, req *Request) (*Response, *result.Failure)
}

// Attempter makes single attempts on backend servers. backend.Client and backend.Observer implement it.
type Attempter interface {
	Do(ctx context.Context, service *policy.Service, server *policy.BackendServer, req *backend.Request) backend.Result
}
