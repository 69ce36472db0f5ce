package placement

import (
	"time"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
)

const (
	// objectTTL is the time after which an object counts as cold on a server to which this host has sent no request for it.
	objectTTL = 30 * time.Second
	// assumedColdFactor is the ratio of cold to warm service times that is assumed until the first response.
	assumedColdFactor = 3
	// minTimes is the number of measured service times of a route from which they are used to reject requests.
	minTimes = 10
	// minColdFactor is the lowest ratio of cold to warm service times that is assumed once responses were measured.
	minColdFactor = 2.5
)

// Request holds the properties of a request that placement uses.
type Request struct {
	Route *catalog.Route
	// Customer is the customer on whose behalf the request is made, nil if it is not known.
	Customer *catalog.Customer
	Service  string
	// Object identifies what the request concerns, see ObjectOf. Requests for an object are faster on a server that handled it
	// recently.
	Object string
	// LargeBody is true if the request's body is large, so that it must not wait in a long queue at a server.
	LargeBody bool
	// Deadline is the time after which the caller no longer uses a response.
	Deadline time.Time
	// Excluded lists the servers that previous attempts have used.
	Excluded []string
}

// Rank returns the priority of the request; 0 is the most urgent.
func (r *Request) Rank() int { return r.Route.RankFor(r.Customer) }

// ObjectOf returns the object of a request of a route whose caller states a key. Requests of another route with the same key do
// other work: a server that has handled one of them recently is not faster for the other.
func ObjectOf(route *catalog.Route, key string) string {
	return route.HostName + route.Prefix + " " + key
}

// Reason states why a request was placed or rejected.
type Reason string

// Reasons of decisions.
const (
	ReasonPreferredServer      Reason = "preferred_server"
	ReasonPreferredServersFull Reason = "preferred_servers_full"
	ReasonNoUsableServer       Reason = "no_usable_server"
	ReasonServersFullForRank   Reason = "servers_full_for_rank"
	ReasonDeadlineTooEarly     Reason = "deadline_before_expected_answer"
	ReasonColdLimit            Reason = "cold_limit"
	ReasonRateLimit            Reason = "rate_limit"
	ReasonServiceNotConfigured Reason = "service_not_configured"
)

// Decision is the result of placing a request. Server is nil if the request is rejected.
type Decision struct {
	Server *catalog.ServerEntry
	Reason Reason
	// ExpectedLatency is the expected time until the response.
	ExpectedLatency time.Duration
	// RoundTrip is the network round trip that ExpectedLatency includes.
	RoundTrip time.Duration
	// Load is the estimated number of requests at the server. LoadAge is the age of the server's latest load report and
	// negative if there is none.
	Load    float64
	LoadAge time.Duration
	// Warm is true if the object is expected to be warm on the server.
	Warm bool
	// Usable is the number of servers that were eligible for the request.
	Usable int
	// RateLimit is the limit that the server names, and RateShare this host's share of it, in requests per second. Both are zero if it
	// names none.
	RateLimit, RateShare float64
	// AvailableIn is the time until a server takes the request that was rejected, zero if it is not known.
	AvailableIn time.Duration
	server      *server
}

// Choose selects a backend server for a request or rejects the request.
func (t *Table) Choose(r *Request, now time.Time) Decision {
	service := t.service(r.Service)
	if service == nil {
		return Decision{Reason: ReasonServiceNotConfigured}
	}
	usable, excluded := t.usable(r, now)
	if len(usable) == 0 {
		return excluded
	}
	best := Decision{Reason: ReasonServersFullForRank, Usable: len(usable)}
	if r.Route.Sticky && len(r.Excluded) == 0 {
		t.workingSet(r.Service).add(r.Object, now)
	}
	inOwnRegion := t.keepsInRegion(r)
	bias := noBias
	if inOwnRegion {
		bias = t.shareLimiter.bias(t.region(), now)
	}
	for _, c := range t.candidates(r, usable, inOwnRegion) {
		option, reason := t.evaluate(r, service, c, now)
		if reason == ReasonColdLimit && best.Server == nil {
			best.Reason = reason
		}
		if reason != "" {
			continue
		}
		if best.Server == nil || t.isBetter(&option, &best, bias) {
			option.Usable = len(usable)
			option.Reason = ReasonPreferredServer
			if !c.preferred {
				option.Reason = ReasonPreferredServersFull
			}
			best = option
		}
	}
	mustFit := best.Server != nil && (best.wouldQueue() || r.Deadline.Sub(now) < r.Route.SLO)
	if mustFit && t.hasTimes(r) && now.Add(best.ExpectedLatency).After(r.Deadline) {
		return Decision{Reason: ReasonDeadlineTooEarly, ExpectedLatency: best.ExpectedLatency, Usable: len(usable)}
	}
	return best
}

// wouldQueue reports whether the request would wait for a slot. A request that would not wait, and has at least its SLO left until
// the deadline, is not rejected because of its expected latency: it takes no slot from another request, and a host whose measured
// times are too long would otherwise reject all requests and never measure shorter times.
func (d *Decision) wouldQueue() bool { return d.Load+1 > float64(d.Server.Slots) }

// hasTimes reports whether enough responses were measured to reject a request because of its expected latency.
func (t *Table) hasTimes(r *Request) bool { return t.times(r.Route, r.Service).warm.count >= minTimes }

// isBetter reports whether decision a is better than decision b. While the share of requests per region changes too fast, the
// region that loses requests is preferred.
func (t *Table) isBetter(a, b *Decision, bias regionBias) bool {
	ownA, ownB := t.isOwnRegion(a.Server), t.isOwnRegion(b.Server)
	switch {
	case ownA == ownB || bias == noBias:
		return a.ExpectedLatency < b.ExpectedLatency
	case bias == preferOwnRegion:
		return ownA
	default:
		return ownB
	}
}

func (t *Table) isOwnRegion(entry *catalog.ServerEntry) bool {
	return t.regions[entry.FailureDomain] == t.region()
}

func (t *Table) service(name string) *catalog.Service {
	if t.view.Configuration == nil {
		return nil
	}
	return t.view.Configuration.Services[name]
}

// usable returns the servers that are eligible for the request, before load and cold limits are considered. If there are none, the
// decision says why.
func (t *Table) usable(r *Request, now time.Time) ([]*catalog.ServerEntry, Decision) {
	all := t.view.ByService[r.Service]
	healthy := make([]*catalog.ServerEntry, 0, len(all))
	var ejected []*catalog.ServerEntry
	excluded := Decision{Reason: ReasonNoUsableServer}
	for _, entry := range all {
		if !t.isAllowed(r, entry) {
			continue
		}
		s := t.serverState(entry)
		if s.notice.isSet && !t.noticeAllows(s, r, now, &excluded) {
			continue
		}
		if s.ejection.isEjected(now) {
			ejected = append(ejected, entry)
		} else {
			healthy = append(healthy, entry)
		}
	}
	if float64(len(ejected)) > maxEjectedShare*float64(len(ejected)+len(healthy)) {
		return append(healthy, ejected...), excluded
	}
	return healthy, excluded
}

// noticeAllows reports whether the notices of a server allow a request now. If they do not, it records the reason and the wait in the
// decision for the case that no server is eligible.
func (t *Table) noticeAllows(s *server, r *Request, now time.Time, excluded *Decision) bool {
	wait := s.notice.unavailableUntil.Sub(now)
	switch {
	case s.notice.leaving:
		return false
	case wait > 0:
	case s.notice.limited:
		if wait = t.limiterOf(s, now).availableIn(r.Rank()); wait == 0 {
			return true
		}
		excluded.Reason = ReasonRateLimit
	default:
		return true
	}
	if wait > 0 && (excluded.AvailableIn == 0 || wait < excluded.AvailableIn) {
		excluded.AvailableIn = wait
	}
	return false
}

func (t *Table) isAllowed(r *Request, entry *catalog.ServerEntry) bool {
	if entry.Draining || t.view.Evacuated[entry.FailureDomain] || !r.Route.AllowedIn(t.regions[entry.FailureDomain], r.Customer) {
		return false
	}
	for _, id := range r.Excluded {
		if id == entry.ID {
			return false
		}
	}
	return true
}

func (t *Table) serverState(entry *catalog.ServerEntry) *server {
	key := serverKey{entry.ID, entry.Incarnation}
	s := t.servers[key]
	if s == nil {
		s = &server{entry: entry, objects: map[string]time.Time{}}
		t.servers[key] = s
	}
	return s
}

// evaluate returns the decision for sending the request to a candidate. A non-empty reason means that the server cannot take it
// now.
func (t *Table) evaluate(r *Request, service *catalog.Service, c candidate, now time.Time) (Decision, Reason) {
	entry, s := c.entry, t.serverState(c.entry)
	if now.Before(entry.ColdUntil) {
		if !s.cold.available(t.coldRate(entry, service), now) {
			return Decision{}, ReasonColdLimit
		}
	}
	estimate := s.load.estimate(t.averageLoadAt(entry, now), now)
	if estimate+1 > t.maxRequestsFor(r.Rank(), entry.Slots, r.LargeBody) {
		return Decision{}, ReasonServersFullForRank
	}
	warm := c.preferred || s.isWarm(r.Object, now)
	d := Decision{Server: entry, Load: estimate, LoadAge: -time.Millisecond, Warm: warm, server: s}
	if !s.load.reported.IsZero() {
		d.LoadAge = now.Sub(s.load.reported)
	}
	if s.notice.limited {
		d.RateLimit, d.RateShare = s.notice.rateLimit, s.limiter.share.perSecond
	}
	d.RoundTrip = t.roundTrip(entry.FailureDomain)
	d.ExpectedLatency = d.RoundTrip + t.expectedServerTime(r, s, warm, estimate, now)
	return d, ""
}

func (s *server) isWarm(object string, now time.Time) bool {
	at, ok := s.objects[object]
	return ok && now.Sub(at) < objectTTL
}

// expectedServerTime returns the expected time in the queue and in a slot of a server.
func (t *Table) expectedServerTime(r *Request, s *server, warm bool, estimate float64, now time.Time) time.Duration {
	seconds := t.serviceTime(r, warm) * s.slowness.at(now) * t.speedOf(s, now) * queueFactor(estimate, s.entry.Slots)
	return time.Duration(seconds * float64(time.Second))
}

// queueFactor returns the factor by which the load of a server lengthens a request, including the wait for a slot.
func queueFactor(load float64, slots int) float64 {
	return max(1, (load+1)/float64(slots))
}

// serviceTime returns the service time of the route in seconds. Until the first response, the SLO is assumed to be the service time
// of a cold object.
func (t *Table) serviceTime(r *Request, warm bool) float64 {
	times := t.times(r.Route, r.Service)
	if times.warm.count == 0 {
		if warm {
			return r.Route.SLO.Seconds() / assumedColdFactor
		}
		return r.Route.SLO.Seconds()
	}
	if warm {
		return times.warm.value
	}
	return max(times.cold.value, minColdFactor*times.warm.value)
}
