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

// world is a set of entry hosts whose admission, routes, connections and backend servers behave at random.
type world struct {
	snapshot *policy.Snapshot
	hosts    map[string]*Pipeline
	regions  map[string]string
	deadline time.Time

	mu  sync.Mutex
	rng *rand.Rand
	// problems lists violations that the fakes saw.
	problems []string
	// permits and grants count releases by their number.
	permits, grants []*int
	// closed lists "request from to" between which hosts a request must not be passed any more.
	closed map[string]bool
	// mayHaveRun counts attempts that were answered or have an unknown outcome, by request id.
	mayHaveRun map[string]int
	// passes counts calls of peers by request id.
	passes     map[string]int
	repeatable bool
}

func newWorld(snapshot *policy.Snapshot, seed uint64) *world {
	w := &world{
		snapshot: snapshot,
		hosts:    map[string]*Pipeline{},
		closed:   map[string]bool{},

		mayHaveRun: map[string]int{},
		passes:     map[string]int{},
		regions:    map[string]string{"a": "north", "b": "north", "c": "south", "d": "south"},
		rng:        rand.New(rand.NewPCG(seed, 0)),
	}
	for host, region := range w.regions {
		f := &fakeHost{world: w, host: host}
		w.hosts[host] = NewPipeline(Options{
			Host: host, Region: func() string { return region }, Incarnation: func() membership.Incarnation { return 1 }, Admitter: f, Router: f, Passer: f, Attempter: f,
			Policy: func() *policy.Snapshot { return w.snapshot },
		})
	}
	return w
}

func (w *world) intN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

func (w *world) millis(n int) time.Duration { return time.Duration(w.intN(n)) * time.Millisecond }

func (w *world) problem(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.problems = append(w.problems, text)
}

func (w *world) count(counter *int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*counter++
}

func (w *world) countFor(counts map[string]int, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts[id]++
}

// checkDeadline notes an extended time budget.
func (w *world) checkDeadline(deadline time.Time, where string) {
	if deadline.After(w.deadline) {
		w.problem("time budget extended in " + where)
	}
}

// fakeHost is the surroundings of one entry host.
type fakeHost struct {
	world *world
	host  string
}

type fakePermit struct {
	world  *world
	server string
	number int
}

func (p *fakePermit) BackendServer() string { return p.server }

func (p *fakePermit) Release(hold time.Duration) {
	if hold != 0 && hold != HoldTime {
		p.world.problem("hold time " + hold.String())
	}
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	*p.world.permits[p.number]++
}

func (f *fakeHost) Acquire(ctx context.Context, _ string, _ rank.Rank, _ string, deadline time.Time, maxWait time.Duration, exclude []string) (Permit, *result.Failure) {
	w := f.world
	w.checkDeadline(deadline, "Acquire")
	if maxWait > 0 {
		select {
		case <-time.After(min(maxWait, w.millis(30))):
		case <-ctx.Done():
			return nil, result.Fail(result.CallerGone, "gone")
		}
	}
	server := []string{"b1", "b2", "b3"}[w.intN(3)]
	if w.intN(3) == 0 || slices.Contains(exclude, server) {
		codes := []result.Code{result.NoCapacity, result.NoCapacity, result.QueueTimeout, result.NoBackendServer, result.CallerLimit, result.HostLeaving}
		return nil, result.Fail(codes[w.intN(len(codes))], "refused")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.permits = append(w.permits, new(int))
	return &fakePermit{world: w, server: server, number: len(w.permits) - 1}, nil
}

func (f *fakeHost) target(req *Request) (Target, bool) {
	w := f.world
	host := []string{"a", "b", "c", "d"}[w.intN(4)]
	if w.intN(5) == 0 || req.Forwards > 0 && w.regions[host] != w.regions[f.host] {
		return Target{}, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	releases := new(int)
	w.grants = append(w.grants, releases)
	return Target{Host: host, Region: w.regions[host], Release: func() { w.count(releases) }}, true
}

// Next ignores what was tried, so that the pipeline's own check is tested.
func (f *fakeHost) Next(req *Request, _ []string, _ time.Duration) (Target, bool) {
	return f.target(req)
}

func (f *fakeHost) ShiftFor(req *Request) (Target, bool) {
	if f.world.intN(3) > 0 {
		return Target{}, false
	}
	t, ok := f.target(req)
	t.ShiftID = "shift"
	return t, ok
}

// Pass loses connections before and after the call, and repeats a call as the peer package does after a lost connection.
func (f *fakeHost) Pass(ctx context.Context, host string, req *Request) (*Response, *result.Failure) {
	w := f.world
	w.checkDeadline(time.Now().Add(req.Timeout), "Pass")
	f.checkRoute(req.ID, host)
	response, failure := f.pass(ctx, host, req)
	if failure == nil || failure.Code != result.ConnectFailed {
		// A peer that was not reached got no request. checkRoute keeps such tries to one for each host.
		w.countFor(w.passes, req.ID)
	}
	if failure == nil && response.Code.NotRun() {
		f.closeRegion(req.ID, host)
	}
	return response, failure
}

// checkRoute notes a second pass to a host and one to a region that refused.
func (f *fakeHost) checkRoute(id, host string) {
	w := f.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if host == f.host || w.closed[id+" "+f.host+" "+host] {
		w.problems = append(w.problems, "passed again from "+f.host+" to "+host)
	}
	w.closed[id+" "+f.host+" "+host] = true
}

func (f *fakeHost) closeRegion(id, refused string) {
	w := f.world
	w.mu.Lock()
	defer w.mu.Unlock()
	for host, region := range w.regions {
		if region == w.regions[refused] && region != w.regions[f.host] {
			w.closed[id+" "+f.host+" "+host] = true
		}
	}
}

func (f *fakeHost) pass(ctx context.Context, host string, req *Request) (*Response, *result.Failure) {
	w := f.world
	if w.intN(8) == 0 {
		return nil, result.Fail(result.ConnectFailed, "no connection to the peer")
	}
	copied := *req
	answer := make(chan *Response, 2)
	calls := 1
	if w.intN(4) == 0 && !req.Repeatable {
		calls = 2
	}
	for range calls {
		go func() { answer <- w.hosts[host].Handle(context.Background(), &copied) }()
	}
	if w.intN(8) == 0 {
		return nil, result.Fail(result.PeerLost, "lost")
	}
	if calls == 2 {
		<-answer
	}
	select {
	case r := <-answer:
		return r, nil
	case <-ctx.Done():
		return nil, result.Fail(result.PeerLost, "deadline")
	}
}

func (f *fakeHost) Do(ctx context.Context, _ *policy.Service, _ *policy.BackendServer, req *backend.Request) backend.Result {
	w := f.world
	if deadline, ok := ctx.Deadline(); !ok || deadline.After(w.deadline) {
		w.problem("time budget extended in Do")
	}
	w.mu.Lock()
	if len(w.mayHaveRun) > 0 && !w.repeatable {
		w.problems = append(w.problems, "an attempt follows one that may have run")
	}
	w.mu.Unlock()
	if req.TraceParent != traceParent(ctx) {
		w.problem("the attempt does not carry the trace context of its span")
	}
	req.OnConnected(w.intN(2) == 0)
	res := f.randomResult(ctx)
	if res.Outcome != backend.NotRun {
		w.countFor(w.mayHaveRun, req.ID)
	}
	return res
}

func (f *fakeHost) randomResult(ctx context.Context) backend.Result {
	w := f.world
	select {
	case <-ctx.Done():
		return backend.Result{Outcome: backend.Unknown, Failure: result.Fail(result.AttemptTimeout, "cancelled")}
	case <-time.After(w.millis(200)):
	}
	switch w.intN(6) {
	case 0:
		return backend.Result{Outcome: backend.NotRun, Failure: result.Fail(result.ConnectFailed, "refused")}
	case 1:
		return backend.Result{Outcome: backend.NotRun, Status: 503, Failure: result.Fail(result.BackendShed, "shed")}
	case 2:
		return backend.Result{Outcome: backend.Unknown, Failure: result.Fail(result.ConnectionLost, "lost")}
	case 3:
		// A fault of the client: the code and the outcome disagree.
		return backend.Result{Outcome: backend.Unknown, Failure: result.Fail(result.ConnectFailed, "refused")}
	default:
		return backend.Result{Outcome: backend.Completed, Status: 200, Body: []byte("whole")}
	}
}

func loopback(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port))
}

// testSnapshot compiles a policy with one service and one failure domain.
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
