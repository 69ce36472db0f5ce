package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
)

// maxExplained is the number of servers that an explanation lists. The candidates of a request come first, so the others are of the same kind
// as those that are listed.
const maxExplained = 50

// ServerState is a state of a server that affects whether it gets requests.
type ServerState string

// States of servers. A server may have several.
const (
	StateDraining    ServerState = "draining"
	StateEvacuated   ServerState = "evacuated"
	StateLeaving     ServerState = "leaving"
	StateUnavailable ServerState = "unavailable"
	StateLimited     ServerState = "limited"
	StateEjected     ServerState = "ejected"
	StateCold        ServerState = "cold"
)

// Reasons why a server was not chosen.
const (
	notChosenDraining    = "draining"
	notChosenEvacuated   = "failure domain is evacuated"
	notChosenLeaving     = "server announced that it is leaving"
	notChosenUnavailable = "server accepts no requests for some time"
	notChosenRateLimit   = "this host's share of the rate limit is used up"
	notChosenEjected     = "ejected after failures"
	notChosenObject      = "other servers are preferred for the object"
	notChosenCold        = "cold, and its rate limit is reached"
	notChosenFull        = "full for the rank"
	notChosenDeadline    = "response is expected after the deadline"
	notChosenLater       = "another response is expected earlier"
	notChosenRegion      = "requests move between regions too fast"
)

// ExplainedServer is what a host knows of a server that a request may be sent to, and why the server was not chosen.
type ExplainedServer struct {
	Entry *catalog.ServerEntry
	// Region is the region of the server's failure domain.
	Region string
	Chosen bool
	// Candidate is true if the server is one of the few among which the host compares the expected latency for the object.
	Candidate bool
	// Reason states why the server was not chosen, empty if it was.
	Reason          string
	ExpectedLatency time.Duration
	RoundTrip       time.Duration
	// Load is the estimated number of requests at the server. LoadAge is the age of its latest load report, negative if there is none.
	Load    float64
	LoadAge time.Duration
	// Speed is the expected time of work on the server's machine relative to the normal time.
	Speed  float64
	Warm   bool
	States []ServerState
	// RateLimit is the limit that the server names, and RateShare this host's share of it, in requests per second. Both are zero if it
	// names none.
	RateLimit, RateShare float64
}

// Explanation states how a request would be placed.
type Explanation struct {
	// Decision is the decision that Choose returns. Its Server is nil if the request would be rejected.
	Decision Decision
	// KeepsRegion is true if requests for the service stay in the region of this host.
	KeepsRegion bool
	// Servers lists servers of the regions that are allowed, first the chosen one, then the other candidates.
	Servers []ExplainedServer
	// Omitted is the number of servers of these regions beyond maxExplained, OtherRegions that of servers in regions that are not allowed.
	Omitted, OtherRegions int
}

// Explainer explains the placement of one request. It works on a copy of the state that the decision uses, so it changes nothing, and may be
// used without the lock of the Table that it comes from.
type Explainer struct {
	table   *Table
	request *Request
	now     time.Time
}

// NextService returns the service that the next request of a route goes to, without counting a request.
func (t *Table) NextService(route *catalog.Route, version catalog.Version) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	var s splitter
	if known := t.splitters[route.HostName+route.Prefix]; known != nil {
		s = splitter{known.version, slices.Clone(known.credits)}
	}
	return s.next(route, version)
}

// Explainer returns an Explainer of a request at a time.
func (t *Table) Explainer(r *Request, now time.Time) *Explainer {
	return &Explainer{t.copyFor(r), r, now}
}

// Explain explains how the request would be placed.
func (t *Table) Explain(r *Request, now time.Time) Explanation { return t.Explainer(r, now).Explain() }

// copyFor returns a copy of the table with the state that the placement of a request reads or writes. What is replaced instead of changed,
// such as the view, is shared.
func (t *Table) copyFor(r *Request) *Table {
	c := *t
	entries := t.view.ByService[r.Service]
	c.servers = make(map[serverKey]*server, len(entries))
	// One allocation for all servers: the lock of the table is held meanwhile.
	servers := make([]server, len(entries))
	for i, entry := range entries {
		key := serverKey{entry.ID, entry.Incarnation}
		if s := t.servers[key]; s != nil {
			servers[i] = *s
			servers[i].objects = nil
			if at, ok := s.objects[r.Object]; ok {
				servers[i].objects = map[string]time.Time{r.Object: at}
			}
			c.servers[key] = &servers[i]
		}
	}
	c.routeTimes = map[string]*routeTimes{}
	if times := t.routeTimes[routeTimesKey(r.Route, r.Service)]; times != nil {
		c.routeTimes[routeTimesKey(r.Route, r.Service)] = &routeTimes{times.warm, times.cold}
	}
	c.averageLoads = copyValues(t.averageLoads)
	c.averageSpeeds = copyValues(t.averageSpeeds)
	c.capacities = maps.Clone(t.capacities)
	c.roundTrips = maps.Clone(t.roundTrips)
	c.workingSets = map[string]*workingSet{}
	if w := t.workingSets[r.Service]; w != nil {
		c.workingSets[r.Service] = &workingSet{w.current.copy(), w.previous.copy(), w.currentStart}
	}
	for i, bucket := range t.shareLimiter.buckets {
		c.shareLimiter.buckets[i] = maps.Clone(bucket)
	}
	c.sharers.inside, c.sharers.outside = maps.Clone(t.sharers.inside), maps.Clone(t.sharers.outside)
	c.splitters, c.retryBudgets, c.shared = nil, nil, sharedLoad{}
	return &c
}

func (s objectSample) copy() objectSample {
	s.requests = maps.Clone(s.requests)
	return s
}

func copyValues[V any](values map[string]*V) map[string]*V {
	c := make(map[string]*V, len(values))
	for key, v := range values {
		value := *v
		c[key] = &value
	}
	return c
}

// Explain explains how the request would be placed. It may be called once.
func (e *Explainer) Explain() Explanation {
	t, r, now := e.table, e.request, e.now
	out := Explanation{Decision: t.Choose(r, now)}
	service := t.service(r.Service)
	if service == nil {
		return out
	}
	usable, _ := t.usable(r, now)
	isUsable := make(map[*catalog.ServerEntry]bool, len(usable))
	for _, entry := range usable {
		isUsable[entry] = true
	}
	out.KeepsRegion = t.keepsInRegion(r)
	candidates := map[*catalog.ServerEntry]candidate{}
	if len(usable) > 0 {
		for _, c := range t.candidates(r, usable, out.KeepsRegion) {
			candidates[c.entry] = c
		}
	}
	for _, entry := range t.view.ByService[r.Service] {
		region := t.regions[entry.FailureDomain]
		if !r.Route.AllowedIn(region, r.Customer) {
			out.OtherRegions++
			continue
		}
		c, isCandidate := candidates[entry]
		if !isCandidate {
			c = candidate{entry, false}
		}
		s := t.explainServer(r, c, now)
		s.Candidate = isCandidate
		s.Chosen = entry == out.Decision.Server
		switch {
		case s.Chosen:
		case !isUsable[entry]:
			s.Reason = unusableReason(s.States)
		case !isCandidate:
			s.Reason = notChosenObject
		default:
			_, reason := t.evaluate(r, service, c, now)
			s.Reason = out.candidateReason(&s, reason)
		}
		out.Servers = append(out.Servers, s)
	}
	if out.Decision.Server != nil && !t.StartAttempt(&out.Decision, now) {
		out.reject()
	}
	slices.SortStableFunc(out.Servers, func(a, b ExplainedServer) int {
		return cmp.Or(first(a.Chosen, b.Chosen), first(a.Candidate, b.Candidate), first(isUsable[a.Entry], isUsable[b.Entry]),
			cmp.Compare(a.ExpectedLatency, b.ExpectedLatency), cmp.Compare(a.Entry.ID, b.Entry.ID))
	})
	out.Omitted = max(0, len(out.Servers)-maxExplained)
	out.Servers = out.Servers[:len(out.Servers)-out.Omitted]
	return out
}

// reject turns the explanation into that of a request whose server reached a limit after the choice, as the gateway does.
func (x *Explanation) reject() {
	x.Decision.Server, x.Decision.Reason = nil, ReasonColdLimit
	for i := range x.Servers {
		if x.Servers[i].Chosen {
			x.Servers[i].Chosen, x.Servers[i].Reason = false, notChosenCold
		}
	}
}

// explainServer returns what the table knows of a server, whether or not it can get the request.
func (t *Table) explainServer(r *Request, c candidate, now time.Time) ExplainedServer {
	s := t.serverState(c.entry)
	load := s.load.estimate(t.averageLoadAt(c.entry, now), now)
	out := ExplainedServer{
		Entry: c.entry, Region: t.regions[c.entry.FailureDomain], RoundTrip: t.roundTrip(c.entry.FailureDomain), Load: load, LoadAge: -time.Millisecond,
		Speed: t.speedOf(s, now), Warm: c.preferred || s.isWarm(r.Object, now), States: t.statesOf(s, now),
	}
	out.ExpectedLatency = out.RoundTrip + t.expectedServerTime(r, s, out.Warm, load, now)
	if !s.load.reported.IsZero() {
		out.LoadAge = now.Sub(s.load.reported)
	}
	if s.notice.limited {
		out.RateLimit, out.RateShare = s.notice.rateLimit, t.limiterOf(s, now).share.perSecond
	}
	return out
}

func (t *Table) statesOf(s *server, now time.Time) []ServerState {
	var states []ServerState
	for _, state := range []struct {
		name ServerState
		is   bool
	}{
		{StateDraining, s.entry.Draining},
		{StateEvacuated, t.view.Evacuated[s.entry.FailureDomain]},
		{StateLeaving, s.notice.leaving},
		{StateUnavailable, now.Before(s.notice.unavailableUntil)},
		{StateLimited, s.notice.limited},
		{StateEjected, s.ejection.isEjected(now)},
		{StateCold, now.Before(s.entry.ColdUntil)},
	} {
		if state.is {
			states = append(states, state.name)
		}
	}
	return states
}

// unusableReason returns the reason why a server with the given states is not eligible. The order is that of the checks of a decision.
func unusableReason(states []ServerState) string {
	for _, s := range []struct {
		state  ServerState
		reason string
	}{
		{StateDraining, notChosenDraining}, {StateEvacuated, notChosenEvacuated}, {StateLeaving, notChosenLeaving},
		{StateUnavailable, notChosenUnavailable}, {StateEjected, notChosenEjected}, {StateLimited, notChosenRateLimit},
	} {
		if slices.Contains(states, s.state) {
			return s.reason
		}
	}
	return "an earlier attempt used the server"
}

// candidateReason returns the reason why a candidate was not chosen. reason is why it cannot take the request, empty if it can.
func (x *Explanation) candidateReason(s *ExplainedServer, reason Reason) string {
	switch {
	case reason == ReasonColdLimit:
		return notChosenCold
	case reason != "":
		return notChosenFull
	case x.Decision.Reason == ReasonDeadlineTooEarly:
		return notChosenDeadline
	case s.ExpectedLatency < x.Decision.ExpectedLatency:
		return notChosenRegion
	default:
		return notChosenLater
	}
}

// first orders true before false.
func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
