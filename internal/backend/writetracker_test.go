package backend

import (
	"errors"
	"io"
	"net"
	"testing"

	"github.com/foxtailtack/foxtailtack/internal/httpconn"
)

// stubConn accepts the given number of remaining bytes, then returns an error.
type stubConn struct {
	net.Conn
	remaining int
	written   int
}

func (c *stubConn) Write(b []byte) (int, error) {
	n := min(len(b), c.remaining)
	c.remaining -= n
	c.written += n
	if n < len(b) {
		return n, io.ErrClosedPipe
	}
	return n, nil
}

func newTrackedStub(limit int, hook func() error) (*stubConn, *trackedConn, *writeTracker) {
	stub := &stubConn{remaining: limit}
	conn := &trackedConn{Conn: httpconn.New(stub), limit: &connLimit{max: 1}}
	tracker := &writeTracker{beforeWrite: hook}
	conn.setTracker(tracker)
	return stub, conn, tracker
}

// TestWriteFailsAfterClose guards against a first write that starts after the attempt was reported as not run.
func TestWriteFailsAfterClose(t *testing.T) {
	stub, conn, tracker := newTrackedStub(100, nil)
	if nothingWritten, _ := tracker.close(); !nothingWritten {
		t.Error("an attempt without a write counts as sent")
	}
	if _, err := conn.Write([]byte("pay")); err == nil || stub.written != 0 {
		t.Errorf("%d bytes were written after close, %v", stub.written, err)
	}
}

// TestCloseReportsNothingWrittenOnlyIfNoByteAccepted guards against an attempt that is reported as not run although a byte was
// accepted.
func TestCloseReportsNothingWrittenOnlyIfNoByteAccepted(t *testing.T) {
	for accept, want := range map[int]bool{0: true, 1: false, 3: false} {
		stub, conn, tracker := newTrackedStub(accept, nil)
		_, _ = conn.Write([]byte("pay"))
		if accept == 0 {
			stub.remaining = 100
			if _, err := conn.Write([]byte("pay")); err == nil {
				t.Error("a second write was allowed after the first failed")
			}
		}
		if nothingWritten, _ := tracker.close(); nothingWritten != want {
			t.Errorf("%d bytes accepted: nothing written = %v, want %v", accept, nothingWritten, want)
		}
	}
}

// TestBeforeWriteErrorBlocksWrites guards against bytes that are sent although the BeforeWrite hook returned an error.
func TestBeforeWriteErrorBlocksWrites(t *testing.T) {
	cause := errors.New("paused")
	calls := 0
	stub, conn, tracker := newTrackedStub(100, func() error { calls++; return cause })
	for range 2 {
		if _, err := conn.Write([]byte("pay")); err == nil {
			t.Error("the write was allowed")
		}
	}
	nothingWritten, hookErr := tracker.close()
	if !nothingWritten || !errors.Is(hookErr, cause) || stub.written != 0 || calls != 1 {
		t.Errorf("nothing written %v, hook error %v, %d bytes, %d calls", nothingWritten, hookErr, stub.written, calls)
	}
}
