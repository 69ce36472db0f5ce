package placement

import (
	"time"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
)

const (
	// objectTTL is the time after which an object counts as cold on a server that this host has not asked about it.
	objectTTL = 30 * time.Second
	// coldFactor is the ratio of cold to warm service times that is assumed until answers were seen.
	coldFactor = 3
	// leastAnswers is the number of answers from which the times of a route are known.
	leastAnswers = 10
	// leastColdFactor is the ratio from which a server is taken to work faster on objects that it handled recently.
	leastColdFactor = 2.5
)

// Request is what placement needs to know of a request.
type Request struct {
	Route   *catalog.Route
	Service string
	// Object names what the request is about; requests of one object are faster on a server that handled it recently.
	Object string
	// Deadline is the time after which an answer is worthless to the caller.
	Deadline time.Time
	// Excluded lists the servers that were tried.
	Excluded []string
}

// Reason tells why a request was placed or rejected.
type Reason string

// Reasons of decisions.
const (
	Preferred       Reason = "preferred_server"
	Relieved        Reason = "preferred_servers_full"
	NoServer        Reason = "no_usable_server"
	NoRoom          Reason = "servers_full_for_rank"
	TooLate         Reason = "deadline_before_expected_answer"
	ColdLimit       Reason = "cold_limit"
	UnknownServices Reason = "service_not_configured"
)

// Decision is where a request goes. Server is nil if the request is rejected.
type Decision struct {
	Server *catalog.ServerEntry
	Reason Reason
	// Expected is the time until the answer is expected.
	Expected time.Duration
	// RoundTrip is the part of it on the way to the server and back.
	RoundTrip time.Duration
	// Load is the estimated number of requests at the server, and LoadAge the age of its latest report; negative if there is
	// none.
	Load    float64
	LoadAge time.Duration
	// Warm is true if the object is expected to be warm on the server.
	Warm bool
	// Usable is the number of servers that could be considered.
	Usable int
	server *server
}

// Choose decides where a request goes now.
func (t *Table) Choose(r *Request, now time.Time) Decision {
	service := t.service(r.Service)
	if service == nil {
		return Decision{Reason: UnknownServices}
	}
	usable := t.usable(r, now)
	if len(usable) == 0 {
		return Decision{Reason: NoServer}
	}
	best := Decision{Reason: NoRoom, Usable: len(usable)}
	if r.Route.Sticky && len(r.Excluded) == 0 {
		t.workingSet(r.Service).add(r.Object, now)
	}
	copies := t.spread(r, usable)
	bias := stay
	if copies != oneCopy {
		bias = t.drift.bias(t.region(), now)
	}
	for _, c := range t.candidates(r, usable, copies) {
		option, reason := t.option(r, service, c, now)
		if reason == ColdLimit && best.Server == nil {
			best.Reason = reason
		}
		if reason != "" {
			continue
		}
		if best.Server == nil || t.better(&option, &best, bias) {
			option.Usable = len(usable)
			option.Reason = Preferred
			if !c.preferred {
				option.Reason = Relieved
			}
			best = option
		}
	}
	mustFit := best.Server != nil && (best.waits() || r.Deadline.Sub(now) < r.Route.SLO)
	if mustFit && t.knows(r) && now.Add(best.Expected).After(r.Deadline) {
		return Decision{Reason: TooLate, Expected: best.Expected, Usable: len(usable)}
	}
	return best
}

// waits reports whether the request would wait for a slot. A request that would not, and that has the time of its SLO, is not
// rejected for its expected time: it takes no slot from another, and a host that has learned too long times would reject all work
// and learn nothing more.
func (d *Decision) waits() bool { return d.Load+1 > float64(d.Server.Slots) }

// knows reports whether enough answers were seen to reject a request because of the time that it would take.
func (t *Table) knows(r *Request) bool { return t.times(r.Route, r.Service).warm.count >= leastAnswers }

// better reports whether an option is better than another one. While work moves between regions too fast, the region that it
// moves from comes first.
func (t *Table) better(a, b *Decision, bias bias) bool {
	homeA, homeB := t.isHome(a.Server), t.isHome(b.Server)
	switch {
	case homeA == homeB || bias == stay:
		return a.Expected < b.Expected
	case bias == home:
		return homeA
	default:
		return homeB
	}
}

func (t *Table) isHome(entry *catalog.ServerEntry) bool {
	return t.regions[entry.FailureDomain] == t.region()
}

func (t *Table) service(name string) *catalog.Service {
	if t.view.Configuration == nil {
		return nil
	}
	return t.view.Configuration.Services[name]
}

// usable lists the servers that may get the request at all.
func (t *Table) usable(r *Request, now time.Time) []*catalog.ServerEntry {
	var healthy, ejected []*catalog.ServerEntry
	for _, entry := range t.view.ByService[r.Service] {
		if !t.allowed(r, entry) {
			continue
		}
		if t.state(entry).ejection.ejected(now) {
			ejected = append(ejected, entry)
		} else {
			healthy = append(healthy, entry)
		}
	}
	if float64(len(ejected)) > maxEjectedShare*float64(len(ejected)+len(healthy)) {
		return append(healthy, ejected...)
	}
	return healthy
}

func (t *Table) allowed(r *Request, entry *catalog.ServerEntry) bool {
	if entry.Draining || t.view.Evacuated[entry.FailureDomain] || !r.Route.AllowedIn(t.regions[entry.FailureDomain]) {
		return false
	}
	for _, id := range r.Excluded {
		if id == entry.ID {
			return false
		}
	}
	return true
}

func (t *Table) state(entry *catalog.ServerEntry) *server {
	key := serverKey{entry.ID, entry.Incarnation}
	s := t.servers[key]
	if s == nil {
		s = &server{entry: entry, objects: map[string]time.Time{}}
		t.servers[key] = s
	}
	return s
}

// option works out what the request would meet at a server. A reason says that it may not go there now.
func (t *Table) option(r *Request, service *catalog.Service, c candidate, now time.Time) (Decision, Reason) {
	entry, s := c.entry, t.state(c.entry)
	if now.Before(entry.ColdUntil) {
		if !s.cold.available(t.coldRate(entry, service), now) {
			return Decision{}, ColdLimit
		}
	}
	estimate := s.load.estimate(t.usualLoad(entry, now), now)
	if estimate+1 > t.roomFor(r.Route.Rank, entry.Slots) {
		return Decision{}, NoRoom
	}
	warm := c.preferred || s.isWarm(r.Object, now)
	d := Decision{Server: entry, Load: estimate, LoadAge: -time.Millisecond, Warm: warm, server: s}
	if !s.load.reported.IsZero() {
		d.LoadAge = now.Sub(s.load.reported)
	}
	d.RoundTrip = t.roundTrip(entry.FailureDomain)
	d.Expected = d.RoundTrip + t.expectedRun(r, s, warm, estimate, now)
	return d, ""
}

func (s *server) isWarm(object string, now time.Time) bool {
	at, ok := s.objects[object]
	return ok && now.Sub(at) < objectTTL
}

// expectedRun returns the time in the queue and the slot of a server.
func (t *Table) expectedRun(r *Request, s *server, warm bool, estimate float64, now time.Time) time.Duration {
	seconds := t.serviceTime(r, warm) * s.slowness.at(now) * queueFactor(estimate, s.entry.Slots)
	return time.Duration(seconds * float64(time.Second))
}

// queueFactor returns how many times longer a request takes at a server that has a number of others, the wait for a slot included.
func queueFactor(load float64, slots int) float64 {
	return max(1, (load+1)/float64(slots))
}

// serviceTime returns the time of the route in seconds. Until an answer was seen, the SLO stands for the time of a first
// request.
func (t *Table) serviceTime(r *Request, warm bool) float64 {
	times := t.times(r.Route, r.Service)
	if times.warm.count == 0 {
		if warm {
			return r.Route.SLO.Seconds() / coldFactor
		}
		return r.Route.SLO.Seconds()
	}
	if warm {
		return times.warm.value
	}
	return max(times.cold.value, leastColdFactor*times.warm.value)
}
