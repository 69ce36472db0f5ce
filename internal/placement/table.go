package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
)

// maxRoutes limits the number of routes whose service times are kept, including routes of earlier configurations.
const maxRoutes = 10_000

// roundTripRiseSteps limits the rise of a round trip estimate per observation to this fraction of it, so that it takes
// about this number of observations to double.
const roundTripRiseSteps = 16

// Settings holds the limits of the platform that placement observes.
type Settings struct {
	// RetryRatio is the share of a service's requests that may be retries, over all hosts.
	RetryRatio float64
	// RetrySlack is the number of additional retries that are allowed over all hosts in a window of the platform.
	RetrySlack float64
}

// Table holds this host's information about the speed and load of the backend servers.
type Table struct {
	settings Settings
	copies   copyLimits
	self     string
	// domain is the failure domain of this host.
	domain string
	// regions maps failure domains to regions.
	regions      map[string]string
	view         *catalog.View
	hosts        []string
	sharers      sharers
	servers      map[serverKey]*server
	routeTimes   map[string]*routeTimes
	splitters    map[string]*splitter
	retryBudgets map[string]*retryBudget
	shareLimiter regionShareLimiter
	// averageLoads holds the requests of other hosts per slot of a service's servers, by service and region.
	averageLoads map[string]*averageLoad
	// capacities holds the capacity of each service in the current view, workingSets the objects that callers request from it.
	capacities  map[string]*capacity
	workingSets map[string]*workingSet
	// roundTrips holds the time to open a connection to each failure domain.
	roundTrips map[string]time.Duration
	shared     sharedLoad
	// averageSpeeds holds the average speeds of the machines of a service's servers.
	averageSpeeds map[string]*movingAverage
}

// serverKey identifies one incarnation of a server: a restarted server has neither the load nor the warm objects of the earlier
// incarnation.
type serverKey struct {
	id          string
	incarnation catalog.Incarnation
}

// server is the state of one incarnation of a backend server.
type server struct {
	entry    *catalog.ServerEntry
	load     load
	ejection ejection
	cold     coldRateLimiter
	notice   noticeState
	limiter  rateLimiter
	// ownReport is the latest load report of the server to this host. unsentReport is true if other hosts have not got it yet.
	ownReport    ownReport
	speed        machineSpeed
	unsentReport bool
	// missingSince is the time at which the entry was first found missing, zero while there is one.
	missingSince time.Time
	// slowness is the moving average of the observed time divided by the expected time.
	slowness slowness
	// objects holds the time at which this host last received a response about an object from the server.
	objects map[string]time.Time
}

// Quantiles of a route's service times that are used as the times of warm and cold objects. Most requests find their object warm,
// often because of requests of other hosts; few find it cold.
const (
	warmQuantile = 0.3
	coldQuantile = 0.95
)

// maxObjects limits the number of objects that are remembered for a server. Servers keep far fewer objects warm.
const maxObjects = 4096

// remember records that the server has handled an object. At maxObjects it removes the objects that have become cold, or all
// objects if none has.
func (s *server) remember(object string, now time.Time) {
	if len(s.objects) >= maxObjects {
		maps.DeleteFunc(s.objects, func(_ string, at time.Time) bool { return now.Sub(at) >= objectTTL })
	}
	if len(s.objects) >= maxObjects {
		clear(s.objects)
	}
	s.objects[object] = now
}

// routeTimes holds the service times of a route in seconds.
type routeTimes struct {
	// warm is for objects that the server handled recently, cold for others.
	warm quantile
	cold quantile
}

// add records the service time of a response in seconds.
func (times *routeTimes) add(run float64) {
	times.warm.add(run, warmQuantile)
	times.cold.add(run, coldQuantile)
}

// NewTable returns an empty table for the host self in a failure domain.
func NewTable(settings Settings, self, domain string, regions map[string]string) *Table {
	return &Table{
		settings: settings, copies: copyLimits{reliefServers, expectedHomeReuse, objectsPerServer}, self: self, domain: domain, regions: regions, view: &catalog.View{}, sharers: newSharers(self, regions[domain]),
		servers: map[serverKey]*server{}, routeTimes: map[string]*routeTimes{}, splitters: map[string]*splitter{},
		retryBudgets: map[string]*retryBudget{}, averageLoads: map[string]*averageLoad{}, capacities: map[string]*capacity{}, workingSets: map[string]*workingSet{}, roundTrips: map[string]time.Duration{}, averageSpeeds: map[string]*movingAverage{},
	}
}

// Configure replaces the view of the deployment.
func (t *Table) Configure(view *catalog.View, now time.Time) {
	if lostCapacity(t.view, view) {
		t.shareLimiter.lastLoss = now
	}
	t.view = view
	clear(t.capacities)
	maps.DeleteFunc(t.workingSets, func(service string, _ *workingSet) bool { return view.ByService[service] == nil })
	t.hosts = slices.Sorted(maps.Keys(view.Hosts))
	if !slices.Contains(t.hosts, t.self) {
		t.hosts = append(t.hosts, t.self)
		slices.Sort(t.hosts)
	}
	t.sharers.observe(view.Hosts, now)
	known := map[serverKey]bool{}
	for _, entry := range view.Servers {
		key := serverKey{entry.ID, entry.Incarnation}
		known[key] = true
		if s := t.servers[key]; s != nil {
			s.entry, s.missingSince = entry, time.Time{}
			continue
		}
		t.servers[key] = &server{entry: entry, objects: map[string]time.Time{}}
	}
	t.shared.configure(view, t.serverState)
	if len(t.routeTimes) > maxRoutes {
		clear(t.routeTimes)
		clear(t.splitters)
	}
	for key, s := range t.servers {
		if !known[key] && s.missingSince.IsZero() {
			s.missingSince = now
		}
	}
	maps.DeleteFunc(t.servers, func(key serverKey, s *server) bool {
		return !known[key] && s.load.ownRequests == 0 && !s.keepsNotice(now)
	})
}

// Hosts returns the number of entry hosts, this one included.
func (t *Table) Hosts() int { return max(1, len(t.hosts)) }

// Service returns the service that the next request of a route goes to.
func (t *Table) Service(route *catalog.Route, version catalog.Version) string {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	key := route.HostName + route.Prefix
	return getOrCreate(t.splitters, key).next(route, version)
}

// RecordRequest credits a request of a caller to the retry budget of its service.
func (t *Table) RecordRequest(service string) {
	t.budget(service).credit(t.settings.RetryRatio, t.budgetSize())
}

// SpendRetry reports whether a retry may be sent to a service, and deducts it from the retry budget.
func (t *Table) SpendRetry(service string) bool { return t.budget(service).spend() }

func (t *Table) budgetSize() float64 {
	return max(1, budgetShare*t.settings.RetrySlack/float64(t.Hosts()))
}

func (t *Table) budget(service string) *retryBudget {
	b := t.retryBudgets[service]
	if b == nil {
		b = &retryBudget{tokens: t.budgetSize() / 2}
		t.retryBudgets[service] = b
	}
	return b
}

func (t *Table) times(route *catalog.Route, service string) *routeTimes {
	return getOrCreate(t.routeTimes, routeTimesKey(route, service))
}

func routeTimesKey(route *catalog.Route, service string) string {
	return service + " " + route.HostName + route.Prefix
}

// getOrCreate returns the value of a key. It adds a zero value if the key is missing.
func getOrCreate[V any](values map[string]*V, key string) *V {
	v := values[key]
	if v == nil {
		v = new(V)
		values[key] = v
	}
	return v
}

// roundTrip returns the round trip to a failure domain, zero if none is known.
func (t *Table) roundTrip(domain string) time.Duration { return t.roundTrips[domain] }

// ObserveRoundTrip records the time taken to open a connection to a failure domain. Opening a connection takes much longer if a
// packet is lost, so the estimate falls immediately and rises slowly.
func (t *Table) ObserveRoundTrip(domain string, took time.Duration) {
	known := t.roundTrips[domain]
	if known == 0 || took < known {
		t.roundTrips[domain] = took
		return
	}
	t.roundTrips[domain] = min(took, known+known/roundTripRiseSteps)
}

// averageLoadAt returns the average number of requests from other hosts at a server, from the reports of all servers of the same
// service and region. Until the first report, each host of the server's region is assumed to send it as many requests as this host.
// Otherwise all hosts would fill the same idle servers simultaneously at a start.
func (t *Table) averageLoadAt(entry *catalog.ServerEntry, now time.Time) float64 {
	reports := t.averageLoadFor(entry)
	if reports.count > 0 {
		return reports.at(now) * float64(entry.Slots)
	}
	region := t.regions[entry.FailureDomain]
	others := t.capacityOf(entry.Service).byRegion[region].hosts
	if self := t.view.Hosts[t.self]; self != nil && self.Region == region {
		others--
	}
	return float64(others * t.serverState(entry).load.ownRequests)
}

func (t *Table) averageLoadFor(entry *catalog.ServerEntry) *averageLoad {
	return getOrCreate(t.averageLoads, entry.Service+" "+t.regions[entry.FailureDomain])
}

// lostCapacity reports whether servers or hosts are gone or restarted, or whether a drain or an evacuation has started or ended.
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
