package relay

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"net/rpc"
	"slices"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
	"github.com/foxtailtack/foxtailtack/internal/guard"
	"github.com/foxtailtack/foxtailtack/internal/wait"
)

const (
	// departuresCheckInterval is the time between two checks whether removals may have been missed.
	departuresCheckInterval = 100 * time.Millisecond
	// departuresTimeout limits a call, including the time to open a connection. A response has up to 1 MB, which takes 0.8 s at 10 Mbit/s.
	departuresTimeout = 2 * time.Second
	// maxDeparturesBytes limits a response; catalog bounds removals and superseding entries to a part of it.
	maxDeparturesBytes = 2 << 20
	// maxDeparturesHosts is the number of hosts that are called in a row, maxDeparturesResponses the number of responses after which a host
	// stops to ask: after a start of all hosts at once, none of them knows more than the others.
	maxDeparturesHosts     = 3
	maxDeparturesResponses = 12
	// minDeparturesBackoff and maxDeparturesBackoff limit the time between two rounds of calls.
	minDeparturesBackoff = 500 * time.Millisecond
	maxDeparturesBackoff = 30 * time.Second
	// longRunTime is the time after its start from which a host knows of all removals that hosts remember.
	longRunTime = 20 * time.Minute
)

// DeparturesArgs requests what a host knows about servers that have left.
type DeparturesArgs struct {
	// Missed is the period in which the caller may have missed removals.
	Missed catalog.Period
}

// Departures serves one call. Hosts of earlier builds do not have it.
func (s *service) Departures(args DeparturesArgs, reply *catalog.Departures) (err error) {
	defer guard.RecoverError(s.log, "relay departures", &err)
	*reply = s.upstream.Departures(args.Missed)
	return nil
}

// DeparturesState is the known state of a host, as far as it concerns servers that have left.
type DeparturesState interface {
	// MissedRemovals returns the period in which removals may have been missed, and the revision of the latest complete listing.
	MissedRemovals() (catalog.Period, catalog.Revision)
	LearnDepartures(catalog.Departures)
}

// RunDepartures asks other hosts for the removals of servers that this host has missed, until ctx is done: at its start and after each
// complete listing. The store shows only the servers that it has.
func (s *Source) RunDepartures(ctx context.Context, state DeparturesState) {
	search := &departuresSearch{}
	for ; ctx.Err() == nil; wait.For(ctx, departuresCheckInterval) {
		missed, listed := state.MissedRemovals()
		if search.responded == nil || listed != search.listedAt {
			search = &departuresSearch{listedAt: listed, calls: map[string]int{}, responded: map[string]bool{}, backoff: minDeparturesBackoff}
		}
		if missed.IsEmpty() || len(search.responded) >= maxDeparturesResponses || time.Now().Before(search.next) {
			continue
		}
		s.askDepartures(ctx, state, search)
		search.next = time.Now().Add(search.backoff/2 + rand.N(search.backoff/2))
		search.backoff = min(2*search.backoff, maxDeparturesBackoff)
	}
}

// departuresSearch is the search for the removals that were missed before one complete listing.
type departuresSearch struct {
	listedAt catalog.Revision
	// calls counts the calls of each host.
	calls map[string]int
	// responded holds the hosts that responded with a state that is not older than the listing.
	responded map[string]bool
	// next is the time of the next round of calls, backoff the longest time from then to the one after it.
	next    time.Time
	backoff time.Duration
}

// askDepartures calls hosts that have not responded yet, until one of them knows what was missed or maxDeparturesHosts were called. Those
// that were called less often come first.
func (s *Source) askDepartures(ctx context.Context, state DeparturesState, search *departuresSearch) {
	view := s.view()
	list := slices.DeleteFunc(s.targets(view), func(t target) bool { return search.responded[t.id] })
	s.sortByKnowledge(view, list)
	slices.SortStableFunc(list, func(a, b target) int { return cmp.Compare(search.calls[a.id], search.calls[b.id]) })
	for _, host := range list[:min(maxDeparturesHosts, len(list))] {
		missed, _ := state.MissedRemovals()
		if missed.IsEmpty() || ctx.Err() != nil {
			return
		}
		search.calls[host.id]++
		reply, err := s.callDepartures(ctx, host.address, missed)
		if err != nil {
			s.log.Info().Str("host", host.id).Err(err).Msg("departures_not_received")
			continue
		}
		if reply.Revision >= search.listedAt {
			search.responded[host.id] = true
		}
		state.LearnDepartures(*reply)
		rest, _ := state.MissedRemovals()
		s.log.Info().Str("host", host.id).Uint64("revision", uint64(reply.Revision)).Int("removed", len(reply.Removed)).Int("superseding", len(reply.Superseding)).
			Dur("missed_ms", missed.From-missed.To).Dur("still_missed_ms", rest.From-rest.To).Msg("departures_received")
	}
}

// sortByKnowledge sorts hosts by how much they may know of servers that have left: those that have run for long come first, in random order
// but for those of the own failure domain, which are near; then the others, by their start.
func (s *Source) sortByKnowledge(view *catalog.View, list []target) {
	longAgo := catalog.Incarnation(time.Now().Add(-longRunTime).UnixMilli())
	startOf := func(t target) catalog.Incarnation {
		if h := view.Hosts[t.id]; h != nil {
			return max(h.Incarnation, longAgo)
		}
		return longAgo
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b target) int {
		return cmp.Or(cmp.Compare(startOf(a), startOf(b)), cmp.Compare(s.inOwnDomain(view, b), s.inOwnDomain(view, a)))
	})
}

// callDepartures makes one call on a connection of its own, so that a large response does not delay the changes.
func (s *Source) callDepartures(ctx context.Context, address netip.AddrPort, missed catalog.Period) (*catalog.Departures, error) {
	ctx, cancel := context.WithTimeout(ctx, departuresTimeout)
	defer cancel()
	conn, err := s.dial(ctx, "tcp", address.String())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	client := rpc.NewClient(guard.LimitMessages(conn, maxDeparturesBytes))
	defer func() { _ = client.Close() }()
	reply := &catalog.Departures{}
	call := client.Go(serviceName+".Departures", DeparturesArgs{missed}, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return reply, Error.Wrap(call.Error)
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	}
}
