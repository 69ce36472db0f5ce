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
	// maxDeparturesHosts is the number of hosts that are called in a row.
	maxDeparturesHosts = 3
	// minDeparturesBackoff and maxDeparturesBackoff limit the time between two rounds of calls while no host knows what was missed, as
	// after a start of all hosts at once.
	minDeparturesBackoff = 500 * time.Millisecond
	maxDeparturesBackoff = 30 * time.Second
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
	var listedAt catalog.Revision
	var asked map[string]bool
	var next time.Time
	backoff := minDeparturesBackoff
	for ; ctx.Err() == nil; wait.For(ctx, departuresCheckInterval) {
		missed, listed := state.MissedRemovals()
		if listed != listedAt {
			listedAt, asked, next, backoff = listed, map[string]bool{}, time.Time{}, minDeparturesBackoff
		}
		if missed.IsEmpty() || time.Now().Before(next) {
			continue
		}
		s.askDepartures(ctx, state, asked)
		next = time.Now().Add(backoff/2 + rand.N(backoff/2))
		backoff = min(2*backoff, maxDeparturesBackoff)
	}
}

// askDepartures calls hosts until one of them knows what was missed. Hosts that were not asked yet come first, then those of the own
// failure domain, which are near.
func (s *Source) askDepartures(ctx context.Context, state DeparturesState, asked map[string]bool) {
	view := s.view()
	list := s.targets(view)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	rank := func(t target) int {
		n := 1 - s.inOwnDomain(view, t)
		if asked[t.id] {
			n += 2
		}
		return n
	}
	slices.SortStableFunc(list, func(a, b target) int { return cmp.Compare(rank(a), rank(b)) })
	for _, host := range list[:min(maxDeparturesHosts, len(list))] {
		missed, _ := state.MissedRemovals()
		if missed.IsEmpty() || ctx.Err() != nil {
			return
		}
		asked[host.id] = true
		reply, err := s.callDepartures(ctx, host.address, missed)
		if err != nil {
			s.log.Info().Str("host", host.id).Err(err).Msg("departures_not_received")
			continue
		}
		state.LearnDepartures(*reply)
		rest, _ := state.MissedRemovals()
		s.log.Info().Str("host", host.id).Uint64("revision", uint64(reply.Revision)).Int("removed", len(reply.Removed)).Int("superseding", len(reply.Superseding)).
			Dur("missed_ms", missed.From-missed.To).Dur("still_missed_ms", rest.From-rest.To).Msg("departures_received")
	}
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
