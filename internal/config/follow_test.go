package config_test

import (
	"context"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/foxtailtack/foxtailtack/internal/config"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/result"
	"github.com/foxtailtack/foxtailtack/internal/standin/platform"
	adapter "github.com/foxtailtack/foxtailtack/platform"
)

// maxPropagationDelay is the bound that invariant I8 sets for a deployment of the present size.
const maxPropagationDelay = 3 * time.Second

// process is a manager that reports the versions that come into force.
type process struct {
	*config.Manager
	versions chan policy.Version
}

func startProcess(url string, timeout time.Duration) process {
	m := config.NewManager(adapter.NewKeys(url, "test/", timeout), nil, zerolog.Nop())
	p := process{Manager: m, versions: make(chan policy.Version, 100)}
	m.Subscribe(func(s *policy.Snapshot) { p.versions <- s.Version })
	return p
}

func (p process) wait(t *testing.T, want policy.Version, limit time.Duration) {
	t.Helper()
	select {
	case got := <-p.versions:
		if got != want {
			t.Fatalf("version %d came into force, want %d", got, want)
		}
	case <-time.After(limit):
		t.Fatalf("version %d is not in force after %v", want, limit)
	}
}

func change(t *testing.T, id string, base policy.Version) config.Change {
	t.Helper()
	text, err := os.ReadFile("testdata/policy.toml")
	if err != nil {
		t.Fatal(err)
	}
	doc, err := policy.Decode(text)
	if err != nil {
		t.Fatal(err)
	}
	return config.Change{ID: id, Operator: "olga", Base: base, Document: doc}
}

// An accepted version must come into force in a delegate within the bound, including when the watch lags, a response is lost or
// after the store was down. The delegate must stop when its context is cancelled.
func TestFollowStoreOverHTTP(t *testing.T) {
	p := platform.New()
	server := httptest.NewServer(p)
	defer server.Close()
	ctx, stop := context.WithCancel(context.Background())
	operator, delegate := startProcess(server.URL, time.Second), startProcess(server.URL, time.Second)
	done := make(chan struct{})
	go func() { delegate.FollowStore(ctx); close(done) }()

	apply := func(id string, base policy.Version) {
		t.Helper()
		accepted, err := operator.Apply(ctx, change(t, id, base))
		if err != nil || accepted.Version != base+1 || accepted.AlreadyAccepted {
			t.Fatalf("change %s: %+v, %v", id, accepted, err)
		}
		delegate.wait(t, base+1, maxPropagationDelay)
	}
	apply("first", 0)
	p.SetWatchLag(time.Minute)
	apply("while the watch lags", 1)
	p.SetWatchLag(0)
	p.LoseAnswers(2)
	apply("with lost answers", 2)

	p.SetDown(platform.Refuse)
	if _, err := operator.Apply(ctx, change(t, "down", 3)); err == nil || result.FromError(err).Code != result.StoreUnavailable {
		t.Fatalf("store down: got %v, want store_unavailable", err)
	}
	p.SetDown(platform.Up)
	apply("after the outage", 3)
	history, err := operator.History(ctx, 10)
	if err != nil || len(history) != 4 {
		t.Fatalf("history has %d versions, want 4: %v", len(history), err)
	}
	stop()
	select {
	case <-done:
	case <-time.After(maxPropagationDelay):
		t.Fatal("FollowStore still runs after its context was cancelled")
	}
}
