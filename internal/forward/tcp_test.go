package forward

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/backend"
	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/rank"
	"github.com/foxtailtack/foxtailtack/internal/result"
	"github.com/foxtailtack/foxtailtack/internal/standin/backendserver"
)

// testTimeout limits the wait for an event that must happen. It is long because the machine may be busy.
const testTimeout = 20 * time.Second

// fixture is a pipeline with stand-in backend servers that it reaches over TCP.
type fixture struct {
	*testing.T
	servers           []*backendserver.Server
	pipeline          *Pipeline
	admitter          *countingAdmitter
	lastRequestNumber int
}

// countingAdmitter admits to the first backend server of its list that has a free slot and is not excluded.
type countingAdmitter struct {
	mu    sync.Mutex
	ids   []string
	slots int
	inUse map[string]int
}

type countedPermit struct {
	admitter *countingAdmitter
	id       string
}

func (p *countedPermit) BackendServer() string { return p.id }

func (p *countedPermit) Release(hold time.Duration) {
	time.AfterFunc(hold, func() {
		p.admitter.mu.Lock()
		defer p.admitter.mu.Unlock()
		p.admitter.inUse[p.id]--
	})
}

func (a *countingAdmitter) take(exclude []string) Permit {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range a.ids {
		if a.inUse[id] < a.slots && !slices.Contains(exclude, id) {
			a.inUse[id]++
			return &countedPermit{admitter: a, id: id}
		}
	}
	return nil
}

func (a *countingAdmitter) Acquire(ctx context.Context, _ string, _ rank.Rank, _ string, _ time.Time, maxWait time.Duration, exclude []string) (Permit, *result.Failure) {
	end := time.Now().Add(maxWait)
	for {
		if permit := a.take(exclude); permit != nil {
			return permit, nil
		}
		if ctx.Err() != nil {
			return nil, result.Fail(result.CallerGone, "caller left")
		}
		if !time.Now().Before(end) || len(exclude) >= len(a.ids) {
			return nil, result.Fail(result.NoCapacity, "no slot")
		}
		time.Sleep(time.Millisecond)
	}
}

// noPeerRouter is a Router and Forwarder without other hosts.
type noPeerRouter struct{}

func (noPeerRouter) Next(*Request, []string, time.Duration) (Target, bool) { return Target{}, false }
func (noPeerRouter) ShiftFor(*Request) (Target, bool)                      { return Target{}, false }
func (noPeerRouter) ForwardTo(context.Context, string, *Request) (*Response, *result.Failure) {
	return nil, result.Fail(result.PeerLost, "no peers")
}

func newFixture(t *testing.T, slots, hedgeAfterMs int, options ...backendserver.Options) *fixture {
	t.Helper()
	f := &fixture{T: t, admitter: &countingAdmitter{slots: slots, inUse: map[string]int{}}}
	var policyServers []policy.BackendServer
	for i, o := range options {
		o.ID = fmt.Sprintf("b%d", i+1)
		o.Slots = slots
		s := backendserver.New(o)
		if err := s.Start("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = s.Close() })
		f.servers = append(f.servers, s)
		f.admitter.ids = append(f.admitter.ids, o.ID)
		policyServers = append(policyServers, policy.BackendServer{ID: o.ID, Service: "s", FailureDomain: "d", Address: s.Address(), Slots: slots})
	}
	snapshot := testSnapshot(t, hedgeAfterMs, policyServers...)
	client := backend.NewClient()
	t.Cleanup(client.Close)
	f.pipeline = NewPipeline(Options{
		Host: "a", Region: func() string { return "north" }, Admitter: f.admitter, Router: noPeerRouter{}, Forwarder: noPeerRouter{}, Attempter: client,
		Policy: func() *policy.Snapshot { return snapshot }, Incarnation: func() membership.Incarnation { return 1 },
	})
	return f
}

func (f *fixture) request(repeatable bool) *Request {
	f.lastRequestNumber++
	id := fmt.Sprintf("r%d", f.lastRequestNumber)
	return &Request{
		ID: id, Service: "s", Caller: "c", Rank: rank.Interactive, Repeatable: repeatable, IdempotencyKey: "key-" + id,
		Method: "POST", Path: "/work", Body: []byte("body-" + id), Timeout: testTimeout / 2,
	}
}

// checkAnswer fails the test unless the response is a failure or the complete response to its own request.
func checkAnswer(t *testing.T, req *Request, r *Response) {
	t.Helper()
	if r.Code != result.OK {
		return
	}
	var a backendserver.Answer
	if err := json.Unmarshal(r.Body, &a); err != nil || a.RequestID != req.ID || a.Body != string(req.Body) {
		t.Errorf("request %s got %s, %v", req.ID, r.Body, err)
	}
}

func (f *fixture) executions(id string) (total int) {
	for _, s := range f.servers {
		stats := s.Stats()
		total += stats.ByRequestID[id]
		if stats.Overload != 0 {
			f.Errorf("slots of %s exceeded %d times", stats.ID, stats.Overload)
		}
	}
	return total
}

// TestPipelineFaults guards against a second execution of a request that is not repeatable, against a false "not run", and
// against missing retries of repeatable requests. The fault applies to the first of two backend servers.
func TestPipelineFaults(t *testing.T) {
	inject := func(fault backendserver.Fault) func(*fixture) {
		return func(f *fixture) { f.servers[0].Inject(fault, -1) }
	}
	type expectation struct {
		code       result.Code
		executions int
	}
	cases := []struct {
		name string
		set  func(*fixture)
		// repeatable and once are the expected results for repeatable requests and for others.
		repeatable, once expectation
	}{
		{"none", func(*fixture) {}, expectation{result.OK, 1}, expectation{result.OK, 1}},
		{"refused", func(f *fixture) { f.servers[0].Refuse() }, expectation{result.OK, 1}, expectation{result.OK, 1}},
		{"both refused", func(f *fixture) { f.servers[0].Refuse(); f.servers[1].Refuse() },
			expectation{result.ConnectFailed, 0}, expectation{result.ConnectFailed, 0}},
		{"shed", inject(backendserver.ShedAll), expectation{result.OK, 1}, expectation{result.OK, 1}},
		{"closed during the request", inject(backendserver.CloseDuringRead), expectation{result.OK, 1}, expectation{result.ConnectionLost, 0}},
		{"closed after the request", inject(backendserver.CloseAfterRead), expectation{result.OK, 1}, expectation{result.ConnectionLost, 0}},
		{"closed after the run", inject(backendserver.CloseAfterRun), expectation{result.OK, 2}, expectation{result.ConnectionLost, 1}},
		{"dies during the response", inject(backendserver.DieMidAnswer), expectation{result.OK, 2}, expectation{result.IncompleteResponse, 1}},
	}
	for _, c := range cases {
		for _, repeatable := range []bool{true, false} {
			want := c.once
			if repeatable {
				want = c.repeatable
			}
			t.Run(fmt.Sprintf("%s/repeatable=%v", c.name, repeatable), func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, 3, 0, backendserver.Options{}, backendserver.Options{})
				c.set(f)
				req := f.request(repeatable)
				r := f.pipeline.Handle(context.Background(), req)
				checkAnswer(t, req, r)
				if r.Code != want.code {
					t.Errorf("got %v %s, want %v", r.Code, r.Message, want.code)
				}
				if got := f.executions(req.ID); got != want.executions {
					t.Errorf("%d executions, want %d", got, want.executions)
				}
				if r.Code.NotRun() && r.RetryAfter == 0 {
					t.Error("the rejection has no RetryAfter")
				}
			})
		}
	}
}

// Guards against a lookup that waits for a stalled backend server while another one has a free slot.
func TestHedgeUsesAnotherServerWhenFirstStalls(t *testing.T) {
	f := newFixture(t, 3, 30, backendserver.Options{}, backendserver.Options{})
	f.servers[0].Inject(backendserver.Stall, -1)
	req := f.request(true)
	r := f.pipeline.Handle(context.Background(), req)
	checkAnswer(t, req, r)
	if r.Code != result.OK || r.BackendServer != "b2" {
		t.Errorf("got %v from %s", r.Code, r.BackendServer)
	}
	f.waitForSlots()
}

// waitForSlots waits until all permits are released, and fails the test if that takes too long.
func (f *fixture) waitForSlots() {
	f.Helper()
	deadline := time.Now().Add(testTimeout)
	for {
		f.admitter.mu.Lock()
		sum := 0
		for _, n := range f.admitter.inUse {
			sum += n
		}
		f.admitter.mu.Unlock()
		if sum == 0 {
			return
		}
		if time.Now().After(deadline) {
			f.Fatalf("%d slots are not released", sum)
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a lookup that waits on an unresponsive pooled connection when its backend server has the only slot, and
// against a second request on that slot in the meantime.
func TestSilentPooledConnectionIsReplacedOnSameSlot(t *testing.T) {
	f := newFixture(t, 1, 30, backendserver.Options{})
	if r := f.pipeline.Handle(context.Background(), f.request(true)); r.Code != result.OK {
		t.Fatal(r.Message)
	}
	f.servers[0].SilenceOpen()
	req := f.request(true)
	r := f.pipeline.Handle(context.Background(), req)
	checkAnswer(t, req, r)
	if r.Code != result.OK || f.executions(req.ID) != 1 {
		t.Errorf("got %v %s, %d executions", r.Code, r.Message, f.executions(req.ID))
	}
	f.waitForSlots()
}

// Guards against a hedge of a request that is not repeatable, such as a payment.
func TestNonRepeatableRequestIsNotHedged(t *testing.T) {
	f := newFixture(t, 3, 1, backendserver.Options{ServiceTime: 100 * time.Millisecond}, backendserver.Options{})
	req := f.request(false)
	if r := f.pipeline.Handle(context.Background(), req); r.Code != result.OK || f.executions(req.ID) != 1 {
		t.Errorf("got %v, %d executions", r.Code, f.executions(req.ID))
	}
}

// Guards against a retry storm while one backend server refuses connections and the other sheds all requests.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	f := newFixture(t, 100, 0, backendserver.Options{}, backendserver.Options{})
	f.servers[0].Refuse()
	f.servers[1].Inject(backendserver.ShedAll, -1)
	codes := map[result.Code]int{}
	for range 200 {
		codes[f.pipeline.Handle(context.Background(), f.request(true)).Code]++
	}
	if codes[result.RetryBudgetSpent] == 0 || codes[result.OK] != 0 {
		t.Errorf("codes %v", codes)
	}
}

// Guards against a payment whose outcome is lost, or which runs again, when the caller's connection breaks and the caller
// repeats the request.
func TestRepeatAfterCallerLeftGetsFirstOutcome(t *testing.T) {
	f := newFixture(t, 3, 0, backendserver.Options{ServiceTime: 300 * time.Millisecond})
	req := f.request(false)
	ctx, leave := context.WithCancel(context.Background())
	first := make(chan struct{})
	go func() {
		defer close(first)
		f.pipeline.Handle(ctx, req)
	}()
	deadline := time.Now().Add(testTimeout)
	for f.servers[0].Stats().InUse == 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	leave()
	for range 3 {
		repeat := *req
		repeat.ID = "repeat"
		r := f.pipeline.Handle(context.Background(), &repeat)
		if r.Code != result.OK {
			t.Errorf("the repeat got %v %s", r.Code, r.Message)
		}
		checkAnswer(t, req, r)
	}
	<-first
	if got := f.servers[0].Stats().Executions; got != 1 {
		t.Errorf("%d executions", got)
	}
}

// Guards against responses that are delivered to another request when many requests run at once with faults and hedges.
func TestConcurrentRequestsGetTheirOwnResponses(t *testing.T) {
	o := backendserver.Options{ServiceTime: time.Millisecond, Jitter: 20 * time.Millisecond}
	f := newFixture(t, 8, 10, o, o, o)
	f.servers[1].Inject(backendserver.CloseAfterRun, 20)
	f.servers[2].Inject(backendserver.TwoAnswers, 20)
	var wg sync.WaitGroup
	for worker := range 20 {
		wg.Go(func() {
			for i := range 15 {
				id := fmt.Sprintf("w%d-%d", worker, i)
				req := &Request{
					ID: id, Service: "s", Caller: "c", Rank: rank.Rank(i % rank.Count), Repeatable: i%2 == 0, IdempotencyKey: id,
					Method: "POST", Path: "/" + id, Body: []byte(id), Timeout: testTimeout / 2,
				}
				checkAnswer(t, req, f.pipeline.Handle(context.Background(), req))
			}
		})
	}
	wg.Wait()
	for _, s := range f.servers {
		for id, n := range s.Stats().ByRequestID {
			var worker, i int
			if _, err := fmt.Sscanf(id, "w%d-%d", &worker, &i); err == nil && i%2 == 1 && n > 1 {
				t.Errorf("%s ran %d times", id, n)
			}
		}
	}
	f.waitForSlots()
}
