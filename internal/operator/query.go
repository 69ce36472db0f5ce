package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"github.com/foxtailtack/foxtailtack/internal/admin"
)

// queryRaw sends a query and returns the response without decoding it.
func (c *commandInvocation) queryRaw(ctx context.Context, name string, query url.Values) (*apiResponse, error) {
	response, err := c.send(ctx, apiRequest{method: http.MethodGet, path: admin.QueryPath + name, query: query})
	var connectionFailure *connectionError
	if errors.As(err, &connectionFailure) {
		failure := noEntryHostFailure(connectionFailure).(*localFailure)
		failure.meaning = "No entry host answered."
		return nil, failure
	}
	return response, err
}

// query sends a query, decodes the JSON response into target and prints which host responded.
func (c *commandInvocation) query(ctx context.Context, name string, query url.Values, target any) error {
	response, err := c.queryRaw(ctx, name, query)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(response.body, target); err != nil {
		return Error.Wrap(err)
	}
	c.printRespondingHost(response)
	return nil
}

// printRespondingHost prints to standard error which host responded, so that standard output has only the result.
func (c *commandInvocation) printRespondingHost(response *apiResponse) {
	fmt.Fprintf(c.env.stderr, "answered by: %s\n", response.host)
}
