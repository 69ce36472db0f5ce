package entry

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/foxtailtack/foxtailtack/internal/settings"
)

// A caller whose connection was accepted, but whose request arrived after the listener had closed, got no response.
func TestStopRespondsOnAcceptedConnections(t *testing.T) {
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	e, err := Provision(&settings.Settings{
		HostID: "h", FailureDomain: "d", CallerAddress: anyPort, PeerAddress: anyPort, AdminAddress: anyPort,
		// Nothing listens on this address: the host has no configuration and waits only lookupExpiryMargin before it closes
		// its listener.
		Store:  settings.Store{URL: "http://127.0.0.1:1", TimeoutMs: 100},
		Limits: settings.Limits{MaxConnections: 10, MaxHeaderBytes: 8192, StopTimeoutMs: 10_000},
	}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- e.Run(ctx) }()
	address := e.callerServer.Address().String()
	stop()
	time.Sleep(lookupExpiryMargin / 2)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
	for refused := false; !refused; time.Sleep(5 * time.Millisecond) {
		probe, err := net.Dial("tcp", address)
		refused = err != nil
		if err == nil {
			_ = probe.Close()
		}
	}
	if _, err := conn.Write([]byte("GET /s/orders/1 HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable || !response.Close {
		t.Errorf("status %d, close %v; want 503, true", response.StatusCode, response.Close)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
