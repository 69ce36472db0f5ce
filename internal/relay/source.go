package relay

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
)

// Error is the class of errors of this package.
var Error = errs.Class("relay")

const (
	// pollWait is the time that a called host may wait for changes before it responds. Its responses show that the host runs and
	// receives changes from the store. The limits of the platform allow two seconds and more for a change to arrive.
	pollWait = 600 * time.Millisecond
	// callTimeoutMargin is the time after pollWait at which a call times out and the host counts as failed.
	callTimeoutMargin = 400 * time.Millisecond
	// listTimeout limits the call that lists everything, whose response is large.
	listTimeout = 2 * time.Second
	// failedHostBackoff is the time for which a failed host is not called.
	failedHostBackoff = 3 * time.Second
	// maxCurrentAge is the age of a batch above which a host selects another source. A reader receives a response of the store
	// every 0.8 s, and the platform allows three seconds and more until a change is in force on large deployments.
	maxCurrentAge = 1500 * time.Millisecond
	// storeRetryInterval is the time between attempts to read a store that did not respond. Other hosts are called meanwhile.
	storeRetryInterval = 2 * time.Second
	// maxOtherReaders is the number of readers of other failure domains that a host calls when its own sources are stale.
	// otherReaderTimeout limits each of these calls: opening a connection and a call take two round trips between regions.
	maxOtherReaders    = 2
	otherReaderTimeout = 500 * time.Millisecond
	// maxFollowerStoreRetry is the longest time between attempts to read the store by a host that follows others, while these are
	// stale.
	maxFollowerStoreRetry = 6 * time.Second
	// maxFallbackHosts is the number of hosts that one List or Watch calls while the store does not respond.
	maxFallbackHosts = 3
)

// Source is a catalog.Store that reads the platform's store or follows other hosts, depending on the role of this host and on
// failures. List and Watch are called by one goroutine.
type Source struct {
	store Store
	self  *catalog.Host
	seeds []netip.AddrPort
	view  func() *catalog.View
	// checkInterval is the time between two reads of the store's revision while a watch delivers no events.
	checkInterval time.Duration
	log           zerolog.Logger
	// dial opens a connection to another host.
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	// deliver is called with each configuration that was fetched from another host.
	deliver func(*catalog.Configuration)

	mu sync.Mutex
	// clients holds the open connections, failedAt the time of the latest failure of each host.
	clients  map[netip.AddrPort]*peerClient
	failedAt map[string]time.Time
	// storeFailedAt is the time of the latest failed listing of the store, zero after a successful one.
	storeFailedAt time.Time
	// nextStoreAttempt is the time of the next attempt to read the store while all called hosts are stale, otherwise zero.
	nextStoreAttempt time.Time
	// following is the ID of the host that responded last, empty for the store.
	following string
	// fetching is the fetch of a configuration in progress, or nil. failedVersion and fetchFailedAt are the version and the time of the
	// latest fetch that failed.
	fetching      *fetch
	failedVersion catalog.Version
	fetchFailedAt time.Time
}

var _ catalog.Store = (*Source)(nil)

// NewSource returns a source for a host. seeds are peer addresses that are called while no host is known. changeBound is the time
// within which a change in the store has to be in force. deliver is called with each configuration that was fetched from another
// host, by another goroutine than that of List and Watch.
func NewSource(store Store, self *catalog.Host, seeds []netip.AddrPort, changeBound time.Duration, view func() *catalog.View, deliver func(*catalog.Configuration), log zerolog.Logger) *Source {
	return &Source{
		store: store, self: self, seeds: seeds, view: view, checkInterval: checkInterval(changeBound), log: log, dial: (&net.Dialer{}).DialContext, deliver: deliver,
		clients: map[netip.AddrPort]*peerClient{}, failedAt: map[string]time.Time{},
	}
}

// List implements catalog.Store. A host that read the store itself lists the store again: its watch was interrupted, and the hosts
// that follow it have no later state.
func (s *Source) List(ctx context.Context) (catalog.Batch, error) {
	known := s.view().Revision
	if !s.ReadsStore() {
		if batch, ok, err := s.listFromHosts(ctx, known); ok || err != nil {
			return batch, err
		}
	}
	if !s.inStoreBackoff() {
		began := time.Now()
		batch, err := s.store.List(ctx)
		s.recordStoreList(ctx, err)
		if err == nil {
			s.logChanges("", known, &batch, 0, time.Since(began))
		}
		if err == nil || ctx.Err() != nil {
			return batch, err
		}
	}
	if known > 0 {
		batch, err := s.fallback(ctx, WatchArgs{After: known}, pollWait+callTimeoutMargin)
		batch.Since = known
		if !errors.Is(err, catalog.ErrCompacted) {
			return batch, err
		}
	}
	return s.fallback(ctx, WatchArgs{Everything: true}, listTimeout)
}

// listFromHosts lists from the hosts that this host follows: the changes since the known revision, or everything if these were
// compacted. It returns false if the store has to be read.
func (s *Source) listFromHosts(ctx context.Context, known catalog.Revision) (catalog.Batch, bool, error) {
	if known > 0 {
		batch, ok, err := s.askHosts(ctx, WatchArgs{After: known}, pollWait+callTimeoutMargin)
		batch.Since = known
		if !errors.Is(err, catalog.ErrCompacted) {
			return batch, ok, err
		}
	}
	return s.askHosts(ctx, WatchArgs{Everything: true}, listTimeout)
}

// Watch implements catalog.Store. If a watch of the store fails, it returns an error, after which the caller lists again.
func (s *Source) Watch(ctx context.Context, after catalog.Revision, wait time.Duration) (catalog.Batch, error) {
	args := WatchArgs{After: after, Wait: pollWait}
	if batch, ok, err := s.askHosts(ctx, args, pollWait+callTimeoutMargin); ok || err != nil {
		return batch, err
	}
	switch failed, inBackoff := s.hasStoreFailed(), s.inStoreBackoff(); {
	case !failed:
		s.setFollowing("")
		if s.lacksConfiguration() {
			// The store does not deliver again what this host has read up to this revision from others.
			return catalog.Batch{}, Error.Wrap(catalog.ErrConfigurationMissing)
		}
		return s.watchStore(ctx, after, wait)
	case !inBackoff:
		return catalog.Batch{}, errStoreAttemptDue
	default:
		return s.fallback(ctx, args, pollWait+callTimeoutMargin)
	}
}

// lacksConfiguration reports whether other hosts have announced a later configuration than the one in force.
func (s *Source) lacksConfiguration() bool {
	view := s.view()
	return view.Announced > 0 && (view.Configuration == nil || view.Announced > view.Configuration.Version)
}

// askHosts calls the hosts that this host follows, and then readers of other failure domains. It returns false if the store has
// to be read. If other hosts respond but are stale, the store is considered unavailable: calls by hundreds of hosts meanwhile,
// and listings of everything by all of them on its return, would cost more than the changes are worth.
func (s *Source) askHosts(ctx context.Context, args WatchArgs, timeout time.Duration) (catalog.Batch, bool, error) {
	batch, current, err := s.askSources(ctx, args, timeout)
	if current {
		s.clearStoreAttempt()
	}
	if current || err != nil || isReader(s.view(), s.self) {
		return batch, current, err
	}
	batch, received, err := s.askOtherDomains(ctx, args)
	switch {
	case err != nil:
		return batch, true, err
	case received && batch.Age <= maxCurrentAge:
		s.clearStoreAttempt()
		return batch, true, nil
	case received && !s.storeAttemptDue():
		return catalog.Batch{}, false, errNoCurrentHost
	default:
		return catalog.Batch{}, false, nil
	}
}

// errNoCurrentHost is the error of a call by a host that follows others while all called hosts are stale.
var errNoCurrentHost = Error.New("no called host has a current state of the store")

// askOtherDomains calls readers of other failure domains, without a wait for changes, until one is current. It reports whether
// any of them responded.
func (s *Source) askOtherDomains(ctx context.Context, args WatchArgs) (catalog.Batch, bool, error) {
	others := otherReaders(s.view(), s.self)
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	args.Wait = 0
	timeout := otherReaderTimeout
	if args.Everything {
		timeout = listTimeout
	}
	var latest catalog.Batch
	received := false
	for _, host := range others[:min(maxOtherReaders, len(others))] {
		if s.recentlyFailed(host.ID) {
			continue
		}
		batch, err := s.ask(ctx, host.ID, host.PeerAddress, args, timeout)
		switch {
		case errors.Is(err, catalog.ErrCompacted):
			return batch, true, err
		case err != nil:
			continue
		case batch.Age <= maxCurrentAge:
			return batch, true, nil
		}
		latest, received = batch, true
	}
	return latest, received, nil
}

// storeAttemptDue reports whether a host that follows others may read the store although these are stale. It does so from time to
// time, because possibly only the called hosts have lost their connection to the store. The interval is random, so that hosts that
// detect an outage simultaneously read at different times.
func (s *Source) storeAttemptDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	due := !s.nextStoreAttempt.IsZero() && !now.Before(s.nextStoreAttempt)
	if due || s.nextStoreAttempt.IsZero() {
		s.nextStoreAttempt = now.Add(rand.N(maxFollowerStoreRetry))
	}
	return due
}

// clearStoreAttempt resets the time of the next attempt to read the store after a current response of a host.
func (s *Source) clearStoreAttempt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextStoreAttempt = time.Time{}
}

// errStoreAttemptDue ends a watch through other hosts. The store is then read again with a listing, which takes less time than a
// watch.
var errStoreAttemptDue = Error.New("the next attempt to read the store is due")

// askSources calls the hosts that this host follows. It returns false if none of them is current.
func (s *Source) askSources(ctx context.Context, args WatchArgs, timeout time.Duration) (catalog.Batch, bool, error) {
	for _, host := range sources(s.view(), s.self, s.recentlyFailed) {
		batch, err := s.ask(ctx, host.ID, host.PeerAddress, args, timeout)
		switch {
		case errors.Is(err, catalog.ErrCompacted):
			return catalog.Batch{}, false, err
		case err != nil:
			continue
		case batch.Age <= maxCurrentAge:
			return batch, true, nil
		}
		s.log.Info().Str("host", host.ID).Dur("age_ms", batch.Age).Msg("relay_stale")
		break
	}
	return catalog.Batch{}, false, nil
}

// ReadsStore reports whether this host currently reads the store itself.
func (s *Source) ReadsStore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.following == ""
}

// IsReader reports whether this host is selected to read the store.
func (s *Source) IsReader() bool { return isReader(s.view(), s.self) }

// fallback calls hosts in random order, beginning with the host that responded last. Stale responses are accepted only if this host has no
// configuration. The one with the highest revision is returned then: a host that was cut off before the others knows less.
func (s *Source) fallback(ctx context.Context, args WatchArgs, timeout time.Duration) (catalog.Batch, error) {
	view := s.view()
	var latest catalog.Batch
	var latestHost string
	for _, target := range s.fallbackTargets(view) {
		batch, err := s.ask(ctx, target.id, target.address, args, timeout)
		if errors.Is(err, catalog.ErrCompacted) {
			return catalog.Batch{}, err
		}
		switch {
		case err != nil:
		case batch.Age <= maxCurrentAge:
			return batch, nil
		case view.Configuration == nil && len(batch.Changes) > 0 && batch.Revision >= latest.Revision:
			latest, latestHost = batch, target.id
			// A host that does not respond must not delay the start much longer.
			timeout = min(timeout, otherReaderTimeout)
		}
	}
	if latestHost != "" {
		s.setFollowing(latestHost)
		return latest, nil
	}
	return catalog.Batch{}, Error.New("neither the store nor another host returned a current state")
}

type target struct {
	id      string
	address netip.AddrPort
}

// targets returns the other known hosts that have not failed recently, or the seeds if there are none.
func (s *Source) targets(view *catalog.View) []target {
	var list []target
	for id, h := range view.Hosts {
		if id != s.self.ID && !s.recentlyFailed(id) {
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
	return list
}

func (s *Source) fallbackTargets(view *catalog.View) []target {
	list := s.targets(view)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	// Hosts of the own failure domain come last: they may follow this host, and then have no later state.
	slices.SortStableFunc(list, func(a, b target) int { return cmp.Compare(s.inOwnDomain(view, a), s.inOwnDomain(view, b)) })
	last := s.lastFollowed()
	if i := slices.IndexFunc(list, func(t target) bool { return t.id == last }); i > 0 {
		list[0], list[i] = list[i], list[0]
	}
	return list[:min(maxFallbackHosts, len(list))]
}

// inOwnDomain returns 1 for a host of the own failure domain, otherwise 0.
func (s *Source) inOwnDomain(view *catalog.View, t target) int {
	if h := view.Hosts[t.id]; h != nil && h.FailureDomain == s.self.FailureDomain {
		return 1
	}
	return 0
}

// StoreResponded records that the store responded to another call of this process, so that the next listing reads the store without
// waiting for storeRetryInterval.
func (s *Source) StoreResponded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeFailedAt = time.Time{}
}

func (s *Source) lastFollowed() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.following
}

// hasStoreFailed reports whether the latest listing of the store failed.
func (s *Source) hasStoreFailed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.storeFailedAt.IsZero()
}

// inStoreBackoff reports whether the store failed less than storeRetryInterval ago, so that it is not read yet.
func (s *Source) inStoreBackoff() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.storeFailedAt.IsZero() && time.Since(s.storeFailedAt) < storeRetryInterval
}

func (s *Source) setFollowing(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setFollowingLocked(id)
}

// recordStoreList records the result of a listing of the store.
func (s *Source) recordStoreList(ctx context.Context, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.storeFailedAt = time.Time{}
		s.setFollowingLocked("")
	case ctx.Err() == nil:
		s.storeFailedAt = time.Now()
		s.log.Info().Err(err).Msg("store_call_failed")
	}
}

// setFollowingLocked records which host responded. The caller holds the lock.
func (s *Source) setFollowingLocked(id string) {
	if s.following != id {
		s.following = id
		s.log.Info().Str("host", id).Msg("source_changed")
	}
}

func (s *Source) recentlyFailed(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.failedAt[id]) < failedHostBackoff
}

func (s *Source) pendingVersion() catalog.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pendingVersionLocked()
}

// ask makes one call to another host. A call that this host cancelled does not count as a failure of the other host.
func (s *Source) ask(ctx context.Context, id string, address netip.AddrPort, args WatchArgs, timeout time.Duration) (catalog.Batch, error) {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	args.ConfigurationApart, args.Version = true, s.pendingVersion()
	var reply WatchReply
	began := time.Now()
	received, err := s.call(bounded, address, args, &reply)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil && ctx.Err() != nil {
		return catalog.Batch{}, err
	}
	if err != nil {
		s.failedAt[id] = time.Now()
		if c := s.clients[address]; c != nil {
			_ = c.Close()
			delete(s.clients, address)
		}
		if s.fetching != nil && s.fetching.host == id {
			s.fetching.cancel()
		}
		s.log.Info().Str("host", id).Bool("everything", args.Everything).Uint64("after", uint64(args.After)).
			Int64("received_bytes", received).Int64("took_ms", time.Since(began).Milliseconds()).Err(err).Msg("relay_failed")
		return catalog.Batch{}, err
	}
	if reply.Batch.Revision.Era() < s.view().Revision.Era() && !reply.Compacted {
		// The host was cut off while the store was restored. Nothing from it is used, nor is its configuration fetched.
		s.failedAt[id] = time.Now()
		s.log.Info().Str("host", id).Uint64("era", uint64(reply.Batch.Revision.Era())).Uint64("known_era", uint64(s.view().Revision.Era())).Msg("relay_of_earlier_era")
		return catalog.Batch{}, Error.New("host %s knows era %d of the store, earlier than %d", id, reply.Batch.Revision.Era(), s.view().Revision.Era())
	}
	if !args.Everything && reply.Batch.Revision.Era() > args.After.Era() {
		reply.Compacted = true
	}
	if reply.Version > configurationIn(reply.Batch.Changes) {
		s.startFetchLocked(id, address, reply.Version)
	}
	if reply.Compacted {
		return catalog.Batch{}, Error.Wrap(catalog.ErrCompacted)
	}
	if args.Everything && reply.Batch.Revision < s.view().Revision {
		return catalog.Batch{}, Error.New("host %s knows revision %d, older than %d", id, reply.Batch.Revision, s.view().Revision)
	}
	s.setFollowingLocked(id)
	s.logChanges(id, args.After, &reply.Batch, received, time.Since(began))
	return reply.Batch, nil
}

// logChanges logs a batch with changes. received and took are the size of the response in bytes and the time of the call.
func (s *Source) logChanges(host string, after catalog.Revision, batch *catalog.Batch, received int64, took time.Duration) {
	if len(batch.Changes) == 0 {
		return
	}
	s.log.Info().Str("host", host).Uint64("after", uint64(after)).Uint64("revision", uint64(batch.Revision)).Int("changes", len(batch.Changes)).
		Int64("received_bytes", received).Int64("took_ms", took.Milliseconds()).Int64("age_ms", batch.Age.Milliseconds()).Msg("changes_received")
}
