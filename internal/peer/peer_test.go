package peer_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/foxtailtack/foxtailtack/internal/config"
	"github.com/foxtailtack/foxtailtack/internal/forward"
	"github.com/foxtailtack/foxtailtack/internal/grants"
	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/peer"
	"github.com/foxtailtack/foxtailtack/internal/result"
	"github.com/foxtailtack/foxtailtack/internal/slots"
	"github.com/foxtailtack/foxtailtack/internal/standin/network"
)

var loopback = netip.MustParseAddr("127.0.0.1")

// patience bounds waits of these tests; none of them measures speed.
const patience = 20 * time.Second

// fakeHandler answers forwarded requests by its function and counts the ids it saw.
type fakeHandler struct {
	incarnation atomic.Uint64
	forward     func(ctx context.Context, request *forward.Request) *forward.Response

	mu   sync.Mutex
	seen map[string]int
}

func (h *fakeHandler) Identity() peer.Identity {
	return peer.Identity{Host: "b", Incarnation: membership.Incarnation(h.incarnation.Load())}
}

func (h *fakeHandler) Forward(ctx context.Context, request *forward.Request) *forward.Response {
	h.mu.Lock()
	h.seen[request.ID]++
	h.mu.Unlock()
	return h.forward(ctx, request)
}

func (h *fakeHandler) count(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.seen[id]
}

func (h *fakeHandler) Heartbeat(hb membership.Heartbeat) membership.Heartbeat   { return hb }
func (h *fakeHandler) Join(slots.JoinRequest) slots.JoinReply                   { return slots.JoinReply{} }
func (h *fakeHandler) Ticket(string) slots.Ticket                               { return slots.Ticket{} }
func (h *fakeHandler) Goodbye(peer.Goodbye) bool                                { return true }
func (h *fakeHandler) Grant(grants.Request) grants.Grant                        { return grants.Grant{} }
func (h *fakeHandler) ConfigHead() config.Head                                  { return config.Head{} }
func (h *fakeHandler) ConfigPart(config.Digest) ([]byte, bool)                  { return nil, false }
func (h *fakeHandler) Summaries(peer.SummaryExchange) (reply peer.SummaryReply) { return reply }

// fixture is a server behind a relay, and a client.
type fixture struct {
	handler *fakeHandler
	relay   *network.Relay
	client  *peer.Client
}

func start(t *testing.T, answer func(context.Context, *forward.Request) *forward.Response) *fixture {
	t.Helper()
	f := &fixture{handler: &fakeHandler{forward: answer, seen: map[string]int{}}}
	f.handler.incarnation.Store(1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server, err := peer.NewServer(listener, f.handler, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve() }()
	t.Cleanup(func() { _ = server.Close() })
	f.relay = network.New(func(_, _ netip.Addr) network.Link { return network.Link{} })
	t.Cleanup(f.relay.Close)
	address, err := f.relay.Listen(netip.AddrPortFrom(loopback, 0), listener.Addr().(*net.TCPAddr).AddrPort(), netip.Addr{})
	if err != nil {
		t.Fatal(err)
	}
	f.client = peer.NewClient(loopback, func(string) (netip.AddrPort, time.Duration, bool) {
		return address.(*net.TCPAddr).AddrPort(), 0, true
	})
	t.Cleanup(f.client.Close)
	return f
}

func (f *fixture) pass(id string) (*forward.Response, *result.Failure) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return f.client.Pass(ctx, "b", &forward.Request{ID: id, Body: []byte(id), Timeout: patience})
}

func echo(_ context.Context, request *forward.Request) *forward.Response {
	return &forward.Response{Status: 200, Body: request.Body}
}

// Answers that finish out of order on a shared connection must reach the requests that they belong to.
func TestConcurrentRequestsGetTheirOwnAnswers(t *testing.T) {
	f := start(t, func(ctx context.Context, request *forward.Request) *forward.Response {
		if request.ID[len(request.ID)-1]%2 == 0 {
			time.Sleep(5 * time.Millisecond)
		}
		return echo(ctx, request)
	})
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			id := fmt.Sprintf("request-%d", i)
			response, failure := f.pass(id)
			if failure != nil || string(response.Body) != id {
				t.Errorf("%s got %v, %v", id, response, failure)
			}
		})
	}
	wg.Wait()
}

// A request whose connection broke may have run. Only the process that got it can tell, so it is repeated there, and the
// receiver recognises the id.
func TestBrokenConnectionRepeatsAtTheSameIncarnation(t *testing.T) {
	arrived := make(chan struct{}, 8)
	f := start(t, nil)
	f.handler.forward = func(ctx context.Context, request *forward.Request) *forward.Response {
		arrived <- struct{}{}
		if f.handler.count(request.ID) == 1 {
			<-ctx.Done()
		}
		return echo(ctx, request)
	}
	go func() {
		<-arrived
		f.relay.Break(func(_, _ netip.Addr) bool { return true })
	}()
	response, failure := f.pass("payment")
	if failure != nil || string(response.Body) != "payment" {
		t.Fatalf("got %v, %v, want the answer to the repeat", response, failure)
	}
	if n := f.handler.count("payment"); n != 2 {
		t.Fatalf("the peer saw the request %d times, want 2", n)
	}
}

// A new incarnation does not know whether the old one ran the request. Repeating it there could run a payment twice.
func TestBrokenConnectionIsNotRepeatedAtANewIncarnation(t *testing.T) {
	arrived := make(chan struct{}, 8)
	f := start(t, nil)
	f.handler.forward = func(ctx context.Context, _ *forward.Request) *forward.Response {
		arrived <- struct{}{}
		<-ctx.Done()
		return nil
	}
	go func() {
		<-arrived
		f.handler.incarnation.Store(2)
		f.relay.Break(func(_, _ netip.Addr) bool { return true })
	}()
	_, failure := f.pass("payment")
	if failure == nil || failure.Code != result.PeerLost {
		t.Fatalf("got %v, want peer_lost", failure)
	}
	if n := f.handler.count("payment"); n != 1 {
		t.Fatalf("the request reached a peer %d times, want 1", n)
	}
}

// A connection that went silent must not hold requests until their deadline while new connections work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	f := start(t, echo)
	if _, failure := f.pass("first"); failure != nil {
		t.Fatal(failure)
	}
	f.relay.Silence()
	for i := range 8 {
		id := fmt.Sprintf("after-%d", i)
		response, failure := f.pass(id)
		if failure != nil || string(response.Body) != id {
			t.Fatalf("%s got %v, %v, want its answer", id, response, failure)
		}
	}
}

// When the caller gives up, the peer must stop working for it, or a flood of abandoned work keeps slots busy.
func TestCancelReachesThePeer(t *testing.T) {
	cancelled := make(chan struct{})
	arrived := make(chan struct{})
	f := start(t, func(ctx context.Context, _ *forward.Request) *forward.Response {
		close(arrived)
		<-ctx.Done()
		close(cancelled)
		return nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, failure := f.client.Pass(ctx, "b", &forward.Request{ID: "r", Timeout: patience})
	if failure == nil || failure.Code.NotRun() {
		t.Fatalf("got %v, want a failure with an unknown outcome", failure)
	}
	select {
	case <-cancelled:
	case <-time.After(patience):
		t.Fatal("the peer went on with the request")
	}
}

// Nothing was sent when no connection could be opened, so the caller may try elsewhere.
func TestUnreachablePeerIsNotRun(t *testing.T) {
	f := start(t, echo)
	f.relay.Close()
	_, failure := f.pass("r")
	if failure == nil || failure.Code != result.ConnectFailed {
		t.Fatalf("got %v, want connect_failed", failure)
	}
}

// A peer runs repeatable work again when it is repeated. If it refuses the repeat, the first run may still have happened, so
// the caller must not be told that nothing ran.
func TestRefusedRepeatIsNotReportedAsNotRun(t *testing.T) {
	arrived := make(chan struct{}, 8)
	f := start(t, nil)
	f.handler.forward = func(ctx context.Context, request *forward.Request) *forward.Response {
		arrived <- struct{}{}
		if f.handler.count(request.ID) == 1 {
			<-ctx.Done()
		}
		return forward.FailureResponse(result.Fail(result.NoCapacity, "full"))
	}
	go func() {
		<-arrived
		f.relay.Break(func(_, _ netip.Addr) bool { return true })
	}()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	response, failure := f.client.Pass(ctx, "b", &forward.Request{ID: "look-up", Repeatable: true, Timeout: patience})
	if failure == nil || failure.Code != result.PeerLost {
		t.Fatalf("got %+v, %v, want peer_lost", response, failure)
	}
}
