package entry

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/forward"
	"github.com/foxtailtack/foxtailtack/internal/grants"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/rank"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// localReserveFraction is the share of the free slots of a rank that is reserved for callers of the own failure domain.
const localReserveFraction = 0.25

// issuedGrants holds the grants that this host has issued to other hosts, and its parts of the caps of planned shifts.
type issuedGrants struct {
	capacity *capacity

	mu        sync.Mutex
	issuer    *grants.Issuer
	shiftCaps *grants.ShiftCap
	// inboundShiftIDs lists the shifts into this region.
	inboundShiftIDs []string
}

func newIssuedGrants(capacity *capacity) *issuedGrants {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &issuedGrants{capacity: capacity, issuer: grants.NewIssuer(rng), shiftCaps: grants.NewShiftCap()}
}

// issue handles the grant request of another host, based on the free slots of the rank.
func (g *issuedGrants) issue(request grants.Request, now time.Time) grants.Grant {
	controller := g.capacity.controller(request.Service)
	if controller == nil || int(request.Rank) >= rank.Count {
		return grants.Grant{Life: grants.MaxLife}
	}
	free := float64(controller.Headroom()[request.Rank])
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.issuer.Issue(request, free, free*localReserveFraction, now)
}

// updateAndCheckShiftCaps updates this host's parts of the caps of shifts and reports whether the running requests are within
// them.
func (e *Entry) updateAndCheckShiftCaps() bool {
	snapshot := e.config.Snapshot()
	if snapshot == nil {
		return true
	}
	e.grants.configure(snapshot, snapshot.Region(e.settings.FailureDomain))
	return e.grants.shiftsWithinCaps()
}

// configure updates the caps of the shifts into this region. The host that may use a slot can change without a new
// policy, so each refresh calls it too.
func (g *issuedGrants) configure(snapshot *policy.Snapshot, region string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	previous := g.inboundShiftIDs
	g.inboundShiftIDs = nil
	for i := range snapshot.Document.Shifts {
		shift := &snapshot.Document.Shifts[i]
		if shift.To == region {
			g.inboundShiftIDs = append(g.inboundShiftIDs, shift.ID)
			g.shiftCaps.Configure(shift.ID, shift.CapSlots, g.usableSlots(shift.Service), snapshot.SlotsIn(region, shift.Service))
		}
	}
	for _, id := range previous {
		if !slices.Contains(g.inboundShiftIDs, id) {
			g.shiftCaps.Remove(id)
		}
	}
}

func (g *issuedGrants) usableSlots(service string) int {
	return g.capacity.cluster.usable(service, time.Now())
}

// shiftsWithinCaps reports whether the running requests of each shift are within this host's part of the cap.
func (g *issuedGrants) shiftsWithinCaps() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range g.inboundShiftIDs {
		if g.shiftCaps.Running(id) > g.shiftCaps.Share(id) {
			return false
		}
	}
	return true
}

// admit counts a request that another host forwarded, or rejects it if the cap of its shift is in use. The caller must call
// release when the request has completed.
func (g *issuedGrants) admit(request *forward.Request) (release func(), failure *result.Failure) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if request.ShiftID != "" && !g.shiftCaps.Admit(request.ShiftID) {
		return nil, result.Fail(result.NoGrant, "the cap of shift %q is in use", request.ShiftID)
	}
	g.issuer.RecordAdmitted(request.From, request.Service, request.Rank)
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.issuer.RecordCompleted(request.From, request.Service, request.Rank)
		if request.ShiftID != "" {
			g.shiftCaps.Done(request.ShiftID)
		}
	}, nil
}
