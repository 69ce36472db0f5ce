package backend

import (
	"context"

	"github.com/foxtailtack/foxtailtack/internal/policy"
)

// Observer makes attempts and records their results in a Registry.
type Observer struct {
	Client   *Client
	Registry *Registry
}

// Do makes exactly one attempt, like Client.Do, and records its result.
func (o *Observer) Do(ctx context.Context, service *policy.Service, server *policy.BackendServer, req *Request) Result {
	res := o.Client.Do(ctx, service, server, req)
	o.Registry.RecordAttempt(server.ID, res)
	return res
}
