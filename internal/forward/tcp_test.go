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

// patience is the time for what must happen; a busy machine may need much of it.
const patience = 20 * time.Second

// fixture is one pipeline with stand-ins over TCP.
type fixture struct {
	*testing.T
	standins []*backendserver.Server
	pipeline *Pipeline
	admitter *countingAdmitter
	next     int
}

// countingAdmitter gives the first backend server of its list that has a free slot and is not excluded.
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
			return nil, result.Fail(result.CallerGone, "gone")
		}
		if !time.Now().Before(end) || len(exclude) >= len(a.ids) {
			return nil, result.Fail(result.NoCapacity, "no slot")
		}
		time.Sleep(time.Millisecond)
	}
}

// noPeers is a Router and Passer without other hosts.
type noPeers struct{}

func (noPeers) Next(*Request, []string, time.Duration) (Target, bool) { return Target{}, false }
func (noPeers) ShiftFor(*Request) (Target, bool)                      { return Target{}, false }
func (noPeers) Pass(context.Context, string, *Request) (*Response, *result.Failure) {
	return nil, result.Fail(result.PeerLost, "no peers")
}

func newFixture(t *testing.T, slots, hedgeAfterMs int, options ...backendserver.Options) *fixture {
	t.Helper()
	f := &fixture{T: t, admitter: &countingAdmitter{slots: slots, inUse: map[string]int{}}}
	var servers []policy.BackendServer
	for i, o := range options {
		o.ID = fmt.Sprintf("b%d", i+1)
		o.Slots = slots
		s := backendserver.New(o)
		if err := s.Start("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = s.Close() })
		f.standins = append(f.standins, s)
		f.admitter.ids = append(f.admitter.ids, o.ID)
		servers = append(servers, policy.BackendServer{ID: o.ID, Service: "s", FailureDomain: "d", Address: s.Address(), Slots: slots})
	}
	snapshot := testSnapshot(t, hedgeAfterMs, servers...)
	client := backend.NewClient()
	t.Cleanup(client.Close)
	f.pipeline = NewPipeline(Options{
		Host: "a", Region: func() string { return "north" }, Admitter: f.admitter, Router: noPeers{}, Passer: noPeers{}, Attempter: client,
		Policy: func() *policy.Snapshot { return snapshot }, Incarnation: func() membership.Incarnation { return 1 },
	})
	return f
}

func (f *fixture) request(repeatable bool) *Request {
	f.next++
	id := fmt.Sprintf("r%d", f.next)
	return &Request{
		ID: id, Service: "s", Caller: "c", Rank: rank.Interactive, Repeatable: repeatable, IdempotencyKey: "key-" + id,
		Method: "POST", Path: "/work", Body: []byte("body-" + id), Timeout: patience / 2,
	}
}

// checkAnswer fails unless the response is the whole answer to its own request, or a failure.
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
	for _, s := range f.standins {
		stats := s.Stats()
		total += stats.ByRequestID[id]
		if stats.Overload != 0 {
			f.Errorf("slots of %s exceeded %d times", stats.ID, stats.Overload)
		}
	}
	return total
}

// TestPipelineFaults guards against a second execution of work that may not be repeated and against a false "not run",
// and against retries that do not help repeatable work. The fault applies to the first of two backend servers.
func TestPipelineFaults(t *testing.T) {
	inject := func(fault backendserver.Fault) func(*fixture) {
		return func(f *fixture) { f.standins[0].Inject(fault, -1) }
	}
	type expectation struct {
		code       result.Code
		executions int
	}
	cases := []struct {
		name string
		set  func(*fixture)
		// repeatable and once are the results of repeatable work and of other work.
		repeatable, once expectation
	}{
		{"none", func(*fixture) {}, expectation{result.OK, 1}, expectation{result.OK, 1}},
		{"refused", func(f *fixture) { f.standins[0].Refuse() }, expectation{result.OK, 1}, expectation{result.OK, 1}},
		{"both refused", func(f *fixture) { f.standins[0].Refuse(); f.standins[1].Refuse() },
			expectation{result.ConnectFailed, 0}, expectation{result.ConnectFailed, 0}},
		{"shed", inject(backendserver.ShedAll), expectation{result.OK, 1}, expectation{result.OK, 1}},
		{"closed during the request", inject(backendserver.CloseDuringRead), expectation{result.OK, 1}, expectation{result.ConnectionLost, 0}},
		{"closed after the request", inject(backendserver.CloseAfterRead), expectation{result.OK, 1}, expectation{result.ConnectionLost, 0}},
		{"closed after the run", inject(backendserver.CloseAfterRun), expectation{result.OK, 2}, expectation{result.ConnectionLost, 1}},
		{"dies in mid-answer", inject(backendserver.DieMidAnswer), expectation{result.OK, 2}, expectation{result.IncompleteResponse, 1}},
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
					t.Error("a refusal without a time to come back")
				}
			})
		}
	}
}

// TestHedgeOnAnotherServer guards against a lookup that waits for a stalled backend server while another has a free slot.
func TestHedgeOnAnotherServer(t *testing.T) {
	f := newFixture(t, 3, 30, backendserver.Options{}, backendserver.Options{})
	f.standins[0].Inject(backendserver.Stall, -1)
	req := f.request(true)
	r := f.pipeline.Handle(context.Background(), req)
	checkAnswer(t, req, r)
	if r.Code != result.OK || r.BackendServer != "b2" {
		t.Errorf("got %v from %s", r.Code, r.BackendServer)
	}
	f.waitForSlots()
}

// waitForSlots fails unless every permit is given back.
func (f *fixture) waitForSlots() {
	f.Helper()
	deadline := time.Now().Add(patience)
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
			f.Fatalf("%d slots are not given back", sum)
		}
		time.Sleep(time.Millisecond)
	}
}

// TestSilentPooledConnection guards against a lookup that waits for a silent pooled connection when its backend server
// has the only slot, and against a second request on that slot meanwhile.
func TestSilentPooledConnection(t *testing.T) {
	f := newFixture(t, 1, 30, backendserver.Options{})
	if r := f.pipeline.Handle(context.Background(), f.request(true)); r.Code != result.OK {
		t.Fatal(r.Message)
	}
	f.standins[0].SilenceOpen()
	req := f.request(true)
	r := f.pipeline.Handle(context.Background(), req)
	checkAnswer(t, req, r)
	if r.Code != result.OK || f.executions(req.ID) != 1 {
		t.Errorf("got %v %s, %d executions", r.Code, r.Message, f.executions(req.ID))
	}
	f.waitForSlots()
}

// TestNoHedgeForPayments guards against a hedge of work that may not be repeated.
func TestNoHedgeForPayments(t *testing.T) {
	f := newFixture(t, 3, 1, backendserver.Options{ServiceTime: 100 * time.Millisecond}, backendserver.Options{})
	req := f.request(false)
	if r := f.pipeline.Handle(context.Background(), req); r.Code != result.OK || f.executions(req.ID) != 1 {
		t.Errorf("got %v, %d executions", r.Code, f.executions(req.ID))
	}
}

// TestRetryBudgetBoundsRetries guards against a retry storm while a backend server refuses connections.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	f := newFixture(t, 100, 0, backendserver.Options{}, backendserver.Options{})
	f.standins[0].Refuse()
	f.standins[1].Inject(backendserver.ShedAll, -1)
	codes := map[result.Code]int{}
	for range 200 {
		codes[f.pipeline.Handle(context.Background(), f.request(true)).Code]++
	}
	if codes[result.RetryBudgetSpent] == 0 || codes[result.OK] != 0 {
		t.Errorf("codes %v", codes)
	}
}

// TestRepeatAfterCallerLeft guards against a payment whose outcome is lost or which runs again when its caller's
// connection broke and the caller repeats it.
func TestRepeatAfterCallerLeft(t *testing.T) {
	f := newFixture(t, 3, 0, backendserver.Options{ServiceTime: 300 * time.Millisecond})
	req := f.request(false)
	ctx, leave := context.WithCancel(context.Background())
	first := make(chan struct{})
	go func() {
		defer close(first)
		f.pipeline.Handle(ctx, req)
	}()
	deadline := time.Now().Add(patience)
	for f.standins[0].Stats().InUse == 0 && time.Now().Before(deadline) {
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
	if got := f.standins[0].Stats().Executions; got != 1 {
		t.Errorf("%d executions", got)
	}
}

// TestCrossedAnswers guards against answers that reach another request when many run at once with faults and hedges.
func TestCrossedAnswers(t *testing.T) {
	o := backendserver.Options{ServiceTime: time.Millisecond, Jitter: 20 * time.Millisecond}
	f := newFixture(t, 8, 10, o, o, o)
	f.standins[1].Inject(backendserver.CloseAfterRun, 20)
	f.standins[2].Inject(backendserver.TwoAnswers, 20)
	var wg sync.WaitGroup
	for worker := range 20 {
		wg.Go(func() {
			for i := range 15 {
				id := fmt.Sprintf("w%d-%d", worker, i)
				req := &Request{
					ID: id, Service: "s", Caller: "c", Rank: rank.Rank(i % rank.Count), Repeatable: i%2 == 0, IdempotencyKey: id,
					Method: "POST", Path: "/" + id, Body: []byte(id), Timeout: patience / 2,
				}
				checkAnswer(t, req, f.pipeline.Handle(context.Background(), req))
			}
		})
	}
	wg.Wait()
	for _, s := range f.standins {
		for id, n := range s.Stats().ByRequestID {
			var worker, i int
			if _, err := fmt.Sscanf(id, "w%d-%d", &worker, &i); err == nil && i%2 == 1 && n > 1 {
				t.Errorf("%s ran %d times", id, n)
			}
		}
	}
	f.waitForSlots()
}
