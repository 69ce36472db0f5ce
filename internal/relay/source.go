package relay

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
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
	// maxAge is the age of news from which a host looks for a better source: a host that reads the store hears it each 1.3 s.
	maxAge = 1900 * time.Millisecond
	// storeRetry is the time between two tries at a store that did not answer, while other hosts are asked.
	storeRetry = 2 * time.Second
	// fallbackHosts is the number of hosts that are asked in one call while the store does not answer.
	fallbackHosts = 3
)

// Source is a catalog.Store that reads the platform's store or follows other hosts, whichever is due. Its calls come from one
// goroutine.
type Source struct {
	store catalog.Store
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
	// following is the id of the host that answered last, empty for the store.
	following string
}

var _ catalog.Store = (*Source)(nil)

// NewSource returns a source for a host. Seeds are peer addresses that are asked while no host is known.
func NewSource(store catalog.Store, self *catalog.Host, seeds []netip.AddrPort, view func() *catalog.View, log zerolog.Logger) *Source {
	return &Source{store: store, self: self, seeds: seeds, view: view, log: log, clients: map[netip.AddrPort]*rpc.Client{}, failed: map[string]time.Time{}}
}

// List implements catalog.Store.
func (s *Source) List(ctx context.Context) (catalog.Batch, error) {
	return s.read(ctx, func(ctx context.Context) (catalog.Batch, error) { return s.store.List(ctx) },
		WatchArgs{Everything: true}, listTimeout)
}

// Watch implements catalog.Store.
func (s *Source) Watch(ctx context.Context, after catalog.Revision, wait time.Duration) (catalog.Batch, error) {
	return s.read(ctx, func(ctx context.Context) (catalog.Batch, error) { return s.store.Watch(ctx, after, wait) },
		WatchArgs{After: after, Wait: pollWait}, pollWait+callMargin)
}

// read asks the hosts that this one follows, then the store, and while the store does not answer any other host.
func (s *Source) read(ctx context.Context, direct func(context.Context) (catalog.Batch, error), args WatchArgs, timeout time.Duration) (catalog.Batch, error) {
	view := s.view()
	storeAway := s.storeAway()
	for _, host := range sources(view, s.self, s.hasFailed) {
		batch, err := s.ask(ctx, host.ID, host.PeerAddress, args, timeout)
		if err != nil {
			continue
		}
		if batch.Age <= maxAge || storeAway {
			return batch, nil
		}
		s.log.Info().Str("host", host.ID).Dur("age_ms", batch.Age).Msg("relay_stale")
		break
	}
	if !storeAway {
		batch, err := direct(ctx)
		s.noteStore(ctx, err)
		if err == nil || ctx.Err() != nil {
			return batch, err
		}
	}
	return s.fallback(ctx, view, args, timeout)
}

// fallback asks hosts at random. News that is old is still better than none for a host that knows no configuration.
func (s *Source) fallback(ctx context.Context, view *catalog.View, args WatchArgs, timeout time.Duration) (catalog.Batch, error) {
	for _, target := range s.fallbackTargets(view) {
		batch, err := s.ask(ctx, target.id, target.address, args, timeout)
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
	return list[:min(fallbackHosts, len(list))]
}

func (s *Source) storeAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.storeFailed.IsZero() && time.Since(s.storeFailed) < storeRetry
}

// noteStore notes the end of a call to the store.
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

// ask makes one call to another host.
func (s *Source) ask(ctx context.Context, id string, address netip.AddrPort, args WatchArgs, timeout time.Duration) (catalog.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply WatchReply
	err := s.call(ctx, address, args, &reply)
	s.mu.Lock()
	defer s.mu.Unlock()
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
	client = rpc.NewClient(conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clients[address] = client
	return client, nil
}
