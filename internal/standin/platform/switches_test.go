package platform_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/hostlist"
	"github.com/foxtailtack/foxtailtack/internal/standin/platform"
	"github.com/foxtailtack/foxtailtack/internal/store"
	adapter "github.com/foxtailtack/foxtailtack/platform"
)

const timeout = 5 * time.Second

func post(t *testing.T, url string, want int) {
	t.Helper()
	response, err := http.Post(url, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != want {
		t.Fatalf("POST %s: status %d, want %d", url, response.StatusCode, want)
	}
}

// The demo and measurements inject faults over HTTP. A switch that has no effect would make them pass for nothing.
func TestSwitchesTakeEffect(t *testing.T) {
	server := httptest.NewServer(platform.New())
	defer server.Close()
	ctx := context.Background()
	kv, hosts := adapter.NewKeys(server.URL, "", timeout), hostlist.NewHTTP(server.URL, timeout)

	post(t, server.URL+"/standin/hosts/h1?state=live", http.StatusNoContent)
	post(t, server.URL+"/standin/hosts/h2?state=leaving", http.StatusNoContent)
	post(t, server.URL+"/standin/freeze-hosts?on=true", http.StatusNoContent)
	post(t, server.URL+"/standin/hosts/h1?state=removed", http.StatusNoContent)
	if list, err := hosts.Fetch(ctx); err != nil || len(list.Hosts) != 2 {
		t.Fatalf("frozen list: got %v, %v, want both hosts", list.Hosts, err)
	}
	post(t, server.URL+"/standin/freeze-hosts?on=false", http.StatusNoContent)
	if list, err := hosts.Fetch(ctx); err != nil || len(list.Hosts) != 1 || list.Hosts["h2"] != hostlist.Leaving {
		t.Fatalf("list: got %v, %v, want h2 leaving", list.Hosts, err)
	}

	post(t, server.URL+"/standin/lose-answers?n=1", http.StatusNoContent)
	if _, err := kv.CompareAndSwap(ctx, "k", []byte("a"), 0); !errors.Is(err, store.ErrOutcomeUnknown) {
		t.Fatalf("lost answer: got %v", err)
	}
	const lag = 60 * time.Millisecond
	post(t, server.URL+"/standin/watch-lag?ms=60", http.StatusNoContent)
	start := time.Now()
	if _, err := kv.Watch(ctx, "k", 0, store.WatchWait); err != nil || time.Since(start) < lag {
		t.Fatalf("lagging watch: %v after %v", err, time.Since(start))
	}
	post(t, server.URL+"/standin/down?mode=refuse", http.StatusNoContent)
	if _, err := kv.Get(ctx, "k"); !errors.Is(err, store.ErrUnavailable) {
		t.Fatalf("down: got %v", err)
	}
	post(t, server.URL+"/standin/down?mode=unknown", http.StatusBadRequest)
	checkStats(t, server.URL)
}

func checkStats(t *testing.T, url string) {
	t.Helper()
	response, err := http.Get(url + "/standin/stats")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var got platform.Stats
	if err := json.NewDecoder(response.Body).Decode(&got); err != nil {
		t.Fatal(err)
	}
	want := platform.Stats{Calls: 5, Reads: 1, Writes: 1, Watches: 1, HostLists: 2}
	if got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}
