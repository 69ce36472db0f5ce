package hostlist_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/hostlist"
	"github.com/foxtailtack/foxtailtack/internal/standin/platform"
)

const timeout = 5 * time.Second

func newSource(t *testing.T, handler http.Handler) *hostlist.HTTP {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return hostlist.NewHTTP(server.URL, timeout)
}

// A list that is empty, truncated or has an unknown state must be an error: a host that is missing from a list counts as gone,
// and its slots would then be used by another host.
func TestFetchRejectsInvalidLists(t *testing.T) {
	for _, body := range []string{`{"hosts":{}}`, `{}`, `{"hosts":{"h1":"li`, `{"hosts":{"h1":"paused"}}`} {
		source := newSource(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
		if list, err := source.Fetch(context.Background()); err == nil || list.Hosts != nil {
			t.Errorf("%s: got %v, %v, want an error and no list", body, list, err)
		}
	}
	p := platform.New()
	p.SetHost("h1", hostlist.Live)
	p.SetDown(platform.Refuse)
	if _, err := newSource(t, p).Fetch(context.Background()); err == nil {
		t.Error("status 503: want an error")
	}
}

// The age of a list counts from the time at which the request is sent, so that a slow response does not make the list look more
// recent than it is.
func TestFetchedAtIsTheTimeOfTheRequest(t *testing.T) {
	p := platform.New()
	p.SetHost("h1", hostlist.Leaving)
	const slow = 100 * time.Millisecond
	p.SetSlow(slow)
	list, err := newSource(t, p).Fetch(context.Background())
	if err != nil || list.Hosts["h1"] != hostlist.Leaving {
		t.Fatalf("got %v, %v", list, err)
	}
	if age := time.Since(list.FetchedAt); age < slow {
		t.Fatalf("list is %v old, want at least %v", age, slow)
	}
}

// An unchanged list must be returned with a new time and without transferring its body. A change, or the removal of all hosts, must be
// visible in the next fetch: an outdated list would keep slots of a dead host idle, or give the slots of a live host to another one.
func TestUnchangedListUsesNotModified(t *testing.T) {
	p := platform.New()
	p.SetHost("h1", hostlist.Live)
	var statuses []int
	source := newSource(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		p.ServeHTTP(recorder, r)
		statuses = append(statuses, recorder.Code)
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	fetch := func() hostlist.List {
		t.Helper()
		list, err := source.Fetch(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		return list
	}
	first, second := fetch(), fetch()
	if second.Hosts["h1"] != hostlist.Live || !second.FetchedAt.After(first.FetchedAt) {
		t.Fatalf("second list %+v, want the same hosts at a later time than %v", second, first.FetchedAt)
	}
	p.SetHost("h1", hostlist.Leaving)
	if changed := fetch(); changed.Hosts["h1"] != hostlist.Leaving {
		t.Fatalf("after the change: got %v", changed.Hosts)
	}
	p.RemoveHost("h1")
	if list, err := source.Fetch(context.Background()); err == nil {
		t.Fatalf("empty list: got %v, want an error", list)
	}
	if want := []int{200, 304, 200, 200}; !slices.Equal(statuses, want) {
		t.Fatalf("statuses %v, want %v", statuses, want)
	}
}

// A 304 response to a request without an ETag contains no list, so it must not count as evidence.
func TestNotModifiedWithoutETagIsAnError(t *testing.T) {
	source := newSource(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotModified) }))
	if list, err := source.Fetch(context.Background()); err == nil {
		t.Fatalf("got %v, want an error", list)
	}
}
