package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailtack/foxtailtack/internal/forward"
	"github.com/foxtailtack/foxtailtack/internal/grants"
	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/rank"
	"github.com/foxtailtack/foxtailtack/internal/steering"
)

// forwardOverheadBytes is the size of a forwarded request without its body, with headers of usual length.
const forwardOverheadBytes = 1 << 10

// grantClient requests grants from other hosts.
type grantClient interface {
	Grant(ctx context.Context, host string, request grants.Request) (grants.Grant, error)
	// OpenConnections opens connections for requests to a host in advance.
	OpenConnections(ctx context.Context, host string)
}

// router implements forward.Router: it chooses the entry hosts that a request may be forwarded to, with a grant where one is
// required.
type router struct {
	self, domain    string
	client          grantClient
	runInBackground func(func(context.Context))

	mu         sync.Mutex
	planner    *steering.Planner
	region     string
	holder     *grants.Holder
	linkBudget *steering.LinkBudget
	// overflow determines the share of callers that look-ups direct from a full failure domain to its neighbours.
	overflow *steering.Overflow
	// unreachableUntil holds hosts that could not be reached, with the time until which they are not chosen.
	unreachableUntil map[string]time.Time
}

func newRouter(self, domain string, client grantClient, runInBackground func(func(context.Context))) *router {
	return &router{self: self, domain: domain, client: client, runInBackground: runInBackground, holder: grants.NewHolder(), linkBudget: steering.NewLinkBudget(), overflow: steering.NewOverflow(), unreachableUntil: map[string]time.Time{}}
}

// configure applies a policy.
func (r *router) configure(snapshot *policy.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.region = snapshot.Region(r.domain)
	r.linkBudget.Configure(snapshot, r.region)
	if r.planner == nil {
		rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		r.planner = steering.New(snapshot, r.self, r.domain, rng)
		return
	}
	r.planner.SetSnapshot(snapshot)
}

// update applies the states that hosts publish: the members of the own failure domain, the summaries of the others, and the
// headroom of this host.
func (r *router) update(own []membership.Member, remote []membership.Summary, headroom []membership.Headroom, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.planner == nil {
		return
	}
	for _, m := range own {
		if m.ID != r.self {
			r.planner.Observe(r.domain, m, now)
		}
	}
	for _, s := range remote {
		r.planner.ObserveSummary(s, now)
	}
	r.planner.Expire(now)
	r.holder.Expire(now)
	r.overflow.Update(r.planner, ownLoad(r.domain, headroom), now)
}

func ownLoad(domain string, headroom []membership.Headroom) steering.OwnLoad {
	load := steering.OwnLoad{FailureDomain: domain, Usable: map[string]int{}, Free: map[string][rank.Count]float64{}}
	for _, h := range headroom {
		load.Usable[h.Service] = h.Usable
		load.Free[h.Service] = h.Free
	}
	return load
}

// overflowShare returns the share of a failure domain's callers that look-ups direct to its neighbours.
func (r *router) overflowShare(domain, service string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.overflow.Share(domain, service)
}

// dropGrants drops all held grants after a pause of the process.
func (r *router) dropGrants(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holder.DropAll(now)
}

// Next implements forward.Router. A host of another failure domain is chosen only with a grant. If there is none, one is
// requested in the background, so that the current request does not wait a round trip for it.
func (r *router) Next(request *forward.Request, tried []string, within time.Duration) (forward.Target, bool) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.planner == nil {
		return forward.Target{}, false
	}
	for _, candidate := range r.planner.Candidates(request.Service, request.Rank, now) {
		if slices.Contains(tried, candidate.Host) || r.isUnreachable(candidate.Host, now) {
			continue
		}
		if r.leavesRegionAfterForward(request, candidate) || 2*candidate.OneWay > within {
			continue
		}
		target := forward.Target{Host: candidate.Host, Region: candidate.Region}
		if shift := r.planner.ShiftBetween(request.Service, r.region, candidate.Region); shift != nil {
			target.ShiftID = shift.ID
		}
		if candidate.FailureDomain == r.domain {
			return target, true
		}
		if r.takeGrant(request, now, &target) {
			return target, true
		}
	}
	return forward.Target{}, false
}

// unreachablePeriod is the time for which a host that could not be reached is not chosen. Membership reports show the loss of
// the host only after some seconds.
const unreachablePeriod = 2 * time.Second

// markUnreachable excludes a host for unreachablePeriod after no connection to it could be opened.
func (r *router) markUnreachable(host string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, until := range r.unreachableUntil {
		if now.After(until) {
			delete(r.unreachableUntil, id)
		}
	}
	r.unreachableUntil[host] = now.Add(unreachablePeriod)
}

func (r *router) isUnreachable(host string, now time.Time) bool {
	return now.Before(r.unreachableUntil[host])
}

// leavesRegionAfterForward reports whether the request was already forwarded to this host and the candidate is in another
// region. The forwarding host chose this region; with a third region the request would move away from its caller twice.
func (r *router) leavesRegionAfterForward(request *forward.Request, candidate steering.Candidate) bool {
	return request.Forwards > 0 && candidate.Region != r.region
}

// takeGrant uses a grant of the target within the budget of the link to its region. It requests a new grant if one is due.
func (r *router) takeGrant(request *forward.Request, now time.Time, target *forward.Target) bool {
	key := grants.Key{Target: target.Host, Service: request.Service, Rank: request.Rank}
	taken := r.holder.Take(key, now)
	if r.holder.ShouldRequest(key, now) {
		want := r.holder.Want(key)
		r.holder.RecordRequest(key, now)
		r.runInBackground(func(ctx context.Context) { r.requestGrant(ctx, key, want) })
	}
	if !taken {
		return false
	}
	if target.Region != r.region && !r.linkBudget.Allow(target.Region, len(request.Body)+forwardOverheadBytes, now) {
		r.holder.Release(key)
		return false
	}
	target.Release = func() { r.returnGrant(key) }
	return true
}

func (r *router) returnGrant(key grants.Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holder.Release(key)
}

// requestGrant requests a grant and stores the response.
func (r *router) requestGrant(ctx context.Context, key grants.Key, want int) {
	sentAt := time.Now()
	grant, err := r.client.Grant(ctx, key.Target, grants.Request{From: r.self, Service: key.Service, Rank: key.Rank, Want: want})
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.holder.RecordFailure(key, time.Now())
		return
	}
	r.holder.RecordResponse(key, grant, sentAt)
	if grant.Count > 0 {
		r.client.OpenConnections(ctx, key.Target)
	}
}

// ShiftFor implements forward.Router. The shift is chosen by a hash of caller and path, so that every entry host shifts the
// same requests and they find warm caches.
func (r *router) ShiftFor(request *forward.Request) (forward.Target, bool) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.planner == nil {
		return forward.Target{}, false
	}
	key := xxhash.Sum64String(request.Caller + "\x00" + request.Path)
	shift, ok := r.planner.ShiftFor(request.Service, r.region, key, now)
	if !ok {
		return forward.Target{}, false
	}
	for _, candidate := range r.planner.CandidatesIn(shift.To, request.Service, request.Rank, now) {
		if r.isUnreachable(candidate.Host, now) {
			continue
		}
		target := forward.Target{Host: candidate.Host, Region: candidate.Region, ShiftID: shift.ID}
		if r.takeGrant(request, now, &target) {
			return target, true
		}
	}
	return forward.Target{}, false
}
