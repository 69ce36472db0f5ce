package backend

import (
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// errAttemptEnded stops a write that would start after its attempt was classified as not run.
var errAttemptEnded = Error.New("attempt ended before its first byte was written")

// stoppedError is the error of a BeforeWrite hook.
type stoppedError struct{ cause error }

// Error implements error.
func (e *stoppedError) Error() string { return "stopped before the first byte: " + e.cause.Error() }

// Unwrap returns the hook's error.
func (e *stoppedError) Unwrap() error { return e.cause }

// writeProof knows whether any byte of one attempt may have left this process. Transport's writer runs in another
// goroutine and may start to write while the attempt is being cancelled, so both sides decide under one lock.
type writeProof struct {
	beforeWrite func() error

	mu sync.Mutex
	// touched is true once a write has been handed to the kernel that did not provably fail without a byte.
	touched bool
	// ended forbids further first writes.
	ended   bool
	stopped error
	written int64
}

// start decides whether the write may go to the kernel.
func (p *writeProof) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.touched {
		return nil
	}
	if p.ended {
		return errAttemptEnded
	}
	if p.beforeWrite != nil {
		if err := p.beforeWrite(); err != nil {
			p.ended = true
			p.stopped = &stoppedError{cause: err}
			return p.stopped
		}
	}
	p.touched = true
	return nil
}

// wrote records the result of a write. A first write that fails with no byte accepted proves that nothing was sent.
func (p *writeProof) wrote(n int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.written += int64(n)
	if err != nil && p.written == 0 {
		p.touched = false
		p.ended = true
	}
}

// end closes the proof. It reports true if no byte was written and none will be.
func (p *writeProof) end() (nothingWritten bool, stopped error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	return !p.touched, p.stopped
}

func (p *writeProof) bytes() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.written
}

// countedConn is a connection whose writes are attributed to the attempt that holds it. It hides the optional methods
// of the wrapped connection, so that every byte goes through Write.
type countedConn struct {
	net.Conn
	limit *connLimit
	once  sync.Once
	// connect is the time that opening the connection took.
	connect time.Duration

	mu    sync.Mutex
	proof *writeProof
}

var errNoAttempt = errs.New("write on a connection that no attempt holds")

func (c *countedConn) attach(p *writeProof) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.proof = p
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	p := c.proof
	c.mu.Unlock()
	if p == nil {
		return 0, errNoAttempt
	}
	if err := p.start(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	p.wrote(n, err)
	return n, err
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(c.limit.release)
	return c.Conn.Close()
}
