package httpconn_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/httpconn"
)

// testTimeout bounds waits that succeed much sooner unless the test fails.
const testTimeout = 10 * time.Second

// connect returns both ends of a TCP connection. The peer has a small receive buffer.
func connect(t *testing.T) (*httpconn.Conn, *net.TCPConn) {
	t.Helper()
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listen.Close() }()
	conn, err := net.Dial("tcp", listen.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listen.Accept()
	if err != nil {
		t.Fatal(err)
	}
	peer := accepted.(*net.TCPConn)
	_ = peer.SetReadBuffer(32 << 10)
	t.Cleanup(func() {
		_ = conn.Close()
		_ = peer.Close()
	})
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return httpconn.New(conn), peer
}

func reset(t *testing.T, peer *net.TCPConn) {
	t.Helper()
	if err := errors.Join(peer.SetLinger(0), peer.Close()); err != nil {
		t.Fatal(err)
	}
}

// writeUntilError writes until a write fails, and sends the error.
func writeUntilError(conn net.Conn) <-chan error {
	failed := make(chan error, 1)
	go func() {
		for {
			if _, err := conn.Write(make([]byte, 1<<20)); err != nil {
				failed <- err
				return
			}
		}
	}()
	return failed
}

// Guards against a reset that looks like the end of a response, whichever of a read and a write notices it first.
func TestReadReportsResetDuringWrite(t *testing.T) {
	const text = "a part"
	noticedByWrite := 0
	for i := range 400 {
		conn, peer := connect(t)
		failed := writeUntilError(conn)
		if _, err := io.WriteString(peer, text); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Duration(i%4) * time.Millisecond)
		reset(t, peer)
		writeErr := error(nil)
		if i%5 == 0 {
			// The write returns before the read begins.
			writeErr = <-failed
		}
		if got, err := io.ReadAll(conn); err == nil {
			t.Fatalf("try %d: a read returns io.EOF after %q, but the connection was reset", i, got)
		}
		if writeErr == nil {
			writeErr = <-failed
		}
		if errors.Is(writeErr, syscall.ECONNRESET) {
			noticedByWrite++
		}
	}
	t.Logf("a write noticed the reset in %d of 400 tries", noticedByWrite)
}

// Guards against a proper end of a response that counts as a loss because the peer resets the connection after it, or because a write of the
// rest of the request still waits for the peer.
func TestReadReportsOrderlyEnd(t *testing.T) {
	const text = "the whole"
	for _, resets := range []bool{false, true} {
		conn, peer := connect(t)
		failed := writeUntilError(conn)
		if _, err := io.WriteString(peer, text); err != nil {
			t.Fatal(err)
		}
		if err := peer.CloseWrite(); err != nil {
			t.Fatal(err)
		}
		if resets {
			reset(t, peer)
			if err := <-failed; !errors.Is(err, syscall.EPIPE) {
				t.Errorf("a write after the end and the reset fails with %v, want EPIPE", err)
			}
		}
		if got, err := io.ReadAll(conn); err != nil || string(got) != text {
			t.Errorf("reset after the end: %v; read %q, %v", resets, got, err)
		}
	}
}

// Guards against a reader that waits for a write on a connection without TCP.
func TestReadReportsEndOfOtherConnections(t *testing.T) {
	one, other := net.Pipe()
	go func() {
		_, _ = io.WriteString(other, "text")
		_ = other.Close()
	}()
	if got, err := io.ReadAll(httpconn.New(one)); err != nil || string(got) != "text" {
		t.Errorf("read %q, %v", got, err)
	}
}
