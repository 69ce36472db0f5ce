package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
)

// mostRoutes bounds the routes whose times are kept, those of earlier configurations included.
const mostRoutes = 10_000

// roundTripRise is the number of observations after which a round trip that grew is believed to have doubled.
const roundTripRise = 16

// Settings are the bounds of the platform that placement keeps.
type Settings struct {
	// RetryRatio is the share of a service's requests that may be repeats, over all hosts.
	RetryRatio float64
	// RetrySlack is the number of repeats that are allowed besides, over all hosts and the platform's window.
	RetrySlack float64
}

// Table is what this host knows of the speed and load of the backend servers.
type Table struct {
	settings Settings
	copies   copyLimits
	self     string
	// domain is the failure domain of this host.
	domain string
	// regions maps failure domains to regions.
	regions map[string]string
	view    *catalog.View
	hosts   []string
	servers map[serverKey]*server
	routes  map[string]*routeTimes
	splits  map[string]*splitter
	budgets map[string]*retryBudget
	drift   drift
	// usual holds the work of other hosts for each slot of a service's servers, by service and region.
	usual map[string]*usual
	// capacities holds what the view says of a service, workingSets the objects that callers ask a service for.
	capacities  map[string]*capacity
	workingSets map[string]*workingSet
	// roundTrips holds the time to open a connection to each failure domain.
	roundTrips map[string]time.Duration
}

// serverKey tells incarnations apart: a restarted server has neither the load nor the warm objects of the earlier one.
type serverKey struct {
	id          string
	incarnation catalog.Incarnation
}

// server is the state of one incarnation of a backend server.
type server struct {
	entry    *catalog.ServerEntry
	load     load
	ejection ejection
	cold     coldAllowance
	// slowness is the average of observed time divided by expected time.
	slowness slowness
	// objects holds the time at which this host last got an answer about an object from the server.
	objects map[string]time.Time
}

// Shares of a route's times. Most requests find their object warm; few do not, also where other hosts have warmed it.
const (
	warmShare = 0.3
	coldShare = 0.95
)

// mostObjects bounds the objects that are remembered for a server; servers keep far fewer warm.
const mostObjects = 4096

// remember notes that the server has handled an object. A full memory forgets what has become cold, or else everything.
func (s *server) remember(object string, now time.Time) {
	if len(s.objects) >= mostObjects {
		maps.DeleteFunc(s.objects, func(_ string, at time.Time) bool { return now.Sub(at) >= objectTTL })
	}
	if len(s.objects) >= mostObjects {
		clear(s.objects)
	}
	s.objects[object] = now
}

// routeTimes holds the times that backend servers need for a route, in seconds.
type routeTimes struct {
	// warm is for objects that the server handled recently, cold for others.
	warm quantile
	cold quantile
}

// add takes the time of an answer in seconds.
func (times *routeTimes) add(run float64) {
	times.warm.add(run, warmShare)
	times.cold.add(run, coldShare)
}

// NewTable returns an empty table of the host self in a failure domain.
func NewTable(settings Settings, self, domain string, regions map[string]string) *Table {
	return &Table{
		settings: settings, copies: copyLimits{relief, reuse, homeReuse, objectsPerServer}, self: self, domain: domain, regions: regions, view: &catalog.View{},
		servers: map[serverKey]*server{}, routes: map[string]*routeTimes{}, splits: map[string]*splitter{},
		budgets: map[string]*retryBudget{}, usual: map[string]*usual{}, capacities: map[string]*capacity{}, workingSets: map[string]*workingSet{}, roundTrips: map[string]time.Duration{},
	}
}

// Configure takes a view of the deployment.
func (t *Table) Configure(view *catalog.View, now time.Time) {
	if lostCapacity(t.view, view) {
		t.drift.disturbed = now
	}
	t.view = view
	clear(t.capacities)
	maps.DeleteFunc(t.workingSets, func(service string, _ *workingSet) bool { return view.ByService[service] == nil })
	t.hosts = slices.Sorted(maps.Keys(view.Hosts))
	if !slices.Contains(t.hosts, t.self) {
		t.hosts = append(t.hosts, t.self)
		slices.Sort(t.hosts)
	}
	known := map[serverKey]bool{}
	for _, entry := range view.Servers {
		key := serverKey{entry.ID, entry.Incarnation}
		known[key] = true
		if s := t.servers[key]; s != nil {
			s.entry = entry
			continue
		}
		t.servers[key] = &server{entry: entry, objects: map[string]time.Time{}}
	}
	if len(t.routes) > mostRoutes {
		clear(t.routes)
		clear(t.splits)
	}
	maps.DeleteFunc(t.servers, func(key serverKey, s *server) bool { return !known[key] && s.load.own == 0 })
}

// Hosts returns the number of entry hosts, this one included.
func (t *Table) Hosts() int { return max(1, len(t.hosts)) }

// Service returns the service that the next request of a route goes to.
func (t *Table) Service(route *catalog.Route, version catalog.Version) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	key := route.HostName + route.Prefix
	return valueOf(t.splits, key).next(route, version)
}

// Arrived credits a request of a caller to the retry budget of its service.
func (t *Table) Arrived(service string) {
	t.budget(service).request(t.settings.RetryRatio, t.budgetSize())
}

// SpendRetry reports whether a repeat may be sent to a service.
func (t *Table) SpendRetry(service string) bool { return t.budget(service).spend() }

func (t *Table) budgetSize() float64 {
	return max(1, budgetUse*t.settings.RetrySlack/float64(t.Hosts()))
}

func (t *Table) budget(service string) *retryBudget {
	b := t.budgets[service]
	if b == nil {
		b = &retryBudget{tokens: t.budgetSize() / 2}
		t.budgets[service] = b
	}
	return b
}

func (t *Table) times(route *catalog.Route, service string) *routeTimes {
	return valueOf(t.routes, service+" "+route.HostName+route.Prefix)
}

// valueOf returns the value of a key, a new zero one if there is none yet.
func valueOf[V any](values map[string]*V, key string) *V {
	v := values[key]
	if v == nil {
		v = new(V)
		values[key] = v
	}
	return v
}

// roundTrip returns the round trip to a failure domain, zero if none is known.
func (t *Table) roundTrip(domain string) time.Duration { return t.roundTrips[domain] }

// ObserveRoundTrip takes the time that opening a connection to a failure domain took. Single connections take much longer
// when a packet is lost, so the estimate falls at once and rises slowly.
func (t *Table) ObserveRoundTrip(domain string, took time.Duration) {
	known := t.roundTrips[domain]
	if known == 0 || took < known {
		t.roundTrips[domain] = took
		return
	}
	t.roundTrips[domain] = min(took, known+known/roundTripRise)
}

// usualLoad returns the average work of other hosts at a server, from the reports of all servers like it. Until the first
// report, each host of the server's region is assumed to send it as much as this one: at a start all hosts would else fill
// the same idle servers at once.
func (t *Table) usualLoad(entry *catalog.ServerEntry, now time.Time) float64 {
	reports := t.usualFor(entry)
	if reports.count > 0 {
		return reports.at(now) * float64(entry.Slots)
	}
	region := t.regions[entry.FailureDomain]
	others := t.capacityOf(entry.Service).byRegion[region].hosts
	if self := t.view.Hosts[t.self]; self != nil && self.Region == region {
		others--
	}
	return float64(others * t.state(entry).load.own)
}

// IsFull reports whether the servers of a service in this host's region have as much work as slots, as far as this host knows. It answers
// callers who send many requests behind each other: while servers are full, what waits on its connection is no burden to them, and
// objects that are asked for one after the other push each other out less.
func (t *Table) IsFull(service string, now time.Time) bool {
	u := t.usual[service+" "+t.region()]
	return u != nil && u.count > 0 && u.at(now) >= 1
}

func (t *Table) usualFor(entry *catalog.ServerEntry) *usual {
	return valueOf(t.usual, entry.Service+" "+t.regions[entry.FailureDomain])
}

// lostCapacity reports whether servers or hosts are gone, or servers are not to be used any more or again.
func lostCapacity(before, after *catalog.View) bool {
	if !maps.Equal(before.Evacuated, after.Evacuated) {
		return true
	}
	for id, entry := range before.Servers {
		if now := after.Servers[id]; now == nil || now.Draining != entry.Draining || now.Incarnation != entry.Incarnation {
			return true
		}
	}
	for id, host := range before.Hosts {
		if now := after.Hosts[id]; now == nil || now.Incarnation != host.Incarnation {
			return true
		}
	}
	return false
}
