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

// testTimeout limits the waits of these tests. None of them measures speed.
const testTimeout = 20 * time.Second

// fakeHandler responds to forwarded requests with the function respond and counts the calls for each request id.
type fakeHandler struct {
	incarnation atomic.Uint64
	respond     func(ctx context.Context, request *forward.Request) *forward.Response

	mu               sync.Mutex
	callsByRequestID map[string]int
}

func (h *fakeHandler) Identity() peer.Identity {
	return peer.Identity{Host: "b", Incarnation: membership.Incarnation(h.incarnation.Load())}
}

func (h *fakeHandler) Forward(ctx context.Context, request *forward.Request) *forward.Response {
	h.mu.Lock()
	h.callsByRequestID[request.ID]++
	h.mu.Unlock()
	return h.respond(ctx, request)
}

func (h *fakeHandler) callCount(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.callsByRequestID[id]
}

func (h *fakeHandler) Heartbeat(hb membership.Heartbeat) membership.Heartbeat   { return hb }
func (h *fakeHandler) Join(slots.JoinRequest) slots.JoinReply                   { return slots.JoinReply{} }
func (h *fakeHandler) Ticket(string) slots.Ticket                               { return slots.Ticket{} }
func (h *fakeHandler) Goodbye(peer.Goodbye) bool                                { return true }
func (h *fakeHandler) Grant(grants.Request) grants.Grant                        { return grants.Grant{} }
func (h *fakeHandler) ConfigHead() config.Head                                  { return config.Head{} }
func (h *fakeHandler) ConfigPart(config.Digest) ([]byte, bool)                  { return nil, false }
func (h *fakeHandler) Summaries(peer.SummaryExchange) (reply peer.SummaryReply) { return reply }

// fixture is a client and a server with a relay between them.
type fixture struct {
	handler *fakeHandler
	relay   *network.Relay
	client  *peer.Client
}

func startFixture(t *testing.T, respond func(context.Context, *forward.Request) *forward.Response) *fixture {
	t.Helper()
	f := &fixture{handler: &fakeHandler{respond: respond, callsByRequestID: map[string]int{}}}
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
	f.client.SetDialTimeout(testTimeout)
	t.Cleanup(f.client.Close)
	return f
}

func (f *fixture) forward(id string) (*forward.Response, *result.Failure) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return f.client.ForwardTo(ctx, "b", &forward.Request{ID: id, Body: []byte(id), Timeout: testTimeout})
}

func echoBody(_ context.Context, request *forward.Request) *forward.Response {
	return &forward.Response{Status: 200, Body: request.Body}
}

// Guards against responses that reach the wrong request when they complete out of order on a shared connection.
func TestConcurrentRequestsGetTheirOwnResponses(t *testing.T) {
	f := startFixture(t, func(ctx context.Context, request *forward.Request) *forward.Response {
		if request.ID[len(request.ID)-1]%2 == 0 {
			time.Sleep(5 * time.Millisecond)
		}
		return echoBody(ctx, request)
	})
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			id := fmt.Sprintf("request-%d", i)
			response, failure := f.forward(id)
			if failure != nil || string(response.Body) != id {
				t.Errorf("%s got %v, %v", id, response, failure)
			}
		})
	}
	wg.Wait()
}

// A request whose connection broke may have run. Only the process that received it knows, so the request is repeated there,
// and the receiver recognizes the id.
func TestBrokenConnectionRepeatsAtSameIncarnation(t *testing.T) {
	arrived := make(chan struct{}, 8)
	f := startFixture(t, nil)
	f.handler.respond = func(ctx context.Context, request *forward.Request) *forward.Response {
		arrived <- struct{}{}
		if f.handler.callCount(request.ID) == 1 {
			<-ctx.Done()
		}
		return echoBody(ctx, request)
	}
	go func() {
		<-arrived
		f.relay.Break(func(_, _ netip.Addr) bool { return true })
	}()
	response, failure := f.forward("payment")
	if failure != nil || string(response.Body) != "payment" {
		t.Fatalf("got %v, %v, want the response to the repeat", response, failure)
	}
	if n := f.handler.callCount("payment"); n != 2 {
		t.Fatalf("the peer received the request %d times, want 2", n)
	}
}

// A new incarnation does not know whether the previous one ran the request. Repeating the request there could run a payment
// twice.
func TestBrokenConnectionIsNotRepeatedAtNewIncarnation(t *testing.T) {
	arrived := make(chan struct{}, 8)
	f := startFixture(t, nil)
	f.handler.respond = func(ctx context.Context, _ *forward.Request) *forward.Response {
		arrived <- struct{}{}
		<-ctx.Done()
		return nil
	}
	go func() {
		<-arrived
		f.handler.incarnation.Store(2)
		f.relay.Break(func(_, _ netip.Addr) bool { return true })
	}()
	_, failure := f.forward("payment")
	if failure == nil || failure.Code != result.PeerLost {
		t.Fatalf("got %v, want peer_lost", failure)
	}
	if n := f.handler.callCount("payment"); n != 1 {
		t.Fatalf("the request reached a peer %d times, want 1", n)
	}
}

// Guards against an unresponsive connection that holds requests until their deadline while new connections work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	f := startFixture(t, echoBody)
	if _, failure := f.forward("first"); failure != nil {
		t.Fatal(failure)
	}
	f.relay.Silence()
	for i := range 8 {
		id := fmt.Sprintf("after-%d", i)
		response, failure := f.forward(id)
		if failure != nil || string(response.Body) != id {
			t.Fatalf("%s got %v, %v, want its response", id, response, failure)
		}
	}
}

// Guards against a peer that continues a request after the caller cancelled it: a flood of abandoned requests would keep
// slots busy.
func TestCancelledRequestIsCancelledAtPeer(t *testing.T) {
	cancelled := make(chan struct{})
	arrived := make(chan struct{})
	f := startFixture(t, func(ctx context.Context, _ *forward.Request) *forward.Response {
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
	_, failure := f.client.ForwardTo(ctx, "b", &forward.Request{ID: "r", Timeout: testTimeout})
	if failure == nil || failure.Code.NotRun() {
		t.Fatalf("got %v, want a failure with an unknown outcome", failure)
	}
	select {
	case <-cancelled:
	case <-time.After(testTimeout):
		t.Fatal("the peer did not cancel the request")
	}
}

// Nothing was sent if no connection could be opened, so the caller may forward the request elsewhere.
func TestUnreachablePeerMeansNotRun(t *testing.T) {
	f := startFixture(t, echoBody)
	f.relay.Close()
	_, failure := f.forward("r")
	if failure == nil || failure.Code != result.ConnectFailed {
		t.Fatalf("got %v, want connect_failed", failure)
	}
}

// A peer runs a repeatable request again when the request is repeated. If the peer rejects the repeat, the first call may
// still have run the request, so the failure must not mean "not run".
func TestRejectedRepeatIsNotReportedAsNotRun(t *testing.T) {
	arrived := make(chan struct{}, 8)
	f := startFixture(t, nil)
	f.handler.respond = func(ctx context.Context, request *forward.Request) *forward.Response {
		arrived <- struct{}{}
		if f.handler.callCount(request.ID) == 1 {
			<-ctx.Done()
		}
		return forward.FailureResponse(result.Fail(result.NoCapacity, "full"))
	}
	go func() {
		<-arrived
		f.relay.Break(func(_, _ netip.Addr) bool { return true })
	}()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	response, failure := f.client.ForwardTo(ctx, "b", &forward.Request{ID: "look-up", Repeatable: true, Timeout: testTimeout})
	if failure == nil || failure.Code != result.PeerLost {
		t.Fatalf("got %+v, %v, want peer_lost", response, failure)
	}
}
