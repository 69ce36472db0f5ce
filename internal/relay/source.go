package relay

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
	"github.com/foxtailtack/foxtailtack/internal/guard"
)

// Error is the class of errors of this package.
var Error = errs.Class("relay")

const (
	// pollWait is the wait of a call to another host. Its answers show that the host lives and hears the store, and the bounds
	// of the platform leave two seconds and more for news to arrive.
	pollWait = 600 * time.Millisecond
	// callMargin is the time beyond the wait after which a host counts as failed.
	callMargin = 400 * time.Millisecond
	// listTimeout bounds the call for everything, which is large.
	listTimeout = 2 * time.Second
	// failedFor is the time for which a failed host is not asked.
	failedFor = 3 * time.Second
	// maxAge is the age of news from which a host looks for a better source: a host that others follow hears the store each
	// 0.8 s, and the platform allows three seconds and more until a change is in force on large deployments.
	maxAge = 1500 * time.Millisecond
	// storeRetry is the time between two tries at a store that did not answer, while other hosts are asked.
	storeRetry = 2 * time.Second
	// otherDomains is the number of readers of other failure domains that a host asks when its own sources have no fresh news, and
	// otherTimeout bounds each call: opening a connection and a call take two round trips between regions.
	otherDomains = 2
	otherTimeout = 500 * time.Millisecond
	// followerStoreRetry is the longest time between two tries at the store by a host that follows others, while their news is old.
	followerStoreRetry = 6 * time.Second
	// fallbackHosts is the number of hosts that are asked in one call while the store does not answer.
	fallbackHosts = 3
)

// Source is a catalog.Store that reads the platform's store or follows other hosts, whichever is due. Its calls come from one
// goroutine.
type Source struct {
	store Store
	self  *catalog.Host
	seeds []netip.AddrPort
	view  func() *catalog.View
	log   zerolog.Logger

	mu sync.Mutex
	// clients holds the open connections, and failed the time of the latest failure of a host.
	clients map[netip.AddrPort]*rpc.Client
	failed  map[string]time.Time
	// storeFailed is the time of the latest failed call to the store, zero after a good one.
	storeFailed time.Time
	// storeDueAt is the time of the next try at the store while the news of all others is old, zero while it is not.
	storeDueAt time.Time
	// following is the id of the host that answered last, empty for the store.
	following string
}

var _ catalog.Store = (*Source)(nil)

// NewSource returns a source for a host. Seeds are peer addresses that are asked while no host is known.
func NewSource(store Store, self *catalog.Host, seeds []netip.AddrPort, view func() *catalog.View, log zerolog.Logger) *Source {
	return &Source{store: store, self: self, seeds: seeds, view: view, log: log, clients: map[netip.AddrPort]*rpc.Client{}, failed: map[string]time.Time{}}
}

// List implements catalog.Store. A host that read the store itself asks the store again: its watch was cut, and a host that
// follows it knows no more than it did.
func (s *Source) List(ctx context.Context) (catalog.Batch, error) {
	known := s.view().Revision
	if !s.Direct() {
		if batch, ok, err := s.listFollowed(ctx, known); ok || err != nil {
			return batch, err
		}
	}
	if !s.storeAway() {
		batch, err := s.store.List(ctx)
		s.noteStore(ctx, err)
		if err == nil || ctx.Err() != nil {
			return batch, err
		}
	}
	if known > 0 {
		batch, err := s.fallback(ctx, WatchArgs{After: known}, pollWait+callMargin)
		batch.Since = known
		if !errors.Is(err, catalog.ErrCompacted) {
			return batch, err
		}
	}
	return s.fallback(ctx, WatchArgs{Everything: true}, listTimeout)
}

// listFollowed lists through the hosts that this one follows: the changes since what is known, or everything if those are not kept. It
// reports false if the store is to be read.
func (s *Source) listFollowed(ctx context.Context, known catalog.Revision) (catalog.Batch, bool, error) {
	if known > 0 {
		batch, ok, err := s.follows(ctx, WatchArgs{After: known}, pollWait+callMargin)
		batch.Since = known
		if !errors.Is(err, catalog.ErrCompacted) {
			return batch, ok, err
		}
	}
	return s.follows(ctx, WatchArgs{Everything: true}, listTimeout)
}

// Watch implements catalog.Store. A watch of the store that fails is an error, after which everything is read anew.
func (s *Source) Watch(ctx context.Context, after catalog.Revision, wait time.Duration) (catalog.Batch, error) {
	args := WatchArgs{After: after, Wait: pollWait}
	if batch, ok, err := s.follows(ctx, args, pollWait+callMargin); ok || err != nil {
		return batch, err
	}
	switch failed, away := s.storeFailure(), s.storeAway(); {
	case !failed:
		s.setFollowing("")
		return s.watchStore(ctx, after, wait)
	case !away:
		return catalog.Batch{}, errStoreDue
	default:
		return s.fallback(ctx, args, pollWait+callMargin)
	}
}

// follows asks the hosts that this one follows, and then readers of other failure domains. It reports false if the store is to be
// read. If others answer and their news is old, the store is away: hundreds of hosts that asked it all the same, and listed everything
// on its return, would cost more than the news is worth.
func (s *Source) follows(ctx context.Context, args WatchArgs, timeout time.Duration) (catalog.Batch, bool, error) {
	batch, fresh, err := s.followed(ctx, args, timeout)
	if fresh {
		s.heardFresh()
	}
	if fresh || err != nil || reads(s.view(), s.self) {
		return batch, fresh, err
	}
	batch, heard, err := s.askOtherDomains(ctx, args)
	switch {
	case err != nil:
		return batch, true, err
	case heard && batch.Age <= maxAge:
		s.heardFresh()
		return batch, true, nil
	case heard && !s.storeDue():
		return catalog.Batch{}, false, errStoreAway
	default:
		return catalog.Batch{}, false, nil
	}
}

// errStoreAway ends a call of a host that follows others while all of them have only old news.
var errStoreAway = Error.New("no host has heard the store lately")

// askOtherDomains asks readers of other failure domains what they know now, until one has fresh news. It reports whether any answered.
func (s *Source) askOtherDomains(ctx context.Context, args WatchArgs) (catalog.Batch, bool, error) {
	others := otherReaders(s.view(), s.self)
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	args.Wait = 0
	timeout := otherTimeout
	if args.Everything {
		timeout = listTimeout
	}
	var latest catalog.Batch
	heard := false
	for _, host := range others[:min(otherDomains, len(others))] {
		if s.hasFailed(host.ID) {
			continue
		}
		batch, err := s.ask(ctx, host.ID, host.PeerAddress, args, timeout)
		switch {
		case errors.Is(err, catalog.ErrCompacted):
			return batch, true, err
		case err != nil:
			continue
		case batch.Age <= maxAge:
			return batch, true, nil
		}
		latest, heard = batch, true
	}
	return latest, heard, nil
}

// storeDue reports whether a host that follows others may try the store although their news is old: each does so now and then, for the
// case that only they are cut off from it. Hosts that notice an outage together try at different times.
func (s *Source) storeDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	due := !s.storeDueAt.IsZero() && !now.Before(s.storeDueAt)
	if due || s.storeDueAt.IsZero() {
		s.storeDueAt = now.Add(rand.N(followerStoreRetry))
	}
	return due
}

// heardFresh notes that a host or the store had fresh news.
func (s *Source) heardFresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeDueAt = time.Time{}
}

// errStoreDue ends a watch through other hosts, so that the store is tried again with a call that ends soon.
var errStoreDue = Error.New("the store is due for another try")

// followed asks the hosts that this one follows. It reports false if the store is to be read.
func (s *Source) followed(ctx context.Context, args WatchArgs, timeout time.Duration) (catalog.Batch, bool, error) {
	for _, host := range sources(s.view(), s.self, s.hasFailed) {
		batch, err := s.ask(ctx, host.ID, host.PeerAddress, args, timeout)
		switch {
		case errors.Is(err, catalog.ErrCompacted):
			return catalog.Batch{}, false, err
		case err != nil:
			continue
		case batch.Age <= maxAge:
			return batch, true, nil
		}
		s.log.Info().Str("host", host.ID).Dur("age_ms", batch.Age).Msg("relay_stale")
		break
	}
	return catalog.Batch{}, false, nil
}

// Direct reports whether this host reads the store itself.
func (s *Source) Direct() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.following == ""
}

// IsReader reports whether this host is one of those that read the store for others.
func (s *Source) IsReader() bool { return reads(s.view(), s.self) }

// fallback asks hosts at random, first the one that answered last. News that is old is still better than none for a host that
// knows no configuration.
func (s *Source) fallback(ctx context.Context, args WatchArgs, timeout time.Duration) (catalog.Batch, error) {
	view := s.view()
	for _, target := range s.fallbackTargets(view) {
		batch, err := s.ask(ctx, target.id, target.address, args, timeout)
		if errors.Is(err, catalog.ErrCompacted) {
			return catalog.Batch{}, err
		}
		if err == nil && (batch.Age <= maxAge || view.Configuration == nil && len(batch.Changes) > 0) {
			return batch, nil
		}
	}
	return catalog.Batch{}, Error.New("neither the store nor another host answers with fresh news")
}

type target struct {
	id      string
	address netip.AddrPort
}

func (s *Source) fallbackTargets(view *catalog.View) []target {
	var list []target
	for id, h := range view.Hosts {
		if id != s.self.ID && !s.hasFailed(id) {
			list = append(list, target{id, h.PeerAddress})
		}
	}
	if len(list) == 0 {
		for _, address := range s.seeds {
			if address != s.self.PeerAddress {
				list = append(list, target{address.String(), address})
			}
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	// Hosts of the own failure domain may follow this one, and then know no more than it does.
	slices.SortStableFunc(list, func(a, b target) int { return cmp.Compare(s.isNear(view, a), s.isNear(view, b)) })
	last := s.lastFollowed()
	if i := slices.IndexFunc(list, func(t target) bool { return t.id == last }); i > 0 {
		list[0], list[i] = list[i], list[0]
	}
	return list[:min(fallbackHosts, len(list))]
}

// isNear returns 1 for a host of the own failure domain, otherwise 0.
func (s *Source) isNear(view *catalog.View, t target) int {
	if h := view.Hosts[t.id]; h != nil && h.FailureDomain == s.self.FailureDomain {
		return 1
	}
	return 0
}

// StoreAnswered tells of an answer of the store to another call of this process, so that the next listing goes to the store
// without waiting for the time of the next try.
func (s *Source) StoreAnswered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeFailed = time.Time{}
}

func (s *Source) lastFollowed() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.following
}

// storeFailure reports whether the latest listing of the store failed.
func (s *Source) storeFailure() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.storeFailed.IsZero()
}

// storeAway reports whether the store failed so shortly ago that it is not tried again yet.
func (s *Source) storeAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.storeFailed.IsZero() && time.Since(s.storeFailed) < storeRetry
}

func (s *Source) setFollowing(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follow(id)
}

// noteStore notes the end of a listing of the store.
func (s *Source) noteStore(ctx context.Context, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.storeFailed = time.Time{}
		s.follow("")
	case ctx.Err() == nil:
		s.storeFailed = time.Now()
		s.log.Info().Err(err).Msg("store_call_failed")
	}
}

// follow notes who answered, under the lock.
func (s *Source) follow(id string) {
	if s.following != id {
		s.following = id
		s.log.Info().Str("host", id).Msg("source_changed")
	}
}

func (s *Source) hasFailed(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.failed[id]) < failedFor
}

// ask makes one call to another host. A call that this host ended itself says nothing of the other one.
func (s *Source) ask(ctx context.Context, id string, address netip.AddrPort, args WatchArgs, timeout time.Duration) (catalog.Batch, error) {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply WatchReply
	err := s.call(bounded, address, args, &reply)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil && ctx.Err() != nil {
		return catalog.Batch{}, err
	}
	if err != nil {
		s.failed[id] = time.Now()
		if c := s.clients[address]; c != nil {
			_ = c.Close()
			delete(s.clients, address)
		}
		s.log.Info().Str("host", id).Err(err).Msg("relay_failed")
		return catalog.Batch{}, err
	}
	if reply.Compacted {
		return catalog.Batch{}, Error.Wrap(catalog.ErrCompacted)
	}
	if args.Everything && reply.Batch.Revision < s.view().Revision {
		return catalog.Batch{}, Error.New("host %s knows revision %d, older than %d", id, reply.Batch.Revision, s.view().Revision)
	}
	s.follow(id)
	return reply.Batch, nil
}

func (s *Source) call(ctx context.Context, address netip.AddrPort, args WatchArgs, reply *WatchReply) error {
	client, err := s.client(ctx, address)
	if err != nil {
		return err
	}
	call := client.Go(serviceName+".Watch", args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return call.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Source) client(ctx context.Context, address netip.AddrPort) (*rpc.Client, error) {
	s.mu.Lock()
	client := s.clients[address]
	s.mu.Unlock()
	if client != nil {
		return client, nil
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	client = rpc.NewClient(guard.LimitMessages(conn, mostNews))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clients[address] = client
	return client, nil
}
