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

// countingHandler answers heartbeats, and requests when released, and counts the greetings and keepalives that reach it.
type countingHandler struct {
	Handler
	hellos  atomic.Int32
	release chan struct{}
}

func (h *countingHandler) Identity() Identity {
	h.hellos.Add(1)
	return Identity{Host: "b", Incarnation: 1}
}

func (h *countingHandler) Heartbeat(membership.Heartbeat) membership.Heartbeat {
	return membership.Heartbeat{From: membership.Member{ID: "b"}}
}

func (h *countingHandler) Forward(context.Context, *forward.Request) *forward.Response {
	<-h.release
	return &forward.Response{}
}

// newPair returns a client of host b behind a relay.
func newPair(t *testing.T) (*Client, *countingHandler, *network.Relay) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handler := &countingHandler{release: make(chan struct{})}
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

// Keepalives on idle control connections would grow with the hosts of a failure domain and take a large part of its bytes.
func TestIdleControlConnectionSendsNoKeepalive(t *testing.T) {
	client, handler, _ := newPair(t)
	if _, err := client.Heartbeat(context.Background(), "b", membership.Heartbeat{}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * keepaliveInterval)
	if got := handler.hellos.Load(); got != 1 {
		t.Fatalf("%d greetings and keepalives, want the greeting only", got)
	}
}

// A control connection that went silent must be replaced, or its peer would stay unheard for good while new connections
// work.
func TestSilentControlConnectionIsReplaced(t *testing.T) {
	client, _, relay := newPair(t)
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

// A connection with requests must be checked also while it is idle: a request that meets a silent connection has an unknown
// outcome.
func TestIdleRequestConnectionSendsKeepalives(t *testing.T) {
	client, handler, _ := newPair(t)
	close(handler.release)
	if _, failure := client.Pass(context.Background(), "b", &forward.Request{ID: "r", Timeout: time.Second}); failure != nil {
		t.Fatal(failure)
	}
	time.Sleep(2*keepaliveInterval + keepaliveInterval/2)
	if got := handler.hellos.Load(); got < 2 {
		t.Fatalf("%d greetings and keepalives, want keepalives", got)
	}
}
