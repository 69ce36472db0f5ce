package backend_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/backend"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
	"github.com/foxtailtack/foxtailtack/internal/standin/backendserver"
)

// testTimeout limits the wait for an expected event. It is long because a busy machine may need much of it.
const testTimeout = 20 * time.Second

func port(n uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), n)
}

// fixture is one client with one stand-in over TCP.
type fixture struct {
	*testing.T
	standin *backendserver.Server
	client  *backend.Client
	service *policy.Service
	server  *policy.BackendServer
	lastID  int
}

func newFixture(t *testing.T, options backendserver.Options) *fixture {
	t.Helper()
	standin := backendserver.New(options)
	if err := standin.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = standin.Close() })
	client := backend.NewClient()
	client.SetConnectTimeout(testTimeout)
	t.Cleanup(client.Close)
	return &fixture{
		T:       t,
		standin: standin,
		client:  client,
		service: &policy.Service{
			Name: "s", MaxRequestMs: int(testTimeout.Milliseconds()), MaxResponseBytes: 1 << 20,
			Shed: policy.Shed{Status: 503, Header: "X-Not-Run"},
		},
		server: &policy.BackendServer{ID: "b1", Service: "s", Address: standin.Address(), Slots: 3, MaxConnections: 64},
	}
}

func (f *fixture) request(repeatable bool) *backend.Request {
	f.lastID++
	id := "r" + strconv.Itoa(f.lastID)
	r := &backend.Request{ID: id, Method: http.MethodPost, Path: "/work?n=1", Header: http.Header{}, Body: []byte("body-" + id), Repeatable: repeatable}
	if repeatable {
		r.Method = http.MethodGet
		r.Body = nil
	}
	// With this header http.Transport treats even a POST as replayable.
	r.Header.Set("Idempotency-Key", "key-"+id)
	return r
}

func (f *fixture) do(timeout time.Duration, r *backend.Request) backend.Result {
	f.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return f.client.Do(ctx, f.service, f.server, r)
}

// checkOwnResponse fails the test unless the result is a failure or the whole response to its own request.
func checkOwnResponse(t *testing.T, r *backend.Request, res backend.Result) {
	t.Helper()
	if res.Outcome != backend.Completed {
		if res.Failure == nil {
			t.Errorf("%v without a failure", res.Outcome)
		}
		return
	}
	if res.Failure != nil {
		t.Errorf("completed with failure %v", res.Failure)
	}
	var response backendserver.Answer
	if err := json.Unmarshal(res.Body, &response); err != nil {
		t.Errorf("response is not whole: %v", err)
	}
	if response.RequestID != r.ID || response.Body != string(r.Body) {
		t.Errorf("request %s got the response to %s with body %q", r.ID, response.RequestID, response.Body)
	}
}

type faultCase struct {
	name string
	// prepare runs after warm-up; the fault applies to the next attempt.
	prepare func(f *fixture)
	// warm opens a pooled connection first, so that repeatable work reuses it.
	warm    bool
	timeout time.Duration
	// repeatable and nonRepeatable are the expected results for the two kinds of work.
	repeatable, nonRepeatable expectation
}

type expectation struct {
	outcome backend.Outcome
	code    result.Code
	// executions is the number of times that the backend server runs the request.
	executions int
}

func inject(fault backendserver.Fault) func(f *fixture) {
	return func(f *fixture) { f.standin.Inject(fault, 1) }
}

func faultCases() []faultCase {
	lost := func(executions int) expectation {
		return expectation{backend.Unknown, result.ConnectionLost, executions}
	}
	incomplete := expectation{backend.Unknown, result.IncompleteResponse, 1}
	completed := expectation{backend.Completed, result.OK, 1}
	refused := expectation{backend.NotRun, result.ConnectFailed, 0}
	shed := expectation{backend.NotRun, result.BackendShed, 0}
	timeout := expectation{backend.Unknown, result.AttemptTimeout, 0}
	short := 2 * time.Second
	return []faultCase{
		{name: "none", prepare: func(*fixture) {}, warm: true, timeout: testTimeout, repeatable: completed, nonRepeatable: completed},
		{name: "connection refused", prepare: func(f *fixture) { f.standin.Refuse() }, timeout: testTimeout, repeatable: refused, nonRepeatable: refused},
		{name: "closed while the request is written", prepare: inject(backendserver.CloseDuringRead), timeout: testTimeout, repeatable: lost(0), nonRepeatable: lost(0)},
		{name: "closed after the request is read", prepare: inject(backendserver.CloseAfterRead), timeout: testTimeout, repeatable: lost(0), nonRepeatable: lost(0)},
		{name: "closed after the run", prepare: inject(backendserver.CloseAfterRun), timeout: testTimeout, repeatable: lost(1), nonRepeatable: lost(1)},
		{name: "closed after the run on a reused connection", prepare: inject(backendserver.CloseAfterRun), warm: true, timeout: testTimeout, repeatable: lost(1), nonRepeatable: lost(1)},
		{name: "reused connection closed as the request arrives", prepare: inject(backendserver.CloseReused), warm: true, timeout: testTimeout, repeatable: lost(0), nonRepeatable: completed},
		{name: "connection closed in mid-response", prepare: inject(backendserver.DieMidAnswer), timeout: testTimeout, repeatable: incomplete, nonRepeatable: incomplete},
		{name: "connection closed in mid-chunk", prepare: inject(backendserver.DieMidChunk), timeout: testTimeout, repeatable: incomplete, nonRepeatable: incomplete},
		{name: "response without length", prepare: inject(backendserver.NoLength), timeout: testTimeout, repeatable: incomplete, nonRepeatable: incomplete},
		{name: "unresponsive pooled connection", prepare: func(f *fixture) { f.standin.SilenceOpen() }, warm: true, timeout: short, repeatable: timeout, nonRepeatable: completed},
		{name: "unresponsive new connection", prepare: inject(backendserver.SilentNew), timeout: short, repeatable: timeout, nonRepeatable: timeout},
		{name: "shed", prepare: inject(backendserver.ShedAll), warm: true, timeout: testTimeout, repeatable: shed, nonRepeatable: shed},
		{name: "no response until the deadline", prepare: inject(backendserver.Stall), timeout: short,
			repeatable: expectation{backend.Unknown, result.AttemptTimeout, 1}, nonRepeatable: expectation{backend.Unknown, result.AttemptTimeout, 1}},
	}
}

// TestServerFaultsGiveExpectedOutcome guards against a second execution, a false "not run" and a partial response for each fault of
// a backend server.
func TestServerFaultsGiveExpectedOutcome(t *testing.T) {
	for _, c := range faultCases() {
		for _, repeatable := range []bool{true, false} {
			want := c.nonRepeatable
			if repeatable {
				want = c.repeatable
			}
			t.Run(fmt.Sprintf("%s/repeatable=%v", c.name, repeatable), func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, backendserver.Options{ID: "b1"})
				if c.warm {
					f.warmUp()
				}
				c.prepare(f)
				f.check(c.timeout, f.request(repeatable), want)
			})
		}
	}
}

// warmUp leaves an idle connection in the pool.
func (f *fixture) warmUp() {
	f.Helper()
	for range 2 {
		if res := f.do(testTimeout, f.request(true)); res.Outcome != backend.Completed {
			f.Fatalf("warm-up: %v", res.Failure)
		}
	}
}

func (f *fixture) check(timeout time.Duration, r *backend.Request, want expectation) {
	f.Helper()
	res := f.do(timeout, r)
	checkOwnResponse(f.T, r, res)
	code := result.OK
	if res.Failure != nil {
		code = res.Failure.Code
	}
	if res.Outcome != want.outcome || code != want.code {
		f.Errorf("got %v %v (%v), want %v %v", res.Outcome, code, res.Failure, want.outcome, want.code)
	}
	if (res.Outcome == backend.NotRun) != code.NotRun() {
		f.Errorf("outcome %v and code %v disagree on whether the request ran", res.Outcome, code)
	}
	f.standin.Clear()
	if got := f.standin.Stats().ByRequestID[r.ID]; got != want.executions {
		f.Errorf("%d executions, want %d", got, want.executions)
	}
	if d := f.standin.Stats().Duplicates(); len(d) != 0 {
		f.Errorf("duplicates: %v", d)
	}
}

// TestConnectionClosedBeforeReadIsNotRunOnlyIfNothingWritten guards against "not run" for a connection that the server accepted and
// closed, unless no byte was written. Whether a byte is written depends on timing.
func TestConnectionClosedBeforeReadIsNotRunOnlyIfNothingWritten(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		f := newFixture(t, backendserver.Options{ID: "b1"})
		f.standin.Inject(backendserver.CloseBeforeRead, 1)
		res := f.do(testTimeout, f.request(repeatable))
		if res.Outcome == backend.Completed {
			t.Errorf("completed on a closed connection")
		}
		if res.Outcome == backend.NotRun && res.BytesWritten > 0 {
			t.Errorf("not run although %d bytes were written", res.BytesWritten)
		}
		if n := f.standin.Stats().Executions; n != 0 {
			t.Errorf("%d executions", n)
		}
	}
}

// TestPlainTransportResendsRequest documents the failure that singleUseBody prevents: a plain http.Transport resends a request, which
// then runs twice, when a reused connection closes without a response. If a Go release changes this, review singleUseBody.
func TestPlainTransportResendsRequest(t *testing.T) {
	f := newFixture(t, backendserver.Options{ID: "b1"})
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	send := func(id string) (*http.Response, error) {
		r, err := http.NewRequest(http.MethodPost, "http://"+f.server.Address.String()+"/work", strings.NewReader("pay"))
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Idempotency-Key", id)
		return transport.RoundTrip(r)
	}
	for _, id := range []string{"warm", "pay"} {
		if id == "pay" {
			f.standin.Inject(backendserver.CloseAfterRun, 1)
		}
		res, err := send(id)
		if err != nil {
			t.Fatal(err)
		}
		var response backendserver.Answer
		// Transport returns the connection to its pool before it reports the end of the body.
		body, err := io.ReadAll(res.Body)
		if err != nil || json.Unmarshal(body, &response) != nil {
			t.Fatalf("response %q, %v", body, err)
		}
		_ = res.Body.Close()
	}
	if got := f.standin.Stats().ByKey["pay"]; got != 2 {
		t.Errorf("a plain Transport ran the payment %d times; review singleUseBody", got)
	}
}

// TestBeforeWriteErrorStopsAttempt guards against a process that was paused and sends a request after its claim on the slot expired.
func TestBeforeWriteErrorStopsAttempt(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		f := newFixture(t, backendserver.Options{ID: "b1"})
		f.warmUp()
		before := f.standin.Stats().Received
		r := f.request(repeatable)
		r.BeforeWrite = func() error { return result.Fail(result.HostLeaving, "paused") }
		res := f.do(testTimeout, r)
		if res.Outcome != backend.NotRun || res.Failure.Code != result.HostLeaving || res.BytesWritten != 0 {
			t.Errorf("got %+v", res)
		}
		r = f.request(repeatable)
		r.BeforeWrite = func() error { return errors.New("paused") }
		if res := f.do(testTimeout, r); res.Outcome != backend.NotRun || res.Failure.Code != result.HostLeaving {
			t.Errorf("got %+v", res)
		}
		if after := f.standin.Stats().Received; after != before {
			t.Errorf("%d requests reached the backend server", after-before)
		}
	}
}

// TestTimeoutHeaderCarriesRemainingTime guards against backend servers that work on requests whose caller no longer waits.
func TestTimeoutHeaderCarriesRemainingTime(t *testing.T) {
	f := newFixture(t, backendserver.Options{ID: "b1"})
	r := f.request(false)
	if res := f.do(7*time.Second, r); res.Outcome != backend.Completed {
		t.Fatal(res.Failure)
	}
	ms, err := strconv.Atoi(f.standin.Stats().Timeouts[r.ID])
	if err != nil || ms < 1 || ms > 7000 {
		t.Errorf("timeout header %d ms, %v; want 1 to 7000", ms, err)
	}
}

// TestResponseAboveLimitIsRejected guards against memory use by a response that exceeds the limit of the service,
// with and without a stated length.
func TestResponseAboveLimitIsRejected(t *testing.T) {
	f := newFixture(t, backendserver.Options{ID: "b1", AnswerBytes: 4096})
	f.service.MaxResponseBytes = 1024
	for _, repeatable := range []bool{true, false} {
		res := f.do(testTimeout, f.request(repeatable))
		if res.Outcome != backend.Unknown || res.Failure.Code != result.ResponseTooLarge {
			t.Errorf("got %v %v", res.Outcome, res.Failure)
		}
	}
}

// TestCancelledAttemptThatRanIsNotReportedNotRun guards against "not run" for a request whose first write starts while it is being
// cancelled.
func TestCancelledAttemptThatRanIsNotReportedNotRun(t *testing.T) {
	f := newFixture(t, backendserver.Options{ID: "b1", Slots: 1000})
	for i := range 300 {
		r := f.request(i%2 == 0)
		res := f.do(time.Duration(i)*5*time.Microsecond, r)
		if res.Outcome == backend.NotRun && f.standin.Stats().ByRequestID[r.ID] != 0 {
			t.Fatalf("%s ran and was reported as %v", r.ID, res.Failure)
		}
	}
	for id, n := range f.standin.Stats().ByRequestID {
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
}

// TestConnectionLimit guards against more connections than the backend server accepts.
func TestConnectionLimit(t *testing.T) {
	f := newFixture(t, backendserver.Options{ID: "b1", Slots: 100, ServiceTime: 50 * time.Millisecond})
	f.server.MaxConnections = 2
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			id := fmt.Sprint(i)
			r := &backend.Request{ID: id, Method: http.MethodGet, Path: "/" + id, Repeatable: i%2 == 0}
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			checkOwnResponse(t, r, f.client.Do(ctx, f.service, f.server, r))
		})
	}
	wg.Wait()
	if got := f.standin.Stats().MaxInUse; got > 2 {
		t.Errorf("%d requests ran at once over 2 connections", got)
	}
}

// TestIdleConnectionsAreClosedAfterUnresponsiveOne guards against requests that wait on one unresponsive pooled connection after
// another.
func TestIdleConnectionsAreClosedAfterUnresponsiveOne(t *testing.T) {
	f := newFixture(t, backendserver.Options{ID: "b1", ServiceTime: 50 * time.Millisecond})
	var wg sync.WaitGroup
	for range 3 {
		r := f.request(true)
		wg.Go(func() { f.do(testTimeout, r) })
	}
	wg.Wait()
	f.standin.SilenceOpen()
	if res := f.do(2*time.Second, f.request(true)); res.Outcome != backend.Unknown || res.ServerFault {
		t.Errorf("on an unresponsive connection: %+v", res)
	}
	if res := f.do(testTimeout, f.request(true)); res.Outcome != backend.Completed {
		t.Errorf("after an unresponsive connection: %v", res.Failure)
	}
}
