package entry

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/foxtailtack/foxtailtack/internal/backend"
	"github.com/foxtailtack/foxtailtack/internal/config"
	"github.com/foxtailtack/foxtailtack/internal/peer"
	"github.com/foxtailtack/foxtailtack/internal/settings"
)

// A health request during a policy change that added a service locked the capacity and the cluster in the opposite order, and
// the host deadlocked.
func TestHealthDoesNotDeadlockWithConfigure(t *testing.T) {
	now := time.Now()
	snapshot := newTwoDomainPolicy(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &Entry{settings: &settings.Settings{}, config: config.NewManager(nil, nil, zerolog.Nop()), peers: peer.NewClient(netip.Addr{}, nil)}
	if e.peerServer, err = peer.NewServer(listener, peerHandler{e}, e.log); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = e.peerServer.Close() }()
	e.cluster = newCluster("a1", "a", defaultSlotOptions(), rand.New(rand.NewPCG(1, 1)), now)
	e.registry = backend.NewRegistry(backend.RegistryOptions{Seed: 1})

	const rounds = 2000
	configured := make(chan struct{})
	e.capacity = newCapacity(e.cluster, e.registry, false)
	go func() {
		defer close(configured)
		for range rounds {
			e.capacity.mu.Lock()
			clear(e.capacity.controllers)
			e.capacity.mu.Unlock()
			e.capacity.configure(snapshot)
		}
	}()
	timeout := time.After(30 * time.Second)
	for {
		completed := make(chan struct{})
		go func() {
			defer close(completed)
			e.health(now)
		}()
		select {
		case <-configured:
			return
		case <-completed:
		case <-timeout:
			t.Fatal("the health request and the policy change are deadlocked")
		}
	}
}
