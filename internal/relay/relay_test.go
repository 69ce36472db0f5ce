package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
)

func hosts(count, domains int) map[string]*catalog.Host {
	list := map[string]*catalog.Host{}
	for i := range count {
		id := fmt.Sprintf("h%d", i)
		list[id] = &catalog.Host{ID: id, FailureDomain: fmt.Sprintf("d%d", i%domains), PeerAddress: netip.MustParseAddrPort("127.0.0.1:1")}
	}
	return list
}

// On large deployments each failure domain must have one reader of the store and every other host a source; a domain without
// a reader would never hear of changes, and one of readers only pays for each of them.
func TestEachDomainHasOneReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 9).Draw(t, "domains")
		view := &catalog.View{Hosts: hosts(rapid.IntRange(directHosts+1, 90).Draw(t, "hosts"), domains)}
		readersOf := map[string]int{}
		for _, h := range view.Hosts {
			if len(sources(view, h, func(string) bool { return false })) == 0 {
				readersOf[h.FailureDomain]++
			}
		}
		for domain, n := range readersOf {
			if n != readers {
				t.Fatalf("failure domain %s has %d readers, want %d", domain, n, readers)
			}
		}
		if len(readersOf) != min(domains, len(view.Hosts)) {
			t.Fatalf("%d of %d failure domains have a reader", len(readersOf), domains)
		}
	})
}

// Small deployments do not depend on other hosts for news of the store.
func TestSmallDeploymentsReadTheStore(t *testing.T) {
	view := &catalog.View{Hosts: hosts(directHosts, 2)}
	for _, h := range view.Hosts {
		if len(sources(view, h, func(string) bool { return false })) != 0 {
			t.Fatalf("host %s follows another host", h.ID)
		}
	}
}

// fakeStore answers as the test says.
type fakeStore struct {
	mu    sync.Mutex
	err   error
	lists int
}

func (s *fakeStore) List(context.Context) (catalog.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	return catalog.Batch{Revision: 7}, s.err
}

func (s *fakeStore) Watch(_ context.Context, after catalog.Revision, _ time.Duration) (catalog.Batch, error) {
	return catalog.Batch{Revision: after}, s.err
}

func (s *fakeStore) Reached(context.Context) (catalog.Revision, error) { return 0, nil }

// upstream is what another host knows.
type upstream struct {
	batch catalog.Batch
	err   error
}

func (u *upstream) Everything() catalog.Batch { return u.batch }
func (u *upstream) After(context.Context, catalog.Revision, time.Duration) (catalog.Batch, error) {
	return u.batch, u.err
}

func serve(t *testing.T, u Upstream) netip.AddrPort {
	t.Helper()
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listen.Close() })
	go func() { _ = Serve(listen, u, zerolog.Nop()) }()
	return listen.Addr().(*net.TCPAddr).AddrPort()
}

func configured() catalog.Change {
	return catalog.Change{Configuration: &catalog.Configuration{Version: 3, Routes: map[string][]*catalog.Route{"shop": {{Name: "r", Targets: []catalog.Target{{Service: "s", Weight: 1}}}}}}}
}

// A host that the store refuses learns the configuration from another host, also at its start, when it knows only the seeds.
func TestSeedsReplaceTheStore(t *testing.T) {
	seed := serve(t, &upstream{batch: catalog.Batch{Changes: []catalog.Change{configured()}, Revision: 9, Age: time.Second}})
	store := &fakeStore{err: errors.New("refused")}
	view := &catalog.View{}
	s := NewSource(store, &catalog.Host{ID: "me"}, []netip.AddrPort{seed}, func() *catalog.View { return view }, zerolog.Nop())
	batch, err := s.List(context.Background())
	if err != nil || batch.Revision != 9 || len(batch.Changes) != 1 || batch.Changes[0].Configuration.Version != 3 {
		t.Fatalf("got %+v, %v, want the configuration of the seed", batch, err)
	}
	if s.Direct() {
		t.Fatal("the host counts as one that reads the store")
	}
}

// Old news of another host must not stand for the store's: a host with a configuration goes without.
func TestOldNewsIsNoReplacement(t *testing.T) {
	seed := serve(t, &upstream{batch: catalog.Batch{Changes: []catalog.Change{configured()}, Revision: 9, Age: time.Minute}})
	view := &catalog.View{Configuration: &catalog.Configuration{Version: 3}}
	s := NewSource(&fakeStore{err: errors.New("refused")}, &catalog.Host{ID: "me"}, []netip.AddrPort{seed}, func() *catalog.View { return view }, zerolog.Nop())
	if batch, err := s.List(context.Background()); err == nil {
		t.Fatalf("got %+v, want an error", batch)
	}
}

// large returns a view in which the host "me" follows one other host, whose peer address is given.
func large(address netip.AddrPort) (*catalog.View, *catalog.Host) {
	view := &catalog.View{Hosts: hosts(directHosts+2, 1)}
	order := readerOrder(view.Hosts, "d0")
	order[0].PeerAddress = address
	return view, order[len(order)-1]
}

// A relay whose news is old, or that does not answer, must be replaced by the store within its own bounds.
func TestStaleOrDeadRelayIsReplacedByTheStore(t *testing.T) {
	for name, u := range map[string]*upstream{"stale": {batch: catalog.Batch{Revision: 9, Age: time.Minute}}, "dead": nil} {
		address := netip.MustParseAddrPort("127.0.0.1:1")
		if u != nil {
			address = serve(t, u)
		}
		view, self := large(address)
		s := NewSource(&fakeStore{}, self, nil, func() *catalog.View { return view }, zerolog.Nop())
		batch, err := s.Watch(context.Background(), 7, time.Second)
		if err != nil || batch.Revision != 7 || !s.Direct() {
			t.Errorf("%s: got %+v, %v, want the store's answer", name, batch, err)
		}
	}
}

// A host that read the store and whose watch was cut must list from the store: those that follow others know no more.
func TestReaderListsFromTheStore(t *testing.T) {
	view, self := withReaders(serve(t, &upstream{batch: catalog.Batch{Revision: 9}}))
	store := &fakeStore{}
	s := NewSource(store, self, nil, func() *catalog.View { return view }, zerolog.Nop())
	if _, err := s.List(context.Background()); err != nil || store.lists != 1 {
		t.Fatalf("the store saw %d listings, %v, want 1", store.lists, err)
	}
}

// After an outage the store is tried as soon as any call shows that it is back. A host that waited for the time of its next try
// served an old configuration after its bound (kahva-coop, trouble-3, seed 1089307525498).
func TestAnsweredCallEndsTheWaitForTheStore(t *testing.T) {
	store := &fakeStore{err: errors.New("silent")}
	view := &catalog.View{Configuration: &catalog.Configuration{Version: 3}}
	s := NewSource(store, &catalog.Host{ID: "me"}, nil, func() *catalog.View { return view }, zerolog.Nop())
	if _, err := s.List(context.Background()); err == nil {
		t.Fatal("a silent store counted as read")
	}
	store.err = nil
	s.StoreAnswered()
	if batch, err := s.List(context.Background()); err != nil || batch.Revision != 7 {
		t.Fatalf("got %+v, %v, want the store's answer", batch, err)
	}
}

// Hosts of the own failure domain follow the reader that the store refuses, so they know no more than it does. Asking them first
// kept old news in use until it was stale.
func TestRefusedReaderAsksOtherDomainsFirst(t *testing.T) {
	view := &catalog.View{Hosts: hosts(directHosts+2, 2)}
	s := NewSource(&fakeStore{}, view.Hosts["h0"], nil, func() *catalog.View { return view }, zerolog.Nop())
	for range 50 {
		for _, target := range s.fallbackTargets(view) {
			if view.Hosts[target.id].FailureDomain == "d0" {
				t.Fatalf("host %s of the own failure domain is asked while 13 others are not", target.id)
			}
		}
	}
}

// What a relay has compacted must be read anew instead of waiting for it.
func TestCompactedRelayIsTold(t *testing.T) {
	view, self := withReaders(serve(t, &upstream{err: catalog.ErrCompacted}))
	s := NewSource(&fakeStore{}, self, nil, func() *catalog.View { return view }, zerolog.Nop())
	if _, err := s.Watch(context.Background(), 7, time.Second); !errors.Is(err, catalog.ErrCompacted) {
		t.Fatalf("got %v, want ErrCompacted", err)
	}
}

// An unexpected error in one call took the whole process down, since net/rpc does not catch it.
func TestUnexpectedErrorEndsOneCallOnly(t *testing.T) {
	u := &failingUpstream{}
	address := serve(t, u)
	view := &catalog.View{Hosts: map[string]*catalog.Host{}}
	s := NewSource(&fakeStore{}, &catalog.Host{ID: "me"}, nil, func() *catalog.View { return view }, zerolog.Nop())
	if _, err := s.ask(context.Background(), "other", address, WatchArgs{Everything: true}, time.Second); err == nil {
		t.Error("a call that met an unexpected error has no error")
	}
	if batch, err := s.ask(context.Background(), "other", address, WatchArgs{Everything: true}, time.Second); err != nil || batch.Revision != 5 {
		t.Errorf("the next call: %v, revision %d", err, batch.Revision)
	}
}

// failingUpstream meets an unexpected error in its first call.
type failingUpstream struct {
	upstream
	called bool
}

func (u *failingUpstream) Everything() catalog.Batch {
	if !u.called {
		u.called = true
		panic("unexpected")
	}
	return catalog.Batch{Revision: 5}
}

// withReaders returns a view of a large deployment in which the hosts that read the store have the given addresses, the first one in the failure
// domain of a host that follows it.
func withReaders(readers ...netip.AddrPort) (*catalog.View, *catalog.Host) {
	view := &catalog.View{Hosts: hosts(directHosts+9, len(readers)), Revision: 7, Configuration: &catalog.Configuration{Version: 1}}
	for i, address := range readers {
		readerOrder(view.Hosts, fmt.Sprintf("d%d", i))[0].PeerAddress = address
	}
	order := readerOrder(view.Hosts, "d0")
	return view, order[len(order)-1]
}

// On the return of the store each of hundreds of hosts listed everything, and before it each of them tried. While readers of other failure
// domains have only old news too, a host that follows others leaves the store alone.
func TestFollowersLeaveAStoreAloneThatNobodyHears(t *testing.T) {
	old := &upstream{batch: catalog.Batch{Revision: 9, Age: 10 * time.Second}}
	view, self := withReaders(serve(t, old), serve(t, old), serve(t, old))
	store := &fakeStore{}
	s := NewSource(store, self, nil, func() *catalog.View { return view }, zerolog.Nop())
	s.follow("another host")
	if _, err := s.List(context.Background()); !errors.Is(err, errStoreAway) {
		t.Errorf("a listing ends with %v", err)
	}
	if _, err := s.Watch(context.Background(), 7, time.Second); !errors.Is(err, errStoreAway) {
		t.Errorf("a watch ends with %v", err)
	}
	if store.lists > 0 {
		t.Errorf("%d listings of the store", store.lists)
	}
	// A host that is cut off from the others' sources alone must not wait for ever.
	s.storeDueAt = time.Now().Add(-time.Millisecond)
	if _, err := s.List(context.Background()); err != nil || store.lists != 1 {
		t.Errorf("%v after %d listings, want one", err, store.lists)
	}
}

// A reader that is cut off alone must not keep its followers from news that others have.
func TestFollowersOfAStaleReaderAskOtherDomains(t *testing.T) {
	old := &upstream{batch: catalog.Batch{Revision: 9, Age: 10 * time.Second}}
	fresh := &upstream{batch: catalog.Batch{Revision: 11, Changes: []catalog.Change{configured()}}}
	view, self := withReaders(serve(t, old), serve(t, fresh), serve(t, fresh))
	store := &fakeStore{}
	s := NewSource(store, self, nil, func() *catalog.View { return view }, zerolog.Nop())
	s.follow("another host")
	batch, err := s.List(context.Background())
	if err != nil || batch.Revision != 11 || batch.Since != 7 {
		t.Errorf("revision %d since %d, %v; want 11 since the known 7", batch.Revision, batch.Since, err)
	}
	if batch, err := s.Watch(context.Background(), 7, time.Second); err != nil || batch.Revision != 11 {
		t.Errorf("watch: revision %d, %v", batch.Revision, err)
	}
	if store.lists > 0 {
		t.Errorf("%d listings of the store", store.lists)
	}
}
