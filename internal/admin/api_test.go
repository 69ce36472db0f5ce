package admin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"github.com/foxtailtack/foxtailtack/internal/admin"
	"github.com/foxtailtack/foxtailtack/internal/admin/admintest"
	"github.com/foxtailtack/foxtailtack/internal/config"
	"github.com/foxtailtack/foxtailtack/internal/lookup"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

var startTime = time.Date(2026, 12, 4, 3, 0, 0, 0, time.UTC)

const (
	platformToken = "token-of-operator-platform"
	sparesToken   = "token-of-operator-spares"
)

// document returns a policy with two services of different teams and 4 backend servers for each service.
func document(t testing.TB) *policy.Document {
	t.Helper()
	var text strings.Builder
	fmt.Fprintf(&text, `
deployment = "test"
[[regions]]
name = "north"
[[failure_domains]]
name = "north-1"
region = "north"
[[hosts]]
id = "h1"
failure_domain = "north-1"
caller_address = "192.0.2.1:7080"
peer_address = "192.0.2.1:7081"
admin_address = "192.0.2.1:7082"
[[services]]
name = "catalogue"
team = "spares"
[[services.routes]]
path_prefix = "/"
rank = "interactive"
[[services]]
name = "payment"
team = "orders"
[[services.routes]]
path_prefix = "/"
rank = "urgent"
[[operators]]
name = "platform"
team = "*"
token_sha256 = %q
[[operators]]
name = "spares-duty"
team = "spares"
token_sha256 = %q
`, policy.HashToken(platformToken), policy.HashToken(sparesToken))
	for i := range 8 {
		fmt.Fprintf(&text, "[[backend_servers]]\nid = \"b%d\"\nservice = %q\nfailure_domain = \"north-1\"\naddress = \"198.51.100.%d:8080\"\nslots = 3\n",
			i, []string{"catalogue", "payment"}[i/4], i+1)
	}
	doc, err := policy.Decode([]byte(text.String()))
	if err != nil {
		t.Fatal(err)
	}
	policy.FillDefaults(doc)
	return doc
}

type testServer struct {
	configuration *admintest.Configuration
	router        *mux.Router
}

func newServer(t testing.TB) *testServer {
	t.Helper()
	s := newEmptyServer()
	if _, err := s.configuration.Apply(context.Background(), config.Change{ID: "first", Operator: "platform", Document: document(t)}); err != nil {
		t.Fatal(err)
	}
	return s
}

func newEmptyServer() *testServer {
	s := &testServer{configuration: admintest.NewConfiguration(startTime), router: mux.NewRouter()}
	status := admintest.Status{Configuration: s.configuration, FailureDomain: "north-1"}
	admin.New(admin.Options{
		HostID: "h1", FailureDomain: "north-1", Configuration: s.configuration, Status: status,
		Lookup: lookup.NewResolver("h1"), View: status, Now: func() time.Time { return startTime }, Log: zerolog.Nop(),
	}).Register(s.router)
	return s
}

// send sends a request to the API. header holds alternating header names and values.
func (s *testServer) send(method, path, token string, body io.Reader, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, body)
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	s.router.ServeHTTP(w, r)
	return w
}

func wantFailure(t *testing.T, w *httptest.ResponseRecorder, want result.Code) {
	t.Helper()
	var body admin.FailureBody
	if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil {
		t.Fatalf("%d %s: %v", w.Code, w.Body, err)
	}
	d := want.Describe()
	if body.Code != want || body.Name != d.Name || w.Code != d.Status || body.Message == "" || body.NextStep == "" {
		t.Fatalf("status %d, body %+v, want %s with message and next step", w.Code, body, want)
	}
	if w.Header().Get(admin.HeaderHost) != "h1" {
		t.Fatal("the response does not name the entry host")
	}
}

// Guards against failure responses without code, name, message or next step, and against commands that take effect although
// the token, the change id, the base version or the body is missing or invalid.
func TestCommandRejectsBadRequests(t *testing.T) {
	s := newServer(t)
	drain := `{"backend_server":"b0"}`
	for name, c := range map[string]struct {
		path, token, body string
		header            []string
		want              result.Code
	}{
		"no token":             {"drain", "", drain, []string{admin.HeaderChangeID, "c"}, result.Unauthenticated},
		"unknown token":        {"drain", "other", drain, []string{admin.HeaderChangeID, "c"}, result.Unauthenticated},
		"no change id":         {"drain", platformToken, drain, nil, result.BadRequest},
		"long change id":       {"drain", platformToken, drain, []string{admin.HeaderChangeID, strings.Repeat("c", 257)}, result.BadRequest},
		"long reason":          {"drain", platformToken, drain, []string{admin.HeaderChangeID, "c", admin.HeaderReason, strings.Repeat("r", 257)}, result.BadRequest},
		"base is not a number": {"drain", platformToken, drain, []string{admin.HeaderChangeID, "c", admin.HeaderBaseVersion, "-1"}, result.BadRequest},
		"stale base":           {"drain", platformToken, drain, []string{admin.HeaderChangeID, "c", admin.HeaderBaseVersion, "0"}, result.VersionConflict},
		"invalid JSON":         {"drain", platformToken, "b0", []string{admin.HeaderChangeID, "c"}, result.BadRequest},
		"large JSON":           {"drain", platformToken, `"` + strings.Repeat("x", 70_000) + `"`, []string{admin.HeaderChangeID, "c"}, result.BadRequest},
		"apply without base":   {"apply", platformToken, "", []string{admin.HeaderChangeID, "c"}, result.BadRequest},
		"apply of other text":  {"apply", platformToken, "x", []string{admin.HeaderChangeID, "c", admin.HeaderBaseVersion, "1"}, result.InvalidPolicy},
	} {
		t.Run(name, func(t *testing.T) {
			w := s.send(http.MethodPost, admin.CommandPath+c.path, c.token, strings.NewReader(c.body), c.header...)
			wantFailure(t, w, c.want)
			if s.configuration.Head().Version != 1 {
				t.Fatal("a rejected request changed the policy")
			}
		})
	}
}

// Guards against running out of memory because of large bodies of unauthenticated requests. The token is checked before the
// body is read.
func TestCommandDoesNotReadBodyOfUnauthenticatedRequest(t *testing.T) {
	s := newServer(t)
	body := &countingReader{}
	wantFailure(t, s.send(http.MethodPost, admin.CommandPath+"apply", "other", body, admin.HeaderChangeID, "c", admin.HeaderBaseVersion, "1"), result.Unauthenticated)
	if body.readCalls > 0 {
		t.Fatalf("the body was read %d times", body.readCalls)
	}
}

type countingReader struct{ readCalls int }

func (r *countingReader) Read([]byte) (int, error) { r.readCalls++; return 0, io.EOF }

// Guards against unauthenticated queries: policies contain token hashes and addresses.
func TestQueriesRejectRequestsWithoutToken(t *testing.T) {
	s := newServer(t)
	for _, query := range []string{"policy", "history", "hosts", "slots", "backend-servers", "explain?service=catalogue&client=192.0.2.1"} {
		wantFailure(t, s.send(http.MethodGet, admin.QueryPath+query, "", nil), result.Unauthenticated)
	}
	for query, want := range map[string]result.Code{
		"policy?version=x": result.BadRequest, "policy?version=9": result.VersionNotFound, "history?limit=0": result.BadRequest,
		"explain?service=catalogue&client=x": result.BadClientAddress, "explain?service=catalogue&client=192.0.2.1": result.NotReady,
	} {
		wantFailure(t, s.send(http.MethodGet, admin.QueryPath+query, sparesToken, nil), want)
	}
}

// Guards against takeover of a deployment. With an empty store no operator is known, so the first apply must carry the token
// of an operator of all teams in the document. A process that just hasn't received the configuration yet must reject a
// change that is based on a later version.
func TestFirstApplyRequiresTokenOfAllTeamsOperatorInDocument(t *testing.T) {
	s := newEmptyServer()
	text, err := policy.Encode(document(t))
	if err != nil {
		t.Fatal(err)
	}
	apply := func(token, base string) *httptest.ResponseRecorder {
		return s.send(http.MethodPost, admin.CommandPath+"apply", token, strings.NewReader(string(text)), admin.HeaderChangeID, "c", admin.HeaderBaseVersion, base)
	}
	wantFailure(t, apply("", "0"), result.Unauthenticated)
	wantFailure(t, apply(sparesToken, "0"), result.Unauthenticated)
	wantFailure(t, apply(platformToken, "3"), result.NotReady)
	if w := apply(platformToken, "0"); w.Code != http.StatusOK || s.configuration.Head().Version != 1 {
		t.Fatalf("%d %s", w.Code, w.Body)
	}
}

// Guards against concurrent edits that are lost or take effect twice. A drain must be in the accepted policy if and only if
// it was reported as accepted, and each accepted drain creates one version.
func TestConcurrentDrainsAreAppliedIffAccepted(t *testing.T) {
	s := newServer(t)
	codes := make([]int, 8)
	var wg sync.WaitGroup
	for i := range codes {
		wg.Go(func() {
			body := strings.NewReader(fmt.Sprintf(`{"backend_server":"b%d"}`, i))
			codes[i] = s.send(http.MethodPost, admin.CommandPath+"drain", platformToken, body, admin.HeaderChangeID, fmt.Sprintf("c%d", i)).Code
		})
	}
	wg.Wait()
	accepted := 0
	for i, code := range codes {
		drained := s.configuration.Snapshot().Drained(fmt.Sprintf("b%d", i))
		if (code == http.StatusOK) != drained || code != http.StatusOK && code != http.StatusConflict {
			t.Errorf("b%d: status %d, drained %v", i, code, drained)
		}
		if drained {
			accepted++
		}
	}
	if got := s.configuration.Head().Version; got != policy.Version(accepted+1) {
		t.Errorf("version is %d after %d accepted changes to version 1", got, accepted)
	}
}

// Guards against an edit that is repeated without limit while changes of other operators keep causing version conflicts.
func TestEditReturnsVersionConflictAfterThreeAttempts(t *testing.T) {
	s := newServer(t)
	conflicts := 0
	var applyConflictingChange func()
	applyConflictingChange = func() {
		conflicts++
		doc, _ := s.configuration.Load(context.Background(), s.configuration.Head().Version)
		doc.DrainedBackendServers = []string{fmt.Sprintf("b%d", conflicts)}
		_, _ = s.configuration.Apply(context.Background(), config.Change{ID: fmt.Sprint("conflict", conflicts), Base: s.configuration.Head().Version, Document: doc})
		s.configuration.BeforeNextApply(applyConflictingChange)
	}
	s.configuration.BeforeNextApply(applyConflictingChange)
	w := s.send(http.MethodPost, admin.CommandPath+"drain", platformToken, strings.NewReader(`{"backend_server":"b0"}`), admin.HeaderChangeID, "c")
	wantFailure(t, w, result.VersionConflict)
	if conflicts != 3 {
		t.Fatalf("%d attempts, want 3", conflicts)
	}
}

// Guards against accepting a policy with more site orders than a lookup table can hold, which no entry host could load.
func TestApplyRejectsPolicyWithTooManySiteOrders(t *testing.T) {
	s := newServer(t)
	doc := document(t)
	for i := range 300 {
		doc.Sites = append(doc.Sites, policy.Site{Name: fmt.Sprintf("s%d", i), FailureDomain: "north-1"})
	}
	var text strings.Builder
	encoded, _ := policy.Encode(doc)
	text.Write(encoded)
	for i := range lookup.MaxOrders + 1 {
		fmt.Fprintf(&text, "[[blocks]]\nprefix = \"20.%d.%d.0/24\"\nsites = [\"s%d\", \"s%d\"]\n", i>>8, i&255, i%300, i/300)
	}
	w := s.send(http.MethodPost, admin.CommandPath+"apply", platformToken, strings.NewReader(text.String()), admin.HeaderChangeID, "c", admin.HeaderBaseVersion, "1")
	wantFailure(t, w, result.InvalidPolicy)
	if !strings.Contains(w.Body.String(), "65536th") {
		t.Fatal(w.Body)
	}
}
