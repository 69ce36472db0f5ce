package backend

import (
	"context"
	"errors"
	"net/http"

	"github.com/foxtailtack/foxtailtack/internal/bodies"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// failed classifies an attempt that has no answer.
func (a *attempt) failed(ctx context.Context, err error) Result {
	nothingWritten, stopped := a.proof.end()
	if !nothingWritten {
		return Result{Outcome: Unknown, Failure: a.sentFailure(ctx, err)}
	}
	return Result{Outcome: NotRun, Failure: a.unsentFailure(ctx, err, stopped)}
}

// unsentFailure tells why nothing was sent.
func (a *attempt) unsentFailure(ctx context.Context, err, stopped error) *result.Failure {
	var f *result.Failure
	switch {
	case errors.As(stopped, &f):
		return f
	case errors.Is(err, errConnLimit):
		return result.Fail(result.NoCapacity, "all %d connections to %s are in use", a.server.MaxConnections, a.server.ID)
	case stopped != nil:
		return result.Fail(result.HostLeaving, "%v", stopped)
	case errors.Is(ctx.Err(), context.Canceled):
		return result.Fail(result.CallerGone, "cancelled before anything was sent to %s", a.server.ID)
	default:
		return result.Fail(result.ConnectFailed, "nothing was sent to %s: %v", a.server.ID, err)
	}
}

// sentFailure tells how an attempt ended that may have run.
func (a *attempt) sentFailure(ctx context.Context, err error) *result.Failure {
	if ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded) {
		return result.Fail(result.AttemptTimeout, "no whole answer of %s in time: %v", a.server.ID, err)
	}
	return result.Fail(result.ConnectionLost, "connection to %s: %v", a.server.ID, err)
}

// read reads the whole answer and classifies it.
func (a *attempt) read(ctx context.Context, conns *serverConns, answer *http.Response) Result {
	header, draining := a.protocol.answerHeader(answer.Header)
	res := Result{Outcome: Unknown, Draining: draining}
	echoed := answer.Header.Get(a.protocol.RequestIDHeader)
	conns.named(echoed != "")
	if echoed != a.req.ID && (echoed != "" || a.protocol.EchoRequired || a.wasReused()) {
		res.Failure = result.Fail(result.ConnectionLost, "%s answered request %q instead of %q", a.server.ID, echoed, a.req.ID)
		return res
	}
	body, failure := a.readBody(ctx, answer)
	if failure != nil {
		res.Failure = failure
		res.Endless = failure.Code == result.AnswerTooLarge && answer.ContentLength < 0
		return res
	}
	if a.isShed(answer) {
		res.Outcome = NotRun
		res.Status = answer.StatusCode
		res.Header = header
		res.Failure = result.Fail(result.BackendShed, "%s refused the request without running it", a.server.ID)
		return res
	}
	res.Outcome = Answered
	res.Status = answer.StatusCode
	res.Header = header
	res.Body = body
	return res
}

// isShed reports whether the answer is the one by which the protocol or the policy promises "not run".
func (a *attempt) isShed(answer *http.Response) bool {
	if a.protocol.NotRun != nil {
		return a.protocol.NotRun(answer.StatusCode, answer.Header)
	}
	shed := a.service.Shed
	if shed.Header == "" || answer.StatusCode != shed.Status {
		return false
	}
	return answer.Header.Get(shed.Header) != ""
}

// readBody reads at most MaxAnswerBytes, and no more than the budget of all bodies has. An answer whose end is only marked by the
// end of the connection cannot be told from one that was cut off, so it counts as incomplete unless the protocol allows it.
func (a *attempt) readBody(ctx context.Context, answer *http.Response) ([]byte, *result.Failure) {
	if hasNoLength(answer) && !a.protocol.AllowUnframed {
		return nil, result.Fail(result.IncompleteAnswer, "the answer of %s has neither a length nor chunks", a.server.ID)
	}
	limit := a.service.MaxAnswerBytes
	if answer.ContentLength > limit && answer.Request.Method != http.MethodHead {
		return nil, result.Fail(result.AnswerTooLarge, "the answer of %s has %d bytes, limit %d", a.server.ID, answer.ContentLength, limit)
	}
	body, err := a.req.Bodies.ReadAll(answer.Body, limit)
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, bodies.ErrTooLong):
		return nil, result.Fail(result.AnswerTooLarge, "the answer of %s exceeds %d bytes", a.server.ID, limit)
	case errors.Is(err, bodies.ErrBudgetExceeded):
		return nil, result.Fail(result.AnswerTooLarge, "the answer of %s after %d bytes: %v", a.server.ID, len(body), err)
	case ctx.Err() != nil:
		return nil, result.Fail(result.AttemptTimeout, "the answer of %s did not end in time", a.server.ID)
	default:
		return nil, result.Fail(result.IncompleteAnswer, "the answer of %s ended early: %v", a.server.ID, err)
	}
}

// isServerFault tells whether an attempt counts against the health of the backend server. The end or the silence of a
// pooled connection does not, since new connections may work; health polls find a backend server that is silent on all.
func isServerFault(ctx context.Context, res Result) bool {
	if res.Failure == nil || res.Reused || errors.Is(ctx.Err(), context.Canceled) {
		return false
	}
	switch res.Failure.Code {
	case result.ConnectFailed:
		return ctx.Err() == nil || res.Duration >= connectTimeout
	case result.AttemptTimeout:
		return res.Duration >= minTimeoutEvidence
	case result.ConnectionLost, result.IncompleteAnswer:
		return true
	default:
		return false
	}
}

// hasNoLength also holds for an answer that switches protocols, since that never ends.
func hasNoLength(answer *http.Response) bool {
	if answer.StatusCode == http.StatusSwitchingProtocols {
		return true
	}
	if answer.Request.Method == http.MethodHead {
		return false
	}
	return answer.ContentLength < 0 && len(answer.TransferEncoding) == 0
}
