package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/backend"
	"github.com/foxtailtack/foxtailtack/internal/catalog"
	"github.com/foxtailtack/foxtailtack/internal/placement"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

const (
	// maxAnswerBytes bounds an answer that is held in memory.
	maxAnswerBytes = 16 << 20
	// unsentTries is the number of further servers that a request is offered to after no connection could be opened. Nothing
	// arrives anywhere by that, so it uses neither attempts nor the retry budget.
	unsentTries = 3
)

// errPaused ends an attempt whose decision was made before a pause of the process. It says nothing against the server.
var errPaused = result.Fail(result.ConnectFailed, "the process was paused after the decision")

// answer is the whole answer of a backend server.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// run offers the request to backend servers until one has answered or nothing more may be tried.
func (req *request) run(ctx context.Context) (*answer, *result.Failure) {
	g := req.g
	g.withTable(func(t *placement.Table) {
		req.target = t.Service(req.route, req.view.Configuration.Version)
		t.RecordRequest(req.target)
	})
	ctx, cancel := context.WithDeadline(ctx, req.deadline.Add(answerMargin))
	defer cancel()
	for {
		decision, failure := req.place()
		if failure != nil {
			return req.end(failure)
		}
		res := req.attempt(ctx, &decision)
		v := judge(req, &res, g.dialect)
		g.logAttempt(req, &decision, &res, v)
		if v.answer != nil {
			req.kept = v.answer
		}
		if v.failure != nil || v.again {
			req.failed++
			switch {
			case v.failure == errPaused:
			case req.refusedWithRoom(v.failure):
				req.refusedBy = append(req.refusedBy, decision.Server.ID)
			default:
				req.tried = append(req.tried, decision.Server.ID)
			}
		}
		if ctx.Err() != nil || !v.again || !req.mayTryAgain(v) {
			return req.end(v.failure)
		}
	}
}

// refusedWithRoom reports whether the latest server refused the request though it has a free slot. It may then get the request again: it
// has the object warm, and other servers are as likely to refuse.
func (req *request) refusedWithRoom(failure *result.Failure) bool {
	if failure == nil || failure.Code != result.BackendShed {
		return false
	}
	req.g.mu.Lock()
	defer req.g.mu.Unlock()
	return req.g.table.HasFreeSlot(&req.last, time.Now())
}

// mayTryAgain reports whether another server may get the request after an attempt that failed.
func (req *request) mayTryAgain(v verdict) bool {
	if !v.sent {
		req.unsent++
		return req.unsent <= unsentTries
	}
	req.sent++
	return req.sent < req.route.Attempts && req.spendRetry()
}

// end returns the answer of a server, even if it is a failure of the server, or else the failure. After an attempt that may
// have run, a refusal would be a false promise.
func (req *request) end(failure *result.Failure) (*answer, *result.Failure) {
	switch {
	case req.kept != nil:
		return req.kept, nil
	case failure.Code.NotRun() && req.mayHaveRun:
		return nil, result.Fail(result.ConnectionLost, "an earlier attempt may have run; then: %s", failure.Message)
	default:
		return nil, failure
	}
}

func (req *request) spendRetry() bool {
	req.g.mu.Lock()
	defer req.g.mu.Unlock()
	return req.g.table.SpendRetry(req.target)
}

// placementRequest is the request as placement sees it.
func (req *request) placementRequest() *placement.Request {
	object := req.info.Object
	if !req.route.Sticky || object == "" {
		object = req.info.ID
	}
	return &placement.Request{Route: req.route, Service: req.target, Object: object, Deadline: req.deadline, Excluded: req.tried}
}

// place decides where the request goes and counts it there.
func (req *request) place() (placement.Decision, *result.Failure) {
	g := req.g
	req.epoch = g.pauses.Check()
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	r := req.placementRequest()
	req.last = g.table.Choose(r, now)
	if req.last.Server != nil && !g.table.StartAttempt(&req.last, now) {
		req.last.Server, req.last.Reason = nil, placement.ReasonColdLimit
	}
	if req.last.Server != nil {
		return req.last, nil
	}
	return req.last, result.Fail(rejection(req.last.Reason), "%s: %s", req.target, req.last.Reason)
}

func rejection(reason placement.Reason) result.Code {
	switch reason {
	case placement.ReasonNoUsableServer, placement.ReasonServiceNotConfigured:
		return result.NoBackendServer
	case placement.ReasonDeadlineTooEarly:
		return result.TimeoutTooShort
	default:
		return result.NoCapacity
	}
}

// attempt sends the request to the server of a decision and notes the end.
func (req *request) attempt(ctx context.Context, d *placement.Decision) backend.Result {
	g := req.g
	service := &policy.Service{Name: req.target, MaxAnswerBytes: maxAnswerBytes}
	server := &policy.BackendServer{
		ID: d.Server.ID, Service: req.target, FailureDomain: d.Server.FailureDomain, Address: d.Server.Address,
		Slots: d.Server.Slots, MaxConnections: req.connections(),
	}
	epoch := req.epoch
	// A late copy of the refusal would carry this request's id, and would be taken for the promise that this attempt did not run.
	again := slices.Contains(req.refusedBy, d.Server.ID)
	res := g.backends.Do(ctx, service, server, &backend.Request{
		ID: req.info.ID, ServerID: d.Server.ID, Method: req.method, Path: req.path, Header: req.header, Body: req.body,
		BeforeWrite: func() error {
			if g.pauses.Check() != epoch {
				return errPaused
			}
			return nil
		},
		Repeatable: req.route.Idempotent, Fresh: again, Bodies: req.bodies, Budget: max(time.Millisecond, time.Until(req.deadline)-d.RoundTrip),
	})
	info := g.dialect.Answer(res.Header)
	now := time.Now()
	observation := &placement.AttemptResult{
		ConnectTime: res.Connect, Duration: res.Duration,
		Completed: res.Outcome == backend.Answered && res.Status < http.StatusInternalServerError,
		Shed:      res.Failure != nil && res.Failure.Code == result.BackendShed,
		Failed:    res.ServerFault || res.Endless || res.Outcome == backend.Answered && res.Status >= http.StatusInternalServerError && res.Status != http.StatusGatewayTimeout,
		Requests:  info.Load.Running + info.Load.Waiting, HasRequests: info.HasLoad,
	}
	ejected := false
	g.withTable(func(t *placement.Table) { ejected = t.EndAttempt(d, req.placementRequest(), observation, now) })
	if ejected {
		g.log.Warn().Str("server", d.Server.ID).Str("request_id", req.info.ID).Msg("server_ejected")
	}
	return res
}

// connections returns this host's share of the connections that a server accepts.
func (req *request) connections() int {
	service := req.view.Configuration.Services[req.target]
	if service == nil {
		return 1
	}
	return max(2, service.MaxConnections/max(1, len(req.view.Hosts)))
}

// verdict is what the end of an attempt means for the request.
type verdict struct {
	// answer is the server's answer, if it may go to the caller.
	answer  *answer
	failure *result.Failure
	// again is true if another server may be tried.
	again bool
	// sent is true if the attempt may have reached the server.
	sent bool
}

// judge decides what the end of an attempt means.
func judge(req *request, res *backend.Result, dialect Dialect) verdict {
	switch res.Outcome {
	case backend.NotRun:
		return verdict{failure: res.Failure, again: res.Failure.Code != result.CallerGone, sent: res.BytesWritten > 0}
	case backend.Answered:
		return judgeAnswer(req, res, dialect)
	default:
		req.mayHaveRun = true
		return verdict{failure: res.Failure, again: req.route.Idempotent, sent: true}
	}
}

func judgeAnswer(req *request, res *backend.Result, dialect Dialect) verdict {
	stamped := dialect.Answer(res.Header).Stamped
	switch {
	case !stamped && res.Status < http.StatusMultipleChoices:
		req.mayHaveRun = true
		return verdict{failure: result.Fail(result.IncompleteAnswer, "the answer with status %d does not come from a backend server", res.Status), again: req.route.Idempotent, sent: true}
	case promisesNotRun(res.Status):
		// The server did not promise it, so the caller must not read such a promise in its answer.
		req.mayHaveRun = true
		return verdict{failure: result.Fail(result.ConnectionLost, "the backend server failed with status %d and may have run the request", res.Status), again: req.route.Idempotent, sent: true}
	}
	a := &answer{status: res.Status, header: res.Header, body: res.Body}
	again := req.route.Idempotent && res.Status >= http.StatusInternalServerError && res.Status != http.StatusGatewayTimeout
	return verdict{answer: a, again: again, sent: true}
}

// promisesNotRun reports whether callers read a status as a promise that the request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// logAttempt writes the line of an attempt that did not end the request well.
func (g *Gateway) logAttempt(req *request, d *placement.Decision, res *backend.Result, v verdict) {
	if v.failure == nil && !v.again {
		return
	}
	event := g.log.Info().Str("request_id", req.info.ID).Str("server", d.Server.ID).Str("outcome", res.Outcome.String()).
		Int("status", res.Status).Bool("reused", res.Reused).Int64("bytes_written", res.BytesWritten).
		Int64("took_ms", res.Duration.Milliseconds()).Float64("load", d.Load).Int64("load_age_ms", d.LoadAge.Milliseconds()).Bool("again", v.again)
	if v.failure != nil {
		event.Str("failure", v.failure.Message)
	}
	event.Msg("attempt_failed")
}

// retain forgets connections to servers that are gone.
func retain(backends *backend.Client, view *catalog.View) {
	backends.Retain(func(id string) bool { return view.Servers[id] != nil })
}
