package backend_test

import (
	"context"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/backend"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/standin/backendserver"
)

// startPoller starts a poller for the stand-in server and returns a function that waits for a state.
func startPoller(t *testing.T, s *backendserver.Server) func(name string, want func(backend.Status) bool) {
	t.Helper()
	doc := &policy.Document{
		Deployment:     "test",
		Regions:        []policy.Region{{Name: "r"}},
		FailureDomains: []policy.FailureDomain{{Name: "d", Region: "r"}},
		Hosts:          []policy.Host{{ID: "h", FailureDomain: "d", CallerAddress: port(1), PeerAddress: port(2), AdminAddress: port(3)}},
		Services:       []policy.Service{{Name: "s", Team: "t", Routes: []policy.Route{{PathPrefix: "/"}}}},
		BackendServers: []policy.BackendServer{{ID: "b1", Service: "s", FailureDomain: "d", Address: s.Address(), Slots: 3}},
	}
	snapshot, err := policy.Compile(doc, 1, "c")
	if err != nil {
		t.Fatal(err)
	}
	registry := backend.NewRegistry(backend.RegistryOptions{Seed: 1})
	registry.Configure(snapshot, "d", time.Now())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		backend.NewPoller(registry).Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return func(name string, want func(backend.Status) bool) {
		t.Helper()
		deadline := time.Now().Add(testTimeout)
		for !want(registry.Statuses(time.Now())[0]) {
			if time.Now().After(deadline) {
				t.Fatalf("not %s: %+v", name, registry.Statuses(time.Now()))
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// TestPollerDetectsDrainFailureAndReturn guards against a drain notice, a failed backend server or its return that no poll detects.
func TestPollerDetectsDrainFailureAndReturn(t *testing.T) {
	s := backendserver.New(backendserver.Options{ID: "b1"})
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	wait := startPoller(t, s)
	s.SetDraining(true)
	wait("leaving", func(st backend.Status) bool { return st.Leaving })
	s.SetDraining(false)
	wait("back", func(st backend.Status) bool { return !st.Leaving })
	s.Die()
	wait("ejected", func(st backend.Status) bool { return st.Ejected })
	if err := s.Accept(); err != nil {
		t.Fatal(err)
	}
	wait("returned", func(st backend.Status) bool { return !st.Ejected })
	s.Inject(backendserver.SilentNew, -1)
	s.SilenceOpen()
	wait("ejected while unresponsive", func(st backend.Status) bool { return st.Ejected })
}
