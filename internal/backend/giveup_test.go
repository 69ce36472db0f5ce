package backend_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/backend"
	"github.com/foxtailtack/foxtailtack/internal/policy"
)

// Guards against a request that is carried out after its attempt was given up: bytes that a partition holds up are sent again by the kernel
// until they arrive, unless the connection was reset. Orders ran seconds later, at servers that were leaving. A small receive buffer stands
// for the partition.
func TestBytesOfGivenUpAttemptDoNotArriveLater(t *testing.T) {
	const size = 48 << 10
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2<<10)
		})
		if err != nil {
			return err
		}
		return failed
	}}
	listen, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listen.Close() }()
	client := backend.NewClient()
	defer client.Close()
	service := &policy.Service{Name: "s", MaxResponseBytes: 1 << 20}
	target := &policy.BackendServer{ID: "b", Service: "s", Address: netip.MustParseAddrPort(listen.Addr().String()), Slots: 4, MaxConnections: 16}
	for _, repeatable := range []bool{true, false} {
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		res := client.Do(ctx, service, target, &backend.Request{ID: "request-1", Method: http.MethodPost, Path: "/", Body: make([]byte, size), Repeatable: repeatable})
		cancel()
		if res.Outcome != backend.Unknown || res.BytesWritten < size {
			t.Fatalf("outcome %v after %d bytes, want the whole request written without a response", res.Outcome, res.BytesWritten)
		}
		conn, err := listen.Accept()
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		if n, err := io.Copy(io.Discard, conn); err == nil || n >= size {
			t.Errorf("repeatable %v: the server reads %d bytes after the attempt was given up, error %v; want a reset before the end of the request", repeatable, n, err)
		}
		_ = conn.Close()
	}
}
