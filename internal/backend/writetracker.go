package backend

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/foxtailtack/foxtailtack/internal/httpconn"
)

// errAttemptNotRun rejects a write that would start after its attempt was classified as not run.
var errAttemptNotRun = Error.New("attempt was classified as not run before its first byte was written")

// beforeWriteError wraps the error of a BeforeWrite hook.
type beforeWriteError struct{ cause error }

// Error implements error.
func (e *beforeWriteError) Error() string { return "stopped before the first byte: " + e.cause.Error() }

// Unwrap returns the hook's error.
func (e *beforeWriteError) Unwrap() error { return e.cause }

// writeTracker tracks whether any byte of one attempt may have left this process. The writer of http.Transport runs in another
// goroutine and may start to write while the attempt is being cancelled, so both sides decide under one lock.
type writeTracker struct {
	beforeWrite func() error

	mu sync.Mutex
	// maybeSent is true once a write was passed to the kernel, unless that write certainly failed without accepting a byte.
	maybeSent bool
	// closed prevents a first write from starting.
	closed  bool
	hookErr error
	written int64
	// answered is true once the server has begun to respond, and so has the request.
	answered bool
	// headInvalid is true if the head of the response has an invalid field name.
	headInvalid bool
	// wrote is closed when the whole request was written or its writing has failed. It is nil if nobody waits for that.
	wrote     chan struct{}
	wroteOnce sync.Once
}

// setWrote records that no more bytes of the request will be written.
func (w *writeTracker) setWrote() { w.wroteOnce.Do(func() { close(w.wrote) }) }

// isWriting reports whether a part of the request was written and the rest was not yet.
func (w *writeTracker) isWriting() bool {
	if w.wrote == nil {
		return false
	}
	select {
	case <-w.wrote:
		return false
	default:
		return true
	}
}

// beginWrite decides whether a write may be passed to the kernel, and runs the BeforeWrite hook before the first one.
func (w *writeTracker) beginWrite() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.maybeSent {
		return nil
	}
	if w.closed {
		return errAttemptNotRun
	}
	if w.beforeWrite != nil {
		if err := w.beforeWrite(); err != nil {
			w.closed = true
			w.hookErr = &beforeWriteError{cause: err}
			return w.hookErr
		}
	}
	w.maybeSent = true
	return nil
}

// recordWrite records the result of a write. If the first write fails and no byte was accepted, nothing was sent.
func (w *writeTracker) recordWrite(n int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.written += int64(n)
	if err != nil && w.written == 0 {
		w.maybeSent = false
		w.closed = true
	}
}

// close prevents a first write from starting afterwards. It reports whether no byte was written and none will be, and returns the
// error of the BeforeWrite hook, if any.
func (w *writeTracker) close() (nothingWritten bool, hookErr error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	return !w.maybeSent, w.hookErr
}

func (w *writeTracker) setAnswered(answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answered = answered
}

func (w *writeTracker) isAnswered() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answered
}

// setHeadInvalid records that the server sent a head that counts as no response.
func (w *writeTracker) setHeadInvalid() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answered, w.headInvalid = false, true
}

func (w *writeTracker) isHeadInvalid() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.headInvalid
}

func (w *writeTracker) bytes() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written
}

// trackedConn is a connection whose writes are recorded for the attempt that uses it. It hides the optional methods of the wrapped
// connection, so that every byte goes through Write.
type trackedConn struct {
	*httpconn.Conn
	limit       *connLimit
	releaseOnce sync.Once
	// closeAfterWrite starts the goroutine that closes the connection after the request was written.
	closeAfterWrite sync.Once
	// connectDuration is the time that opening the connection took.
	connectDuration time.Duration
	// isStandby is true if the connection was opened before there was a request for it. Such a connection may be lost like a reused one.
	isStandby bool

	mu     sync.Mutex
	writes *writeTracker
}

var errNoAttempt = errs.New("write on a connection that is not assigned to an attempt")

func (c *trackedConn) setTracker(w *writeTracker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes = w
}

func (c *trackedConn) getTracker() *writeTracker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// Read implements net.Conn. After an invalid head the attempt has no response, so that Close resets the connection.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if w := c.getTracker(); w != nil && errors.Is(err, httpconn.ErrInvalidHead) {
		w.setHeadInvalid()
	}
	return n, err
}

// Write implements net.Conn.
func (c *trackedConn) Write(b []byte) (int, error) {
	w := c.getTracker()
	if w == nil {
		return 0, errNoAttempt
	}
	if err := w.beginWrite(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	w.recordWrite(n, err)
	return n, err
}

// Close implements net.Conn. A server may respond before it has read the request's body, and http.Transport then closes the connection. The
// rest of the body is still written, for at most remainingBodyTimeout, and the connection is closed after it. If the connection is closed
// before the server has begun to respond to its attempt, it is reset: after an
// orderly close the kernel would go on sending bytes of the request that have not arrived, and the server would run a request that was given up.
func (c *trackedConn) Close() error {
	w := c.getTracker()
	if w == nil || !w.isAnswered() || !w.isWriting() {
		return c.closeNow(w != nil && !w.isAnswered())
	}
	c.closeAfterWrite.Do(func() {
		go func() {
			select {
			case <-w.wrote:
			case <-time.After(remainingBodyTimeout):
			}
			// The response was read, so an error has no effect on the attempt.
			_ = c.closeNow(false)
		}()
	})
	return nil
}

// closeNow closes the connection. If the request is incomplete, it is reset.
func (c *trackedConn) closeNow(incomplete bool) error {
	c.releaseOnce.Do(c.limit.release)
	if socket, ok := c.NetConn().(*net.TCPConn); ok && incomplete {
		// If the option cannot be set, the connection is broken, and nothing more is sent.
		_ = socket.SetLinger(0)
	}
	return c.Conn.Close()
}
