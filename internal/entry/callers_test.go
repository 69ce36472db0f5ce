package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"

	"github.com/foxtailtack/foxtailtack/internal/forward"
	"github.com/foxtailtack/foxtailtack/internal/peer"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/rank"
	"github.com/foxtailtack/foxtailtack/internal/result"
	"github.com/foxtailtack/foxtailtack/internal/shutdown"
)

const callersPolicy = `
deployment = "test"
[[regions]]
name = "north"
[[failure_domains]]
name = "north-1"
region = "north"
[[hosts]]
id = "h1"
failure_domain = "north-1"
caller_address = "127.0.0.1:7001"
peer_address = "127.0.0.1:7002"
admin_address = "127.0.0.1:7003"
[[services]]
name = "orders"
team = "spares"
max_body_bytes = 16
max_request_ms = 4000
[[services.routes]]
method = "POST"
path_prefix = "/pay"
rank = "urgent"
[[services.routes]]
method = "GET"
path_prefix = "/stock"
rank = "interactive"
repeatable = true
[[services]]
name = "other"
team = "spares"
[[services.routes]]
path_prefix = "/"
rank = "deferrable"
[[backend_servers]]
id = "b1"
service = "orders"
failure_domain = "north-1"
address = "127.0.0.1:7101"
slots = 3
[[callers]]
id = "mill"
token_sha256 = "TOKEN"
services = ["orders"]
highest_rank = "urgent"
[[callers]]
id = "member"
token_sha256 = "MEMBER"
highest_rank = "interactive"
`

// recordingPipeline records the request that reached the pipeline.
type recordingPipeline struct {
	request *forward.Request
	// stopPlan is the plan of the host's stop, if it is stopping.
	stopPlan *shutdown.Plan
}

func (r *recordingPipeline) Handle(_ context.Context, request *forward.Request) *forward.Response {
	r.request = request
	return &forward.Response{Status: 200, Body: []byte("answer"), Host: "h1", Incarnation: 7}
}

func newCallersFixture(t *testing.T) (*recordingPipeline, http.Handler) {
	t.Helper()
	text := strings.NewReplacer("TOKEN", policy.HashToken("mill-token"), "MEMBER", policy.HashToken("member-token")).Replace(callersPolicy)
	doc, err := policy.Decode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err := policy.Compile(doc, 1, "c1")
	if err != nil {
		t.Fatal(err)
	}
	recording := &recordingPipeline{}
	handler := &callerHandler{
		snapshot: func() *policy.Snapshot { return snapshot },
		pipeline: recording,
		identity: func() peer.Identity { return peer.Identity{Host: "h1", Incarnation: 7} },
		metrics:  newCallerMetrics(tally.NoopScope),
		stopPlan: func() *shutdown.Plan { return recording.stopPlan },
	}
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	handler.register(router)
	return recording, router
}

// An invalid request of a caller must get its result code with not_run set, and must not reach the pipeline.
func TestServeRejectsInvalidRequests(t *testing.T) {
	long := strings.Repeat("k", maxIdempotencyKeyBytes+1)
	cases := []struct {
		name, method, path string
		header             map[string]string
		body               string
		want               result.Code
	}{
		{"unknown service", "GET", "/s/nothing/x", nil, "", result.UnknownService},
		{"no route", "DELETE", "/s/orders/pay", nil, "", result.NoRoute},
		{"outside the API", "GET", "/elsewhere", nil, "", result.BadRequest},
		{"unknown token", "GET", "/s/orders/stock", map[string]string{"Authorization": "Bearer wrong"}, "", result.UnknownCredential},
		{"token of another service", "GET", "/s/other/", map[string]string{"Authorization": "Bearer mill-token"}, "", result.UnknownCredential},
		{"timeout is not a number", "GET", "/s/orders/stock", map[string]string{headerTimeout: "soon"}, "", result.BadTimeout},
		{"timeout is zero", "GET", "/s/orders/stock", map[string]string{headerTimeout: "0"}, "", result.BadTimeout},
		{"timeout is too long", "GET", "/s/orders/stock", map[string]string{headerTimeout: "4001"}, "", result.BadTimeout},
		{"key is too long", "POST", "/s/orders/pay", map[string]string{headerIdempotency: long}, "", result.BadIdempotencyKey},
		{"key with a space", "POST", "/s/orders/pay", map[string]string{headerIdempotency: "a b"}, "", result.BadIdempotencyKey},
		{"body is too large", "POST", "/s/orders/pay", nil, strings.Repeat("x", 17), result.BodyTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			recording, handler := newCallersFixture(t)
			request := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
			for name, value := range c.header {
				request.Header.Set(name, value)
			}
			response := httptest.NewRecorder()
			handler.ServeHTTP(response, request)
			if got := response.Header().Get(result.Header); got != c.want.String() {
				t.Errorf("result is %q, want %q", got, c.want)
			}
			if response.Code != c.want.Describe().Status || !strings.Contains(response.Body.String(), `"not_run":true`) {
				t.Errorf("response is %d %s", response.Code, response.Body)
			}
			if recording.request != nil {
				t.Error("the request reached the pipeline")
			}
		})
	}
}

// Guards against a request that is passed on late in a stop, on a connection that its caller has opened earlier, and cut without a response
// when the process exits.
func TestStoppingHostRejectsRequestsThatItMayNotComplete(t *testing.T) {
	recording, handler := newCallersFixture(t)
	for timeout, want := range map[string]result.Code{"4000": result.HostLeaving, "500": result.OK} {
		now := time.Now()
		recording.request, recording.stopPlan = nil, &shutdown.Plan{LateFrom: now, AnswerBy: now.Add(2 * time.Second)}
		request := httptest.NewRequest("POST", "/s/orders/pay", nil)
		request.Header.Set(headerTimeout, timeout)
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, request)
		if passedOn := recording.request != nil; passedOn != (want == result.OK) {
			t.Errorf("a request with a timeout of %s ms is passed on: %v", timeout, passedOn)
		}
		if want != result.OK && (response.Header().Get(result.Header) != want.String() || !strings.Contains(response.Body.String(), `"not_run":true`)) {
			t.Errorf("a request with a timeout of %s ms gets %d %s", timeout, response.Code, response.Body)
		}
	}
}

// A caller must not raise its own rank, neither by a header nor by using a route of a higher rank than its credential allows.
func TestRankComesFromCredentialAndRoute(t *testing.T) {
	cases := []struct {
		name, method, path, token string
		want                      rank.Rank
	}{
		{"urgent route, urgent credential", "POST", "/s/orders/pay", "mill-token", rank.Urgent},
		{"interactive route, urgent credential", "GET", "/s/orders/stock", "mill-token", rank.Interactive},
		{"urgent route, interactive credential", "POST", "/s/orders/pay", "member-token", rank.Interactive},
		{"urgent route, no credential", "POST", "/s/orders/pay", "", rank.Deferrable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			recording, handler := newCallersFixture(t)
			request := httptest.NewRequest(c.method, c.path, nil)
			request.Header.Set("Foxtailtack-Rank", "urgent")
			request.Header.Set("X-Rank", "urgent")
			if c.token != "" {
				request.Header.Set("Authorization", "Bearer "+c.token)
			}
			handler.ServeHTTP(httptest.NewRecorder(), request)
			if recording.request == nil || recording.request.Rank != c.want {
				t.Fatalf("request is %+v, want rank %s", recording.request, c.want)
			}
		})
	}
}

// The backend server must receive the path and query as the caller wrote them, and never the caller's credential.
func TestServeKeepsPathAndQueryAndRemovesCredential(t *testing.T) {
	recording, handler := newCallersFixture(t)
	request := httptest.NewRequest("GET", "/s/orders/stock/a%2Fb//c?q=1&r=%20", nil)
	request.Header.Set("Authorization", "Bearer mill-token")
	request.Header.Set(headerTimeout, "1500")
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, request)
	got := recording.request
	if got == nil || got.Path != "/stock/a%2Fb//c?q=1&r=%20" || got.Timeout != 1500*time.Millisecond || !got.Repeatable {
		t.Fatalf("request is %+v", got)
	}
	if got.Header.Get("Authorization") != "" {
		t.Error("the credential was forwarded")
	}
	if response.Header().Get(headerHost) != "h1" || response.Header().Get(headerIncarnation) != "7" {
		t.Errorf("response does not name the host: %v", response.Header())
	}
}
