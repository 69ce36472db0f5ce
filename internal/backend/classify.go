package backend

import (
	"context"
	"errors"
	"net/http"

	"github.com/foxtailtack/foxtailtack/internal/bodies"
	"github.com/foxtailtack/foxtailtack/internal/httpconn"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// minFinalStatus is the lowest status of a final response. net/http also accepts a response with a lower one, such as 000, and the
// response to a request to switch protocols, which no attempt makes. Such a status cannot be sent to a caller.
const minFinalStatus = http.StatusOK

// errorResult classifies an attempt that ended with an error instead of a response.
func (a *attempt) errorResult(ctx context.Context, err error) Result {
	nothingWritten, hookErr := a.writes.close()
	if !nothingWritten {
		return Result{Outcome: Unknown, Failure: a.sentFailure(ctx, err)}
	}
	return Result{Outcome: NotRun, Failure: a.unsentFailure(ctx, err, hookErr)}
}

// unsentFailure returns the reason why nothing was sent.
func (a *attempt) unsentFailure(ctx context.Context, err, hookErr error) *result.Failure {
	var f *result.Failure
	switch {
	case errors.As(hookErr, &f):
		return f
	case errors.Is(err, errConnLimit):
		return result.Fail(result.NoCapacity, "all %d connections to %s are in use", a.server.MaxConnections, a.server.ID)
	case hookErr != nil:
		return result.Fail(result.HostLeaving, "%v", hookErr)
	case errors.Is(ctx.Err(), context.Canceled):
		return result.Fail(result.CallerGone, "cancelled before anything was sent to %s", a.server.ID)
	default:
		return result.Fail(result.ConnectFailed, "nothing was sent to %s: %v", a.server.ID, err)
	}
}

// sentFailure returns the failure of an attempt that the backend server may have run.
func (a *attempt) sentFailure(ctx context.Context, err error) *result.Failure {
	if a.writes.isHeadInvalid() {
		return result.Fail(result.IncompleteResponse, "the answer of %s: %v", a.server.ID, httpconn.ErrInvalidHead)
	}
	if ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded) {
		return result.Fail(result.AttemptTimeout, "no whole answer of %s in time: %v", a.server.ID, err)
	}
	return result.Fail(result.ConnectionLost, "connection to %s: %v", a.server.ID, err)
}

// readResponse reads the whole response and classifies it.
func (a *attempt) readResponse(ctx context.Context, conns *serverConns, response *http.Response) Result {
	header, draining := a.protocol.responseHeader(response.Header)
	res := Result{Outcome: Unknown, Draining: draining}
	echoed := response.Header.Get(a.protocol.RequestIDHeader)
	conns.recordEcho(echoed != "")
	if announced := parseKeepAlive(response.Header); announced > 0 {
		conns.recordKeepAlive(announced)
	}
	if response.StatusCode < minFinalStatus {
		res.Failure = result.Fail(result.IncompleteResponse, "the answer of %s has the invalid status %03d", a.server.ID, response.StatusCode)
		return res
	}
	if echoed != a.req.ID && (echoed != "" || a.protocol.EchoRequired || a.wasReused()) {
		a.writes.setAnswered(false)
		res.Failure = result.Fail(result.ConnectionLost, "%s answered request %q instead of %q", a.server.ID, echoed, a.req.ID)
		return res
	}
	body, failure := a.readBody(ctx, response)
	if failure != nil {
		res.Failure = failure
		res.TooLargeWithoutLength = failure.Code == result.ResponseTooLarge && response.ContentLength < 0
		return res
	}
	if a.isShed(response) {
		res.Outcome = NotRun
		res.Status = response.StatusCode
		res.Header = header
		res.Failure = result.Fail(result.BackendShed, "%s refused the request without running it", a.server.ID)
		return res
	}
	res.Outcome = Completed
	res.Status = response.StatusCode
	res.Header = header
	res.Body = body
	return res
}

// isShed reports whether the response is one that, by the protocol or the policy, guarantees that the request did not run.
func (a *attempt) isShed(response *http.Response) bool {
	if a.protocol.NotRun != nil {
		return a.protocol.NotRun(response.StatusCode, response.Header)
	}
	shed := a.service.Shed
	if shed.Header == "" || response.StatusCode != shed.Status {
		return false
	}
	return response.Header.Get(shed.Header) != ""
}

// readBody reads at most MaxResponseBytes, and no more than the remaining budget for all bodies. A response that is delimited only
// by the close of the connection cannot be distinguished from a truncated one, so it counts as incomplete unless the protocol
// allows it.
func (a *attempt) readBody(ctx context.Context, response *http.Response) ([]byte, *result.Failure) {
	if isUnframed(response) && !a.protocol.AllowUnframed {
		return nil, result.Fail(result.IncompleteResponse, "the answer of %s has neither a length nor chunks", a.server.ID)
	}
	limit := a.service.MaxResponseBytes
	if response.ContentLength > limit && response.Request.Method != http.MethodHead {
		return nil, result.Fail(result.ResponseTooLarge, "the answer of %s has %d bytes, limit %d", a.server.ID, response.ContentLength, limit)
	}
	body, err := a.req.Bodies.ReadAll(response.Body, limit)
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, bodies.ErrTooLong):
		return nil, result.Fail(result.ResponseTooLarge, "the answer of %s exceeds %d bytes", a.server.ID, limit)
	case errors.Is(err, bodies.ErrBudgetExceeded):
		return nil, result.Fail(result.ResponseTooLarge, "the answer of %s after %d bytes: %v", a.server.ID, len(body), err)
	case ctx.Err() != nil:
		return nil, result.Fail(result.AttemptTimeout, "the answer of %s did not end in time", a.server.ID)
	default:
		return nil, result.Fail(result.IncompleteResponse, "the answer of %s ended early: %v", a.server.ID, err)
	}
}

// isServerFault reports whether an attempt counts against the health of the backend server. A reused connection that is closed or
// unresponsive does not count, since new connections may work; health polls detect a server that is unresponsive on all connections.
func isServerFault(ctx context.Context, res Result) bool {
	if res.Failure == nil || res.Reused || errors.Is(ctx.Err(), context.Canceled) {
		return false
	}
	switch res.Failure.Code {
	case result.ConnectFailed:
		return ctx.Err() == nil || res.Duration >= connectTimeout
	case result.AttemptTimeout:
		return res.Duration >= minServerFaultWait
	case result.ConnectionLost, result.IncompleteResponse:
		return true
	default:
		return false
	}
}

// isUnframed reports whether a response has neither a length nor chunks. It is also true for a response that switches protocols,
// since the body of such a response never ends.
func isUnframed(response *http.Response) bool {
	if response.StatusCode == http.StatusSwitchingProtocols {
		return true
	}
	if response.Request.Method == http.MethodHead {
		return false
	}
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}
