package peer

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/foxtailtack/foxtailtack/internal/forward"
	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/standin/network"
)

// countingHandler replies to heartbeats at once and to requests once releaseForward is closed. It counts the Hello calls,
// which open a connection or are keepalives.
type countingHandler struct {
	Handler
	helloCalls     atomic.Int32
	releaseForward chan struct{}
}

func (h *countingHandler) Identity() Identity {
	h.helloCalls.Add(1)
	return Identity{Host: "b", Incarnation: 1}
}

func (h *countingHandler) Heartbeat(membership.Heartbeat) membership.Heartbeat {
	return membership.Heartbeat{From: membership.Member{ID: "b"}}
}

func (h *countingHandler) Forward(context.Context, *forward.Request) *forward.Response {
	<-h.releaseForward
	return &forward.Response{}
}

// newClientBehindRelay returns a client of host b, the handler of host b, and the relay between them.
func newClientBehindRelay(t *testing.T) (*Client, *countingHandler, *network.Relay) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handler := &countingHandler{releaseForward: make(chan struct{})}
	server, err := NewServer(listener, handler, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve() }()
	relay := network.New(func(_, _ netip.Addr) network.Link { return network.Link{} })
	front, err := relay.Listen(netip.MustParseAddrPort("127.0.0.1:0"), listener.Addr().(*net.TCPAddr).AddrPort(), netip.Addr{})
	if err != nil {
		t.Fatal(err)
	}
	address := front.(*net.TCPAddr).AddrPort()
	client := NewClient(netip.MustParseAddr("127.0.0.1"), func(string) (netip.AddrPort, time.Duration, bool) { return address, 0, true })
	t.Cleanup(func() { client.Close(); relay.Close(); _ = server.Close() })
	return client, handler, relay
}

// Guards against keepalives on idle control connections: they would grow with the number of hosts of a failure domain and
// take a large part of its traffic.
func TestIdleControlConnectionSendsNoKeepalive(t *testing.T) {
	client, handler, _ := newClientBehindRelay(t)
	if _, err := client.Heartbeat(context.Background(), "b", membership.Heartbeat{}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * keepaliveInterval)
	if got := handler.helloCalls.Load(); got != 1 {
		t.Fatalf("%d Hello calls, want only the one that opens the connection", got)
	}
}

// Guards against an unresponsive control connection that is kept: no message of the peer would ever arrive, although new
// connections work.
func TestSilentControlConnectionIsReplaced(t *testing.T) {
	client, _, relay := newClientBehindRelay(t)
	if _, err := client.Heartbeat(context.Background(), "b", membership.Heartbeat{}); err != nil {
		t.Fatal(err)
	}
	relay.Silence()
	start := time.Now()
	for {
		_, err := client.Heartbeat(context.Background(), "b", membership.Heartbeat{})
		if err == nil {
			return
		}
		if time.Since(start) > 2*(keepaliveInterval+keepaliveTimeout) {
			t.Fatalf("no heartbeat over a new connection after %v: %v", time.Since(start), err)
		}
	}
}

// Guards against an idle request connection without keepalives: a request on an unresponsive connection has an unknown
// outcome.
func TestIdleRequestConnectionSendsKeepalives(t *testing.T) {
	client, handler, _ := newClientBehindRelay(t)
	close(handler.releaseForward)
	if _, failure := client.ForwardTo(context.Background(), "b", &forward.Request{ID: "r", Timeout: time.Second}); failure != nil {
		t.Fatal(failure)
	}
	// The limit is far above keepaliveInterval, because a busy machine may run the timer late.
	for end := time.Now().Add(20 * keepaliveInterval); handler.helloCalls.Load() < 2; time.Sleep(keepaliveInterval / 10) {
		if time.Now().After(end) {
			t.Fatalf("%d Hello calls, want keepalives too", handler.helloCalls.Load())
		}
	}
}
