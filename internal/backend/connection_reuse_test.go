package backend_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/backend"
	"github.com/foxtailtack/foxtailtack/internal/policy"
)

// A server that drops idle connections resets a connection when the next request is sent on it. After the first such loss,
// non-repeatable work must use new connections. Otherwise each payment on an open connection gets an unknown outcome.
func TestReuseIsSuspendedAfterReusedConnectionIsLost(t *testing.T) {
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var opened atomic.Int32
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(backend.HeaderRequestID, r.Header.Get(backend.HeaderRequestID))
			if r.URL.Path == "/second" {
				conn, _, _ := w.(http.Hijacker).Hijack()
				_ = conn.Close()
			}
		}),
		ConnState: func(_ net.Conn, s http.ConnState) {
			if s == http.StateNew {
				opened.Add(1)
			}
		},
	}
	go func() { _ = server.Serve(listen) }()
	t.Cleanup(func() { _ = server.Close() })
	protocol := backend.OwnProtocol()
	protocol.MaxReuseIdle = time.Minute
	client := backend.NewClientFor(protocol)
	t.Cleanup(client.Close)
	service := &policy.Service{Name: "s", MaxResponseBytes: 1000}
	target := &policy.BackendServer{ID: "b", Address: netip.MustParseAddrPort(listen.Addr().String()), Slots: 4, MaxConnections: 10}
	do := func(path string) backend.Result {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		return client.Do(ctx, service, target, &backend.Request{ID: "r", Method: "POST", Path: path})
	}
	do("/first")
	if res := do("/second"); !res.Reused || res.Outcome != backend.Unknown {
		t.Fatalf("got %+v, want an unknown outcome on a reused connection", res)
	}
	for range 3 {
		if res := do("/later"); res.Reused || res.Outcome != backend.Completed {
			t.Fatalf("got %+v, want a response on a new connection", res)
		}
	}
}
