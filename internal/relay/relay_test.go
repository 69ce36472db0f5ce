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

func hostsIn(count, domains int) map[string]*catalog.Host {
	list := map[string]*catalog.Host{}
	for i := range count {
		id := fmt.Sprintf("h%d", i)
		list[id] = &catalog.Host{ID: id, FailureDomain: fmt.Sprintf("d%d", i%domains), PeerAddress: netip.MustParseAddrPort("127.0.0.1:1")}
	}
	return list
}

// On large deployments each failure domain must have one reader of the store and every other host a source. A domain without
// a reader would never receive changes, and additional readers cost calls of the store for each change.
func TestEachDomainHasOneReaderOnLargeDeployments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 9).Draw(t, "domains")
		view := &catalog.View{Hosts: hostsIn(rapid.IntRange(maxDirectHosts+1, 90).Draw(t, "hosts"), domains)}
		readersOf := map[string]int{}
		for _, h := range view.Hosts {
			if len(sources(view, h, func(string) bool { return false })) == 0 {
				readersOf[h.FailureDomain]++
			}
		}
		for domain, n := range readersOf {
			if n != readersPerDomain {
				t.Fatalf("failure domain %s has %d readers, want %d", domain, n, readersPerDomain)
			}
		}
		if len(readersOf) != min(domains, len(view.Hosts)) {
			t.Fatalf("%d of %d failure domains have a reader", len(readersOf), domains)
		}
	})
}

// On small deployments no host depends on another host for changes of the store.
func TestAllHostsReadStoreOnSmallDeployments(t *testing.T) {
	view := &catalog.View{Hosts: hostsIn(maxDirectHosts, 2)}
	for _, h := range view.Hosts {
		if len(sources(view, h, func(string) bool { return false })) != 0 {
			t.Fatalf("host %s follows another host", h.ID)
		}
	}
}

// fakeStore returns the error that the test sets.
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

func (s *fakeStore) Watch(_ context.Context, after catalog.Revision, _ time.Duration, _ func()) (catalog.Batch, error) {
	return catalog.Batch{Revision: after}, s.err
}

func (s *fakeStore) LatestRevision(context.Context) (catalog.Revision, error) { return 0, nil }

// changeBound is the time within which changes have to be in force in these tests.
const changeBound = 2500 * time.Millisecond

// ignoreConfiguration is the delivery of a source whose configurations do not matter.
func ignoreConfiguration(*catalog.Configuration) {}

// upstream is the state of another host. Its configuration is the one in its batch.
type upstream struct {
	batch      catalog.Batch
	departures catalog.Departures
	err        error
}

func (u *upstream) View() *catalog.View {
	view := &catalog.View{}
	for _, c := range u.batch.Changes {
		if c.Configuration != nil {
			view.Configuration = c.Configuration
		}
	}
	return view
}

func (u *upstream) Everything() catalog.Batch { return u.batch }
func (u *upstream) Departures(catalog.Period) catalog.Departures {
	return u.departures
}
func (u *upstream) After(context.Context, catalog.Revision, catalog.Version, time.Duration) (catalog.Batch, error) {
	return u.batch, u.err
}

func serve(t *testing.T, u Upstream) netip.AddrPort {
	t.Helper()
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listen.Close() })
	go func() { _ = Serve(listen, u, Receivers{}, zerolog.Nop()) }()
	return listen.Addr().(*net.TCPAddr).AddrPort()
}

func configurationChange() catalog.Change {
	return catalog.Change{Configuration: &catalog.Configuration{Version: 3, Routes: map[string][]*catalog.Route{"shop": {{Name: "r", Targets: []catalog.Target{{Service: "s", Weight: 1}}}}}}}
}

// A host whose calls the store rejects must get the configuration from another host, even at its start, when it knows only the
// seeds.
func TestListUsesSeedWhenStoreFails(t *testing.T) {
	seed := serve(t, &upstream{batch: catalog.Batch{Changes: []catalog.Change{configurationChange()}, Revision: 9, Age: time.Second}})
	store := &fakeStore{err: errors.New("refused")}
	view := &catalog.View{}
	s := NewSource(store, &catalog.Host{ID: "me"}, []netip.AddrPort{seed}, changeBound, func() *catalog.View { return view }, ignoreConfiguration, zerolog.Nop())
	batch, err := s.List(context.Background())
	if err != nil || batch.Revision != 9 || len(batch.Changes) != 1 || batch.Changes[0].Configuration.Version != 3 {
		t.Fatalf("got %+v, %v, want the configuration of the seed", batch, err)
	}
	if s.ReadsStore() {
		t.Fatal("the host reports that it reads the store")
	}
}

// A stale response of another host must not replace one of the store if the host already has a configuration.
func TestListRejectsStaleBatchWhenConfigured(t *testing.T) {
	seed := serve(t, &upstream{batch: catalog.Batch{Changes: []catalog.Change{configurationChange()}, Revision: 9, Age: time.Minute}})
	view := &catalog.View{Configuration: &catalog.Configuration{Version: 3}}
	s := NewSource(&fakeStore{err: errors.New("refused")}, &catalog.Host{ID: "me"}, []netip.AddrPort{seed}, changeBound, func() *catalog.View { return view }, ignoreConfiguration, zerolog.Nop())
	if batch, err := s.List(context.Background()); err == nil {
		t.Fatalf("got %+v, want an error", batch)
	}
}

// largeDeployment returns a view and one of its hosts. The host follows another host, whose peer address is given.
func largeDeployment(address netip.AddrPort) (*catalog.View, *catalog.Host) {
	view := &catalog.View{Hosts: hostsIn(maxDirectHosts+2, 1)}
	order := readerOrder(view.Hosts, "d0")
	order[0].PeerAddress = address
	return view, order[len(order)-1]
}

// If the followed host is stale or does not respond, the store must be read instead.
func TestWatchUsesStoreWhenSourceIsStaleOrDead(t *testing.T) {
	for name, u := range map[string]*upstream{"stale": {batch: catalog.Batch{Revision: 9, Age: time.Minute}}, "dead": nil} {
		address := netip.MustParseAddrPort("127.0.0.1:1")
		if u != nil {
			address = serve(t, u)
		}
		view, self := largeDeployment(address)
		s := NewSource(&fakeStore{}, self, nil, changeBound, func() *catalog.View { return view }, ignoreConfiguration, zerolog.Nop())
		batch, err := s.Watch(context.Background(), 7, time.Second)
		if err != nil || batch.Revision != 7 || !s.ReadsStore() {
			t.Errorf("%s: got %+v, %v, want the store's response", name, batch, err)
		}
	}
}

// A reader whose watch was interrupted must list from the store, because the hosts that follow it have no later state.
func TestReaderListsFromStore(t *testing.T) {
	view, self := withReaders(serve(t, &upstream{batch: catalog.Batch{Revision: 9}}))
	store := &fakeStore{}
	s := NewSource(store, self, nil, changeBound, func() *catalog.View { return view }, ignoreConfiguration, zerolog.Nop())
	if _, err := s.List(context.Background()); err != nil || store.lists != 1 {
		t.Fatalf("the store saw %d listings, %v, want 1", store.lists, err)
	}
}

// After an outage, the store must be read as soon as any call shows that it is available again. A host that waited for the end of
// the retry interval served an outdated configuration beyond the allowed time (kahva-coop, trouble-3, seed 1089307525498).
func TestStoreRespondedEndsStoreBackoff(t *testing.T) {
	store := &fakeStore{err: errors.New("silent")}
	view := &catalog.View{Configuration: &catalog.Configuration{Version: 3}}
	s := NewSource(store, &catalog.Host{ID: "me"}, nil, changeBound, func() *catalog.View { return view }, ignoreConfiguration, zerolog.Nop())
	if _, err := s.List(context.Background()); err == nil {
		t.Fatal("listing an unresponsive store returned no error")
	}
	store.err = nil
	s.StoreResponded()
	if batch, err := s.List(context.Background()); err != nil || batch.Revision != 7 {
		t.Fatalf("got %+v, %v, want the store's response", batch, err)
	}
}

// Hosts of the own failure domain follow the reader whose calls the store rejects, so they have no later state. Calling them first
// kept old information in use until it was stale.
func TestFallbackPrefersOtherFailureDomains(t *testing.T) {
	view := &catalog.View{Hosts: hostsIn(maxDirectHosts+2, 2)}
	s := NewSource(&fakeStore{}, view.Hosts["h0"], nil, changeBound, func() *catalog.View { return view }, ignoreConfiguration, zerolog.Nop())
	for range 50 {
		for _, target := range s.fallbackTargets(view) {
			if view.Hosts[target.id].FailureDomain == "d0" {
				t.Fatalf("host %s of the own failure domain is asked while 13 others are not", target.id)
			}
		}
	}
}

// If the followed host has compacted the requested changes, Watch must return ErrCompacted, so that the caller lists again
// instead of waiting for them.
func TestWatchReportsCompactedSource(t *testing.T) {
	view, self := withReaders(serve(t, &upstream{err: catalog.ErrCompacted}))
	s := NewSource(&fakeStore{}, self, nil, changeBound, func() *catalog.View { return view }, ignoreConfiguration, zerolog.Nop())
	if _, err := s.Watch(context.Background(), 7, time.Second); !errors.Is(err, catalog.ErrCompacted) {
		t.Fatalf("got %v, want ErrCompacted", err)
	}
}

// Guards against a panic in one call that ends the process, since net/rpc does not recover from panics.
func TestPanicFailsOneCallOnly(t *testing.T) {
	u := &failingUpstream{}
	address := serve(t, u)
	view := &catalog.View{Hosts: map[string]*catalog.Host{}}
	s := NewSource(&fakeStore{}, &catalog.Host{ID: "me"}, nil, changeBound, func() *catalog.View { return view }, ignoreConfiguration, zerolog.Nop())
	if _, err := s.ask(context.Background(), "other", address, WatchArgs{Everything: true}, time.Second); err == nil {
		t.Error("a call that panicked returned no error")
	}
	if batch, err := s.ask(context.Background(), "other", address, WatchArgs{Everything: true}, time.Second); err != nil || batch.Revision != 5 {
		t.Errorf("the next call: %v, revision %d", err, batch.Revision)
	}
}

// failingUpstream panics in its first call.
type failingUpstream struct {
	upstream
	called bool
}

func (u *failingUpstream) View() *catalog.View { return &catalog.View{} }

func (u *failingUpstream) Departures(catalog.Period) catalog.Departures { return catalog.Departures{} }

func (u *failingUpstream) Everything() catalog.Batch {
	if !u.called {
		u.called = true
		panic("unexpected")
	}
	return catalog.Batch{Revision: 5}
}

// withReaders returns a view of a large deployment, with one failure domain for each of the given addresses of readers, and a host
// that follows the first reader.
func withReaders(readers ...netip.AddrPort) (*catalog.View, *catalog.Host) {
	view := &catalog.View{Hosts: hostsIn(maxDirectHosts+9, len(readers)), Revision: 7, Configuration: &catalog.Configuration{Version: 1}}
	for i, address := range readers {
		readerOrder(view.Hosts, fmt.Sprintf("d%d", i))[0].PeerAddress = address
	}
	order := readerOrder(view.Hosts, "d0")
	return view, order[len(order)-1]
}

// Guards against hundreds of hosts that call an unavailable store, and that all list everything on its return. While readers of
// other failure domains are stale too, a host that follows others must not read the store.
func TestFollowerSkipsStoreWhenAllReadersAreStale(t *testing.T) {
	stale := &upstream{batch: catalog.Batch{Revision: 9, Age: 10 * time.Second}}
	view, self := withReaders(serve(t, stale), serve(t, stale), serve(t, stale))
	store := &fakeStore{}
	s := NewSource(store, self, nil, changeBound, func() *catalog.View { return view }, ignoreConfiguration, zerolog.Nop())
	s.setFollowingLocked("another host")
	if _, err := s.List(context.Background()); !errors.Is(err, errNoCurrentHost) {
		t.Errorf("List returned %v", err)
	}
	if _, err := s.Watch(context.Background(), 7, time.Second); !errors.Is(err, errNoCurrentHost) {
		t.Errorf("Watch returned %v", err)
	}
	if store.lists > 0 {
		t.Errorf("%d listings of the store", store.lists)
	}
	// Possibly only the called hosts have lost the store, so the host must not wait for them forever.
	s.nextStoreAttempt = time.Now().Add(-time.Millisecond)
	if _, err := s.List(context.Background()); err != nil || store.lists != 1 {
		t.Errorf("%v after %d listings, want one", err, store.lists)
	}
}

// If only one reader has lost the store, its followers must get the changes that other readers have.
func TestFollowerAsksOtherDomainsWhenReaderIsStale(t *testing.T) {
	stale := &upstream{batch: catalog.Batch{Revision: 9, Age: 10 * time.Second}}
	current := &upstream{batch: catalog.Batch{Revision: 11, Changes: []catalog.Change{configurationChange()}}}
	view, self := withReaders(serve(t, stale), serve(t, current), serve(t, current))
	store := &fakeStore{}
	s := NewSource(store, self, nil, changeBound, func() *catalog.View { return view }, ignoreConfiguration, zerolog.Nop())
	s.setFollowingLocked("another host")
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
