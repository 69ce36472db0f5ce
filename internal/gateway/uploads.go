package gateway

import (
	"errors"
	"net/http"

	"github.com/foxtailtack/foxtailtack/internal/bodies"
)

// receiveBody reads the body of a request. On a route with large bodies, the memory for the declared length is reserved before the body is
// read, within the share of the client. Other routes have only the bound of the host.
func (req *request) receiveBody(r *http.Request, limit int64) ([]byte, error) {
	if !req.route.LargeBodies {
		return req.bodies.ReadAll(r.Body, limit)
	}
	body, err := req.bodies.ReadLarge(r.Body, req.bodyClient(r), r.ContentLength, limit)
	switch {
	case errors.Is(err, bodies.ErrClientBoundExceeded):
		req.g.metrics.recordRejectedBody("client")
	case errors.Is(err, bodies.ErrBudgetExceeded):
		req.g.metrics.recordRejectedBody("host")
	}
	return body, err
}

// bodyClient returns the key of the client whose share of the memory for bodies the request uses: its customer, or else its peer address.
func (req *request) bodyClient(r *http.Request) string {
	if req.customer != nil {
		return "customer " + req.customer.Name
	}
	return "address " + hostName(r.RemoteAddr)
}
