package forward

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/backend"
	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/rank"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// simulation is a set of entry hosts whose admission, router, connections and backend servers behave at random.
type simulation struct {
	snapshot *policy.Snapshot
	hosts    map[string]*Pipeline
	regions  map[string]string
	deadline time.Time

	mu  sync.Mutex
	rng *rand.Rand
	// problems lists the violations that the fakes detected.
	problems []string
	// permitReleases and grantReleases count the releases of each permit and grant.
	permitReleases, grantReleases []*int
	// forbiddenForwards holds "request from to" for each pair of hosts between which a request must not be forwarded again.
	forbiddenForwards map[string]bool
	// mayHaveRun counts by request id the attempts that got a response or have an unknown outcome.
	mayHaveRun map[string]int
	// forwards counts by request id the calls that reached a peer.
	forwards   map[string]int
	repeatable bool
}

func newSimulation(snapshot *policy.Snapshot, seed uint64) *simulation {
	sim := &simulation{
		snapshot:          snapshot,
		hosts:             map[string]*Pipeline{},
		forbiddenForwards: map[string]bool{},

		mayHaveRun: map[string]int{},
		forwards:   map[string]int{},
		regions:    map[string]string{"a": "north", "b": "north", "c": "south", "d": "south"},
		rng:        rand.New(rand.NewPCG(seed, 0)),
	}
	for host, region := range sim.regions {
		f := &fakeHost{sim: sim, host: host}
		sim.hosts[host] = NewPipeline(Options{
			Host: host, Region: func() string { return region }, Incarnation: func() membership.Incarnation { return 1 }, Admitter: f, Router: f, Forwarder: f, Attempter: f,
			Policy: func() *policy.Snapshot { return sim.snapshot },
		})
	}
	return sim
}

func (s *simulation) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

func (s *simulation) millis(n int) time.Duration { return time.Duration(s.intN(n)) * time.Millisecond }

func (s *simulation) addProblem(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, text)
}

func (s *simulation) count(counter *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter++
}

func (s *simulation) countFor(counts map[string]int, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts[id]++
}

// checkDeadline records a problem if the deadline is later than that of the request.
func (s *simulation) checkDeadline(deadline time.Time, where string) {
	if deadline.After(s.deadline) {
		s.addProblem("time budget extended in " + where)
	}
}

// fakeHost implements Admitter, Router, Forwarder and Attempter for one entry host.
type fakeHost struct {
	sim  *simulation
	host string
}

type fakePermit struct {
	sim    *simulation
	server string
	number int
}

func (p *fakePermit) BackendServer() string { return p.server }

func (p *fakePermit) Release(hold time.Duration) {
	if hold != 0 && hold != SlotHoldTime {
		p.sim.addProblem("hold time " + hold.String())
	}
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	*p.sim.permitReleases[p.number]++
}

func (f *fakeHost) Acquire(ctx context.Context, _ string, _ rank.Rank, _ string, deadline time.Time, maxWait time.Duration, exclude []string) (Permit, *result.Failure) {
	sim := f.sim
	sim.checkDeadline(deadline, "Acquire")
	if maxWait > 0 {
		select {
		case <-time.After(min(maxWait, sim.millis(30))):
		case <-ctx.Done():
			return nil, result.Fail(result.CallerGone, "caller left")
		}
	}
	server := []string{"b1", "b2", "b3"}[sim.intN(3)]
	if sim.intN(3) == 0 || slices.Contains(exclude, server) {
		codes := []result.Code{result.NoCapacity, result.NoCapacity, result.QueueTimeout, result.NoBackendServer, result.CallerLimit, result.HostLeaving}
		return nil, result.Fail(codes[sim.intN(len(codes))], "rejected")
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.permitReleases = append(sim.permitReleases, new(int))
	return &fakePermit{sim: sim, server: server, number: len(sim.permitReleases) - 1}, nil
}

func (f *fakeHost) target(req *Request) (Target, bool) {
	sim := f.sim
	host := []string{"a", "b", "c", "d"}[sim.intN(4)]
	if sim.intN(5) == 0 || req.Forwards > 0 && sim.regions[host] != sim.regions[f.host] {
		return Target{}, false
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	releases := new(int)
	sim.grantReleases = append(sim.grantReleases, releases)
	return Target{Host: host, Region: sim.regions[host], Release: func() { sim.count(releases) }}, true
}

// Next ignores the tried hosts, so that the check in the pipeline is tested.
func (f *fakeHost) Next(req *Request, _ []string, _ time.Duration) (Target, bool) {
	return f.target(req)
}

func (f *fakeHost) ShiftFor(req *Request) (Target, bool) {
	if f.sim.intN(3) > 0 {
		return Target{}, false
	}
	t, ok := f.target(req)
	t.ShiftID = "shift"
	return t, ok
}

// ForwardTo loses connections before and after the call, and repeats a call as the peer package does after a lost connection.
func (f *fakeHost) ForwardTo(ctx context.Context, host string, req *Request) (*Response, *result.Failure) {
	sim := f.sim
	sim.checkDeadline(time.Now().Add(req.Timeout), "Pass")
	f.checkForwardAllowed(req.ID, host)
	response, failure := f.forwardOnce(ctx, host, req)
	if failure == nil || failure.Code != result.ConnectFailed {
		// A peer that was not reached received no request. checkForwardAllowed limits such calls to one per host.
		sim.countFor(sim.forwards, req.ID)
	}
	if failure == nil && response.Code.NotRun() {
		f.forbidRegion(req.ID, host)
	}
	return response, failure
}

// checkForwardAllowed records a problem if the request was forwarded to the host before or the host's region rejected it.
func (f *fakeHost) checkForwardAllowed(id, host string) {
	sim := f.sim
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if host == f.host || sim.forbiddenForwards[id+" "+f.host+" "+host] {
		sim.problems = append(sim.problems, "forwarded again from "+f.host+" to "+host)
	}
	sim.forbiddenForwards[id+" "+f.host+" "+host] = true
}

func (f *fakeHost) forbidRegion(id, rejectingHost string) {
	sim := f.sim
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for host, region := range sim.regions {
		if region == sim.regions[rejectingHost] && region != sim.regions[f.host] {
			sim.forbiddenForwards[id+" "+f.host+" "+host] = true
		}
	}
}

func (f *fakeHost) forwardOnce(ctx context.Context, host string, req *Request) (*Response, *result.Failure) {
	sim := f.sim
	if sim.intN(8) == 0 {
		return nil, result.Fail(result.ConnectFailed, "no connection to the peer")
	}
	copied := *req
	responses := make(chan *Response, 2)
	calls := 1
	if sim.intN(4) == 0 && !req.Repeatable {
		calls = 2
	}
	for range calls {
		go func() { responses <- sim.hosts[host].Handle(context.Background(), &copied) }()
	}
	if sim.intN(8) == 0 {
		return nil, result.Fail(result.PeerLost, "lost")
	}
	if calls == 2 {
		<-responses
	}
	select {
	case r := <-responses:
		return r, nil
	case <-ctx.Done():
		return nil, result.Fail(result.PeerLost, "deadline")
	}
}

func (f *fakeHost) Do(ctx context.Context, _ *policy.Service, _ *policy.BackendServer, req *backend.Request) backend.Result {
	sim := f.sim
	if deadline, ok := ctx.Deadline(); !ok || deadline.After(sim.deadline) {
		sim.addProblem("time budget extended in Do")
	}
	sim.mu.Lock()
	if len(sim.mayHaveRun) > 0 && !sim.repeatable {
		sim.problems = append(sim.problems, "an attempt follows one that may have run")
	}
	sim.mu.Unlock()
	if req.TraceParent != traceParent(ctx) {
		sim.addProblem("the attempt does not carry the trace context of its span")
	}
	req.OnConnected(sim.intN(2) == 0)
	res := f.randomResult(ctx)
	if res.Outcome != backend.NotRun {
		sim.countFor(sim.mayHaveRun, req.ID)
	}
	return res
}

func (f *fakeHost) randomResult(ctx context.Context) backend.Result {
	sim := f.sim
	select {
	case <-ctx.Done():
		return backend.Result{Outcome: backend.Unknown, Failure: result.Fail(result.AttemptTimeout, "cancelled")}
	case <-time.After(sim.millis(200)):
	}
	switch sim.intN(6) {
	case 0:
		return backend.Result{Outcome: backend.NotRun, Failure: result.Fail(result.ConnectFailed, "refused")}
	case 1:
		return backend.Result{Outcome: backend.NotRun, Status: 503, Failure: result.Fail(result.BackendShed, "shed")}
	case 2:
		return backend.Result{Outcome: backend.Unknown, Failure: result.Fail(result.ConnectionLost, "lost")}
	case 3:
		// A bug in the client: the code and the outcome disagree.
		return backend.Result{Outcome: backend.Unknown, Failure: result.Fail(result.ConnectFailed, "refused")}
	default:
		return backend.Result{Outcome: backend.Completed, Status: 200, Body: []byte("whole")}
	}
}

func loopback(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port))
}

// testSnapshot returns a compiled policy with one service and one failure domain.
func testSnapshot(t testing.TB, hedgeAfterMs int, servers ...policy.BackendServer) *policy.Snapshot {
	t.Helper()
	doc := &policy.Document{
		Timing:         policy.Timing{MaxRequestMs: 10_000},
		Deployment:     "test",
		Regions:        []policy.Region{{Name: "north"}},
		FailureDomains: []policy.FailureDomain{{Name: "d", Region: "north"}},
		Hosts:          []policy.Host{{ID: "a", FailureDomain: "d", CallerAddress: loopback(1), PeerAddress: loopback(2), AdminAddress: loopback(3)}},
		Services: []policy.Service{{
			Name: "s", Team: "t", MaxRequestMs: 10_000, HedgeAfterMs: hedgeAfterMs, RetryBudget: 0.5,
			Routes: []policy.Route{{PathPrefix: "/"}},
		}},
		BackendServers: servers,
	}
	snapshot, err := policy.Compile(doc, 1, "c")
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

func testServers(ids ...string) []policy.BackendServer {
	var list []policy.BackendServer
	for i, id := range ids {
		list = append(list, policy.BackendServer{ID: id, Service: "s", FailureDomain: "d", Address: loopback(100 + i), Slots: 3})
	}
	return list
}
