package listener

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

// connections holds the open connections of a listener.
type connections struct {
	mu   sync.Mutex
	open map[*trackedConn]struct{}
	// runner runs pipelined requests concurrently. It is nil if requests run one after the other.
	runner *pipelineRunner
	// lingerCount is the number of connections in linger.
	lingerCount atomic.Int64
	// readAheadBytes is the number of bytes that were read ahead on all connections, maxReadAheadBytes the bound for it; 0 means none.
	readAheadBytes    atomic.Int64
	maxReadAheadBytes int64
	log               zerolog.Logger
}

// connStateChanged is the ConnState hook of http.Server.
func (c *connections) connStateChanged(nc net.Conn, state http.ConnState) {
	conn := nc.(*trackedConn)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		conn.conns, conn.lingerCount, conn.runner, conn.log = c, &c.lingerCount, c.runner, c.log
		c.open[conn] = struct{}{}
	case http.StateIdle:
		conn.markIdle()
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	}
}

// closeIdle closes the connections that have been idle for at least minIdle and returns the number of the others. The others have a
// request, or are new: a caller opens a connection in order to send a request, so new connections are not closed.
func (c *connections) closeIdle(minIdle time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	others := 0
	for conn := range c.open {
		if !conn.closeIfIdle(minIdle) {
			others++
		}
	}
	return others
}

// lingering returns the number of connections that are closed for writing and wait for their callers to close.
func (c *connections) lingering() int64 { return c.lingerCount.Load() }

// trackedConn is a connection with its own idle state, so that a draining listener closes it only while it is idle. The state that
// http.Server keeps lags behind: a connection that was idle by that state was closed after its request had been read and was being
// sent to a backend server.
type trackedConn struct {
	*net.TCPConn
	// release returns the connection's token to the listener. It is nil if there is no limit.
	release func()
	// conns holds the connections of the listener. It is nil in tests of single connections.
	conns *connections
	// lingerCount counts the listener's connections in linger. It is nil in tests of single connections.
	lingerCount *atomic.Int64
	log         zerolog.Logger

	closeOnce sync.Once
	mu        sync.Mutex
	// idle is true from the end of a response, at idleSince, until the first byte of the next request is read.
	idle      bool
	idleSince time.Time
	// closing is true while the connection is to be closed as idle unless a request has arrived. Read decides that.
	closing bool
	// closedIdle is true once the connection was closed while it was idle, for the time idleFor.
	closedIdle bool
	idleFor    time.Duration
	// closeAnnounced is true once the response to the running request carries "Connection: close" because the listener is closing.
	closeAnnounced bool
	// callerClosed is true once the caller has closed its side or the connection is broken.
	callerClosed bool
	// cancelRequest cancels the running request. It is nil while none runs.
	cancelRequest context.CancelFunc
	ahead         readAhead
	// runner runs pipelined requests concurrently; it is nil if requests run one after the other. scanner finds the requests in the
	// received bytes, and notStarted holds those that were found and not started.
	runner     *pipelineRunner
	scanner    scanner
	notStarted []scannedRequest
	// current is the latest request that the server has read, and readCount is its number on the connection. currentHasBody is true
	// if current has a body. lastFound is the latest request up to readCount that the scanner has found.
	current        *http.Request
	readCount      int
	currentHasBody bool
	lastFound      scannedRequest
	// lastMatched is the number of the latest request that the scanner found in the same form as the server read it.
	lastMatched int
	// pipelined holds the requests that run before the server has read them, by number.
	pipelined map[int]*pipelinedRequest
}

// Read returns net.ErrClosed once the connection was closed as idle.
func (c *trackedConn) Read(p []byte) (int, error) {
	n := c.takeReadAhead(p)
	var err error
	buffered := n > 0
	if !buffered {
		n, err = c.TCPConn.Read(p)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing && errors.Is(err, os.ErrDeadlineExceeded) {
		if n = c.readArrived(p); n > 0 {
			err = nil
		}
	}
	if c.closing && n == 0 {
		c.closedIdle, c.idleFor = true, time.Since(c.idleSince)
		c.closeLocked()
	}
	if c.closedIdle {
		return 0, net.ErrClosed
	}
	c.noteReadError(err)
	if !buffered {
		c.scan(p[:n])
	}
	if n > 0 {
		c.endIdle()
		c.ahead.serverHasByte = len(p) == 1
		c.startReadAhead()
	}
	return n, err
}

// readArrived reads bytes that have arrived already, without a wait. A read with a deadline would return none if the deadline passes before
// it begins. An error counts as no bytes, since the connection is closed then. The caller holds c.mu.
func (c *trackedConn) readArrived(p []byte) int {
	raw, err := c.SyscallConn()
	if err != nil || c.SetReadDeadline(time.Time{}) != nil {
		return 0
	}
	n := 0
	if err := raw.Read(func(fd uintptr) bool {
		n, _ = syscall.Read(int(fd), p)
		return true
	}); err != nil {
		return 0
	}
	return max(0, n)
}

// endIdle records that a request has arrived. The caller holds c.mu.
func (c *trackedConn) endIdle() {
	c.idle = false
	if c.closing {
		c.closing = false
		// The server sets its own deadline before it reads the rest of the request.
		_ = c.SetReadDeadline(time.Time{})
	}
}

// noteReadError records that the caller has closed if a read failed for another reason than a deadline. The caller holds c.mu.
func (c *trackedConn) noteReadError(err error) {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.callerClosed = true
		c.cancelPipelined()
	}
}

// beginRequest records the running request and its cancel function, and returns its pipelinedRequest, or nil if it was not started
// before. It returns false if the connection was closed as idle before: the bytes of the request were read together with the previous
// one, and it counts as not read.
func (c *trackedConn) beginRequest(r *http.Request, cancel context.CancelFunc) (*pipelinedRequest, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closedIdle {
		return nil, false
	}
	c.endIdle()
	c.cancelRequest, c.current, c.currentHasBody = cancel, r, r.ContentLength != 0
	c.readCount++
	c.startReadAhead()
	return c.takePipelined(r), true
}

// markIdle records the end of a response. The connection is not idle while pipelined requests run, nor if a part of the next request was
// received.
func (c *trackedConn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	partial := !c.scanner.stopped && len(c.scanner.pending) > 0
	c.idle, c.idleSince = len(c.pipelined) == 0 && !partial && !c.hasFurther(), time.Now()
}

// closeIfIdle makes the connection close if it has been idle for at least minIdle, and reports whether it is closed. The reading
// goroutine closes it, unless it finds that a request has arrived: closed by another goroutine, the connection would drop that request
// without a response.
func (c *trackedConn) closeIfIdle(minIdle time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || time.Since(c.idleSince) < minIdle {
		return false
	}
	if !c.closedIdle {
		c.closing = true
		// A deadline in the past wakes the reading goroutine. The server may have replaced that of an earlier call.
		if c.SetReadDeadline(time.Unix(1, 0)) != nil {
			c.closedIdle = true
			c.closeLocked()
		}
	}
	return c.closedIdle
}
