package relay

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
)

// searchingState misses removals until it has learned from a host that misses none.
type searchingState struct {
	mu      sync.Mutex
	learned []catalog.Departures
	missed  catalog.Period
	found   chan struct{}
}

func newSearchingState() *searchingState {
	return &searchingState{missed: catalog.Period{From: time.Minute}, found: make(chan struct{})}
}

func (s *searchingState) MissedRemovals() (catalog.Period, catalog.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.missed, 7
}

func (s *searchingState) LearnDepartures(d catalog.Departures) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learned = append(s.learned, d)
	if d.Missed.IsEmpty() && !s.missed.IsEmpty() {
		s.missed = catalog.Period{}
		close(s.found)
	}
}

// Guards against a restarted host that believes the first host that it asks: that one may be new too, be away, or be of an earlier build.
func TestHostAsksUntilOneKnowsTheRemovals(t *testing.T) {
	unreachable := netip.MustParseAddrPort("127.0.0.1:1")
	view := &catalog.View{Revision: 7, Hosts: map[string]*catalog.Host{"me": {ID: "me"}, "gone": {ID: "gone", PeerAddress: unreachable}}}
	for _, id := range []string{"new-1", "new-2", "new-3", "new-4"} {
		address := serve(t, &upstream{departures: catalog.Departures{Missed: catalog.Period{From: time.Minute}}})
		view.Hosts[id] = &catalog.Host{ID: id, PeerAddress: address}
	}
	removed := []catalog.Removal{{ID: "s0", Incarnation: 1, Sequence: 7}}
	view.Hosts["old"] = &catalog.Host{ID: "old", FailureDomain: "far", PeerAddress: serve(t, &upstream{departures: catalog.Departures{Removed: removed}})}
	state := newSearchingState()
	s := NewSource(&fakeStore{}, view.Hosts["me"], nil, changeBound, func() *catalog.View { return view }, ignoreConfiguration, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.RunDepartures(ctx, state)
	}()
	select {
	case <-state.found:
	case <-time.After(15 * time.Second):
		t.Error("the host that knows the removals was not asked")
	}
	cancel()
	<-ended
	if last := state.learned[len(state.learned)-1]; len(last.Removed) != 1 || last.Removed[0] != removed[0] {
		t.Errorf("learned %+v, want %+v", last.Removed, removed)
	}
}

// Guards against hosts that call each other without end after a start of all hosts at once, when none knows the removals, and against giving
// up on a host whose state is older than the listing: it may know more soon.
func TestHostsAreAskedAgainOnlyWhileTheyAreBehind(t *testing.T) {
	for name, c := range map[string]struct {
		revision catalog.Revision
		min, max int
	}{
		"new too": {7, 1, 1},
		// The pauses are at least 0.25, 0.5, 1 and 2 s.
		"behind": {6, 2, 4},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := &upstream{departures: catalog.Departures{Revision: c.revision, Missed: catalog.Period{From: time.Minute}}}
			view := &catalog.View{}
			state := newSearchingState()
			s := NewSource(&fakeStore{}, &catalog.Host{ID: "me"}, []netip.AddrPort{serve(t, u)}, changeBound, func() *catalog.View { return view }, ignoreConfiguration, zerolog.Nop())
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			s.RunDepartures(ctx, state)
			if n := len(state.learned); n < c.min || n > c.max {
				t.Errorf("the seed was called %d times in 3 s, want %d to %d", n, c.min, c.max)
			}
		})
	}
}

// Guards against a restarted host that asks hosts which were started with it while others know more.
func TestHostsThatRanForLongAreAskedFirst(t *testing.T) {
	now := time.Now()
	started := func(id, domain string, ago time.Duration) *catalog.Host {
		return &catalog.Host{ID: id, FailureDomain: domain, Incarnation: catalog.Incarnation(now.Add(-ago).UnixMilli())}
	}
	self := started("self", "d", 0)
	hosts := []*catalog.Host{started("far", "e", 3*time.Hour), started("near", "d", time.Hour), started("new", "d", time.Second), started("earlier", "e", time.Minute)}
	view := &catalog.View{Hosts: map[string]*catalog.Host{}}
	var list []target
	for _, h := range hosts {
		view.Hosts[h.ID] = h
		list = append(list, target{id: h.ID})
	}
	s := NewSource(&fakeStore{}, self, nil, changeBound, func() *catalog.View { return view }, ignoreConfiguration, zerolog.Nop())
	for range 10 {
		s.sortByKnowledge(view, list)
		for i, want := range []string{"near", "far", "earlier", "new"} {
			if list[i].id != want {
				t.Fatalf("host %d is %s, want %s", i, list[i].id, want)
			}
		}
	}
}

// Guards against a response that exceeds the limit of the connection and is therefore never received.
func TestLargestDeparturesAreReceived(t *testing.T) {
	var largest catalog.Departures
	for range 8192 {
		largest.Removed = append(largest.Removed, catalog.Removal{ID: strings.Repeat("x", 60), Incarnation: 1 << 42, Sequence: 1 << 52, Ago: time.Hour})
	}
	for range 8 {
		largest.Superseding = append(largest.Superseding, catalog.Server{ID: "s", Software: strings.Repeat("x", 16<<10), Address: netip.MustParseAddrPort("192.0.2.1:80")})
	}
	s := NewSource(&fakeStore{}, &catalog.Host{ID: "me"}, nil, changeBound, func() *catalog.View { return &catalog.View{} }, ignoreConfiguration, zerolog.Nop())
	reply, err := s.callDepartures(context.Background(), serve(t, &upstream{departures: largest}), catalog.Period{From: time.Minute})
	if err != nil || len(reply.Removed) != 8192 || len(reply.Superseding) != 8 {
		t.Fatalf("got %v", err)
	}
}

// While the store is away, a starting host takes its state from other hosts. Guards against the state of one that was cut off before the
// others and has evacuated failure domains and removed servers in use.
func TestStartingHostTakesTheLatestStateWhileStoreIsAway(t *testing.T) {
	var seeds []netip.AddrPort
	for _, revision := range []catalog.Revision{5, 9, 7} {
		seeds = append(seeds, serve(t, &upstream{batch: catalog.Batch{Changes: []catalog.Change{configurationChange()}, Revision: revision, Age: time.Minute}}))
	}
	view := &catalog.View{}
	for range 10 {
		s := NewSource(&fakeStore{err: errors.New("refused")}, &catalog.Host{ID: "me"}, seeds, changeBound, func() *catalog.View { return view }, ignoreConfiguration, zerolog.Nop())
		batch, err := s.List(context.Background())
		if err != nil || batch.Revision != 9 {
			t.Fatalf("got revision %d, %v, want 9", batch.Revision, err)
		}
		if got, want := s.lastFollowed(), seeds[1].String(); got != want {
			t.Fatalf("the host follows %s, want %s", got, want)
		}
	}
}

// Guards against a start while the store is away that takes seconds longer because other hosts have lost power: each call to one of them would
// last until its timeout.
func TestUnresponsiveHostsDelayStartWithoutStoreOnlyBriefly(t *testing.T) {
	responsive := serve(t, &upstream{batch: catalog.Batch{Changes: []catalog.Change{configurationChange()}, Revision: 9, Age: time.Minute}})
	seeds := []netip.AddrPort{responsive, netip.MustParseAddrPort("127.0.0.1:2"), netip.MustParseAddrPort("127.0.0.1:3")}
	view := &catalog.View{}
	for range 6 {
		s := NewSource(&fakeStore{err: errors.New("refused")}, &catalog.Host{ID: "me"}, seeds, changeBound, func() *catalog.View { return view }, ignoreConfiguration, zerolog.Nop())
		var afterResponse time.Duration
		s.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if address == responsive.String() {
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}
			if deadline, ok := ctx.Deadline(); ok && s.lastFollowed() != "" {
				afterResponse += time.Until(deadline)
			}
			return nil, errors.New("no response")
		}
		if batch, err := s.List(t.Context()); err != nil || batch.Revision != 9 {
			t.Fatalf("got revision %d, %v, want 9", batch.Revision, err)
		}
		if afterResponse > 2*otherReaderTimeout {
			t.Errorf("after the response, other hosts are waited for up to %v, want at most %v", afterResponse, 2*otherReaderTimeout)
		}
	}
}
